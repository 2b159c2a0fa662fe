package org.fulmarreach.runtime.net;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.BiFunction;
import java.util.function.Function;

import org.apache.pekko.NotUsed;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.settings.ServerSettings;
import org.apache.pekko.stream.Materializer;
import org.apache.pekko.stream.SystemMaterializer;
import org.apache.pekko.stream.TLSProtocol;
import org.apache.pekko.stream.javadsl.BidiFlow;
import org.apache.pekko.stream.javadsl.Flow;
import org.apache.pekko.stream.javadsl.Sink;
import org.apache.pekko.stream.javadsl.TLSPlacebo;
import org.apache.pekko.stream.javadsl.Tcp;
import org.fulmarreach.platform.ParserInput;
import org.fulmarreach.runtime.cfg.Address;
import org.fulmarreach.runtime.util.MonotonicClock;

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
              request-timeout = 70s
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
    public static CompletionStage<HttpBinding> bind(
            ActorSystem<?> system,
            Address address,
            int maxConnections,
            Function<HttpRequest, CompletionStage<HttpResponse>> handler,
            BiFunction<HttpRequest, Throwable, HttpResponse> onFailure) {
        ServerSettings settings = ServerSettings.create(ConfigFactory.parseString(SETTINGS)
                .withFallback(system.settings().config()));
        MonotonicClock clock = MonotonicClock.system();
        HttpConnections connections = new HttpConnections(clock);
        Materializer materializer = SystemMaterializer.get(system).materializer();
        return Tcp.get(system)
                .bind(
                        address.host(),
                        address.port(),
                        settings.getBacklog(),
                        settings.getSocketOptions(),
                        true,
                        Optional.empty())
                .mapAsyncUnordered(maxConnections, incoming -> {
                    HttpConnections.Connection connection = connections.add();
                    Flow<HttpRequest, HttpResponse, NotUsed> answers = Flow.of(HttpRequest.class)
                            .mapAsync(1, request -> answer(connection, request, handler, onFailure));
                    Flow<TLSProtocol.SslTlsOutbound, TLSProtocol.SessionBytes, NotUsed> transport =
                            TLSPlacebo.getInstance()
                                    .atop(BidiFlow.fromGraph(new ConnectionStage(connection, clock)))
                                    .join(incoming.flow().via(ParserInput.flow()));
                    Http.get(system)
                            .serverLayer(settings)
                            .join(Flow.upcast(transport))
                            .join(answers)
                            .run(materializer);
                    return connection.whenEnded();
                })
                .to(Sink.ignore())
                .run(materializer)
                .thenApply(binding -> new HttpBinding(system, binding, connections, clock));
    }

    private static CompletionStage<HttpResponse> answer(
            HttpConnections.Connection connection,
            HttpRequest request,
            Function<HttpRequest, CompletionStage<HttpResponse>> handler,
            BiFunction<HttpRequest, Throwable, HttpResponse> onFailure) {
        connection.handlerStarted();
        return invokeHandler(request, handler)
                .exceptionally(failure -> onFailure.apply(request, failure))
                .whenComplete((response, failure) -> connection.handlerEnded());
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
