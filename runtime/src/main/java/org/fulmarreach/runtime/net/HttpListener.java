package org.fulmarreach.runtime.net;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.BiFunction;
import java.util.function.Function;

import org.apache.pekko.Done;
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
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.stream.javadsl.TLSPlacebo;
import org.apache.pekko.stream.javadsl.Tcp;
import org.fulmarreach.platform.ParserInput;
import org.fulmarreach.runtime.cfg.Address;
import org.fulmarreach.runtime.log.EventLog;
import org.fulmarreach.runtime.util.MonotonicClock;

import com.typesafe.config.ConfigFactory;

/** Binds HTTP listeners with limits on connections and requests. Stateless. */
public final class HttpListener {
    /**
     * {@link RequestFramer} bounds what reaches the parser, so that its limits on headers are never met. The other
     * limits are higher than those of the endpoints, which respond with a JSON error.
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
                max-header-name-length = 64k
                max-header-value-length = 64k
                max-header-count = 256
                max-chunk-ext-length = 256
                max-content-length = infinite
                illegal-header-warnings = off
                uri-parsing-mode = strict
              }
            }
            """;

    private static final int MAX_BODY_BYTES = 3 << 20;

    /** Evicted connections that may still be closing while others are accepted in their place. */
    private static final int CLOSING_CONNECTIONS = 64;

    private HttpListener() {}

    /**
     * What a listener takes from its clients. Immutable.
     *
     * @param address listen address
     * @param maxConnections maximum number of open connections; the descriptors of the process may allow fewer
     * @param maxBodyBytes largest body that is buffered; requests with larger ones reach the handler without their body
     * @param forwardedNames names of the headers, in lower case, that the handler reads; empty for all
     */
    public record Endpoint(Address address, int maxConnections, int maxBodyBytes, Set<String> forwardedNames) {
        /** Copies the names. */
        public Endpoint {
            forwardedNames = Set.copyOf(forwardedNames);
        }
    }

    /**
     * Binds a listener with limits of its own for clients.
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
        ClientAdmission admission =
                new ClientAdmission(ClientLimits.of(Map.of(), 0), MonotonicClock.system(), new EventLog(system.name()));
        return bind(
                system, new Endpoint(address, maxConnections, MAX_BODY_BYTES, Set.of()), admission, handler, onFailure);
    }

    /**
     * Binds a listener.
     *
     * @param system actor system that runs the listener
     * @param endpoint what the listener takes
     * @param admission memory of the process for clients
     * @param handler returns the response to a request
     * @param onFailure returns the response to a request whose handler failed
     * @return completes with the binding once the listener is bound
     */
    public static CompletionStage<HttpBinding> bind(
            ActorSystem<?> system,
            Endpoint endpoint,
            ClientAdmission admission,
            Function<HttpRequest, CompletionStage<HttpResponse>> handler,
            BiFunction<HttpRequest, Throwable, HttpResponse> onFailure) {
        ServerSettings settings = ServerSettings.create(ConfigFactory.parseString(SETTINGS)
                .withFallback(system.settings().config()));
        MonotonicClock clock = MonotonicClock.system();
        HttpConnections connections = new HttpConnections(clock);
        Materializer materializer = SystemMaterializer.get(system).materializer();
        // Each layer builds a header parser, which takes longer than a request. Connections copy that of a shared
        // layer.
        BidiFlow<HttpResponse, TLSProtocol.SslTlsOutbound, TLSProtocol.SslTlsInbound, HttpRequest, NotUsed> layer =
                Http.get(system).serverLayer(settings);
        int maxConnections = Descriptors.limitConnections(
                endpoint.maxConnections(), admission.limits().descriptors());
        return Tcp.get(system)
                .bind(
                        endpoint.address().host(),
                        endpoint.address().port(),
                        settings.getBacklog(),
                        settings.getSocketOptions(),
                        true,
                        Optional.empty())
                .mapAsyncUnordered(maxConnections + CLOSING_CONNECTIONS, incoming -> {
                    Optional<ClientAdmission.Client> client = admission.admit(
                            connections,
                            maxConnections,
                            incoming.remoteAddress().getAddress());
                    if (client.isEmpty()) {
                        return close(incoming, materializer);
                    }
                    HttpConnections.Connection connection = connections.add();
                    Flow<HttpRequest, HttpResponse, NotUsed> answers = Flow.of(HttpRequest.class)
                            .mapAsync(1, request -> answer(connection, request, handler, onFailure));
                    ConnectionStage stage = new ConnectionStage(
                            connection,
                            client.get(),
                            admission.limits(),
                            endpoint.maxBodyBytes(),
                            endpoint.forwardedNames(),
                            clock);
                    Flow<TLSProtocol.SslTlsOutbound, TLSProtocol.SessionBytes, NotUsed> transport =
                            TLSPlacebo.getInstance()
                                    .atop(BidiFlow.fromGraph(stage))
                                    .join(incoming.flow().via(ParserInput.flow()));
                    layer.join(Flow.upcast(transport)).join(answers).run(materializer);
                    return connection.whenEnded().thenApply(ended -> (Object) ended);
                })
                .to(Sink.ignore())
                .run(materializer)
                .thenApply(binding -> new HttpBinding(system, binding, connections, clock));
    }

    private static CompletionStage<Object> close(Tcp.IncomingConnection incoming, Materializer materializer) {
        incoming.handleWith(Flow.fromSinkAndSource(Sink.cancelled(), Source.empty()), materializer);
        return CompletableFuture.completedFuture(Done.getInstance());
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
