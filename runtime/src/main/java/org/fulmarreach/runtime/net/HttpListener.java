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

/** Binds HTTP listeners with limits on connections and requests. Stateless. */
public final class HttpListener {
    /**
     * The limits of the parser are higher than those of the endpoints, which respond with a JSON error. A request over
     * the limits of the parser gets the plain error response of the library.
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
     * @param system actor system that runs the listener
     * @param address listen address
     * @param maxConnections maximum number of open connections
     * @param handler returns the response to a request
     * @param onFailure returns the response to a request whose handler failed
     * @return completes with the binding once the listener is bound
     */
    public static CompletionStage<ServerBinding> bind(
            ActorSystem<?> system,
            Address address,
            int maxConnections,
            Function<HttpRequest, CompletionStage<HttpResponse>> handler,
            BiFunction<HttpRequest, Throwable, HttpResponse> onFailure) {
        ServerSettings settings = ServerSettings.create(ConfigFactory.parseString(SETTINGS.formatted(maxConnections))
                .withFallback(system.settings().config()));
        org.apache.pekko.japi.function.Function<HttpRequest, CompletionStage<HttpResponse>> handlerWithFallback =
                request -> invokeHandler(request, handler).exceptionally(failure -> onFailure.apply(request, failure));
        return Http.get(system)
                .newServerAt(address.host(), address.port())
                .withSettings(settings)
                .bind(handlerWithFallback);
    }

    private static CompletionStage<HttpResponse> invokeHandler(
            HttpRequest request, Function<HttpRequest, CompletionStage<HttpResponse>> handler) {
        try {
            return handler.apply(request);
        } catch (RuntimeException e) {
            return CompletableFuture.failedFuture(e);
        }
    }
}
