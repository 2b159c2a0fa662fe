package org.fulmarreach.runtime.net;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.BiFunction;
import java.util.function.Function;

import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.ServerBinding;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.settings.ServerSettings;
import org.fulmarreach.runtime.cfg.Address;

import com.typesafe.config.ConfigFactory;

/** Binds one HTTP listener with its limits. Stateless. */
public final class HttpListener {
    /**
     * Limits of the parser are above those of the endpoints, which answer with JSON; what is over these as well gets a
     * plain answer of the library.
     */
    private static final String SETTINGS = """
            pekko.http.server {
              server-header = ""
              max-connections = %d
              idle-timeout = 60s
              request-timeout = 70s
              linger-timeout = 5s
              backlog = 256
              raw-request-uri-header = off
              parsing {
                max-uri-length = 8k
                max-method-length = 16
                max-header-name-length = 256
                max-header-value-length = 32k
                max-header-count = 128
                max-chunk-ext-length = 256
                max-content-length = infinite
                illegal-header-warnings = off
                uri-parsing-mode = strict
              }
            }
            """;

    private HttpListener() {}

    /**
     * Binds a listener.
     *
     * @param system actor system that runs it
     * @param address where it listens
     * @param maxConnections bound on open connections
     * @param handler answers requests
     * @param onFailure gives the answer where the handler failed
     * @return the binding, once it listens
     */
    public static CompletionStage<ServerBinding> bind(
            ActorSystem<?> system,
            Address address,
            int maxConnections,
            Function<HttpRequest, CompletionStage<HttpResponse>> handler,
            BiFunction<HttpRequest, Throwable, HttpResponse> onFailure) {
        ServerSettings settings = ServerSettings.create(ConfigFactory.parseString(SETTINGS.formatted(maxConnections))
                .withFallback(system.settings().config()));
        org.apache.pekko.japi.function.Function<HttpRequest, CompletionStage<HttpResponse>> answering =
                request -> answer(request, handler).exceptionally(failure -> onFailure.apply(request, failure));
        return Http.get(system)
                .newServerAt(address.host(), address.port())
                .withSettings(settings)
                .bind(answering);
    }

    private static CompletionStage<HttpResponse> answer(
            HttpRequest request, Function<HttpRequest, CompletionStage<HttpResponse>> handler) {
        try {
            return handler.apply(request);
        } catch (RuntimeException e) {
            return CompletableFuture.failedFuture(e);
        }
    }
}
