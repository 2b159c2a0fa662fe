package org.fulmarreach.standin;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntConsumer;

import org.apache.pekko.Done;
import org.apache.pekko.NotUsed;
import org.apache.pekko.actor.ActorSystem;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.model.AttributeKey;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.settings.ServerSettings;
import org.apache.pekko.io.TcpSO;
import org.apache.pekko.stream.KillSwitches;
import org.apache.pekko.stream.Materializer;
import org.apache.pekko.stream.SharedKillSwitch;
import org.apache.pekko.stream.SystemMaterializer;
import org.apache.pekko.stream.TLSProtocol.SslTlsInbound;
import org.apache.pekko.stream.TLSProtocol.SslTlsOutbound;
import org.apache.pekko.stream.javadsl.BidiFlow;
import org.apache.pekko.stream.javadsl.Flow;
import org.apache.pekko.stream.javadsl.Keep;
import org.apache.pekko.stream.javadsl.Sink;
import org.apache.pekko.stream.javadsl.TLSPlacebo;
import org.apache.pekko.stream.javadsl.Tcp;
import org.apache.pekko.util.ByteString;
import org.fulmarreach.platform.ParserInput;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * HTTP server of a stand-in on 127.0.0.1. It counts its open connections, and can close a connection without a response
 * or in the middle of one.
 */
final class StandInServer {
    static final String HOST = "127.0.0.1";

    /** Marker response: the connection is closed without writing a byte. */
    static final HttpResponse CLOSE = HttpResponse.create().withStatus(500);

    static final ObjectMapper JSON = new ObjectMapper();

    /** Paths for test control; connections that only use these are not counted. */
    private static final Set<String> CONTROL_PATHS = Set.of("/control", "/journal");

    private static final int BACKLOG = 512;
    private static final AttributeKey<Integer> BYTES_TO_DROP = AttributeKey.create("truncate", Integer.class);
    private static final int MAX_BODY_BYTES = 16 << 20;
    private static final int BODY_TIMEOUT_MS = 30_000;
    private static final int TRUNCATE_DELAY_MS = 20;

    private final Materializer materializer;
    private final Handler handler;
    private final IntConsumer onConnections;
    private final AtomicInteger connections = new AtomicInteger();
    private final Http http;
    private final ServerSettings settings;
    private final Tcp.ServerBinding binding;

    /**
     * Binds the server and returns once it is listening.
     *
     * @param port listening port, or 0 for a free one
     * @param onConnections called with the number of open connections whenever one is added; a connection is counted
     *     from its first request
     */
    StandInServer(ActorSystem system, int port, Handler handler, IntConsumer onConnections) {
        this.materializer = SystemMaterializer.get(system).materializer();
        this.handler = handler;
        this.onConnections = onConnections;
        this.http = Http.get(system);
        this.settings = ServerSettings.create(system);
        this.binding = Tcp.get(system)
                .bind(HOST, port, BACKLOG, List.of(TcpSO.tcpNoDelay(true)), false, Optional.empty())
                .to(Sink.foreach(this::accept))
                .run(materializer)
                .toCompletableFuture()
                .join();
    }

    int port() {
        InetSocketAddress address = binding.localAddress();
        return address.getPort();
    }

    String address() {
        return HOST + ":" + port();
    }

    // Helpers for handlers

    static HttpResponse json(int status, Object body) {
        try {
            return HttpResponse.create()
                    .withStatus(status)
                    .withEntity(ContentTypes.APPLICATION_JSON, JSON.writeValueAsBytes(body));
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException(e);
        }
    }

    static HttpResponse error(int status, String message) {
        return json(status, Map.of("error", message));
    }

    /** Returns a response that declares the full content length; the connection is closed after half of the body. */
    static HttpResponse truncated(byte[] body) {
        return HttpResponse.create()
                .withStatus(200)
                .withEntity(ContentTypes.APPLICATION_JSON, body)
                .addAttribute(BYTES_TO_DROP, body.length - body.length / 2);
    }

    static JsonNode parse(byte[] body) {
        try {
            return body.length == 0 ? JSON.createObjectNode() : JSON.readTree(body);
        } catch (java.io.IOException e) {
            throw new IllegalArgumentException("the body is not JSON: " + e.getMessage());
        }
    }

    static long queryLong(HttpRequest request, String name, long fallback) {
        return request.getUri().query().get(name).map(Long::parseLong).orElse(fallback);
    }

    static String header(HttpRequest request, String name) {
        return request.getHeader(name).map(h -> h.value()).orElse("");
    }

    // Helpers

    /**
     * Assembles the HTTP layer over TCP explicitly, because only the byte stream below it can end without a response.
     */
    private void accept(Tcp.IncomingConnection connection) {
        Connection state = new Connection(KillSwitches.shared("connection"), new AtomicInteger(), new AtomicBoolean());
        Flow<ByteString, ByteString, CompletionStage<Done>> bytes = Flow.of(ByteString.class)
                .map(state::truncate)
                .via(state.killSwitch().flow())
                .via(connection.flow())
                .via(ParserInput.flow())
                .via(state.killSwitch().flow())
                .watchTermination((unused, done) -> done);
        Flow<HttpRequest, HttpResponse, NotUsed> handling =
                Flow.of(HttpRequest.class).mapAsync(1, request -> answer(request, state));
        @SuppressWarnings("unchecked")
        BidiFlow<SslTlsOutbound, ByteString, ByteString, SslTlsInbound, NotUsed> plain =
                (BidiFlow<SslTlsOutbound, ByteString, ByteString, SslTlsInbound, NotUsed>)
                        (BidiFlow<SslTlsOutbound, ByteString, ByteString, ?, NotUsed>) TLSPlacebo.getInstance();
        http.serverLayer(settings)
                .atop(plain)
                .join(bytes, Keep.right())
                .join(handling)
                .run(materializer)
                .whenComplete((done, failure) -> {
                    if (state.counted().get()) {
                        connections.decrementAndGet();
                    }
                });
    }

    private CompletionStage<HttpResponse> answer(HttpRequest request, Connection state) {
        if (!CONTROL_PATHS.contains(request.getUri().path()) && state.counted().compareAndSet(false, true)) {
            onConnections.accept(connections.incrementAndGet());
        }
        return request.entity()
                .toStrict(BODY_TIMEOUT_MS, MAX_BODY_BYTES, materializer)
                .thenCompose(strict -> handle(request, strict.getData().toArray()))
                .thenCompose(response -> {
                    if (response == CLOSE) {
                        state.killSwitch().shutdown();
                        return new CompletableFuture<>();
                    }
                    state.bytesToDrop().set(response.getAttribute(BYTES_TO_DROP).orElse(0));
                    return CompletableFuture.completedFuture(response);
                });
    }

    private CompletionStage<HttpResponse> handle(HttpRequest request, byte[] body) {
        try {
            return handler.handle(request, body).exceptionally(failure -> error(500, String.valueOf(failure)));
        } catch (IllegalArgumentException e) {
            return CompletableFuture.completedFuture(error(400, String.valueOf(e.getMessage())));
        }
    }

    /** Fault controls of one connection: its kill switch, and the number of bytes to drop from the current response. */
    private record Connection(SharedKillSwitch killSwitch, AtomicInteger bytesToDrop, AtomicBoolean counted) {
        /**
         * Drops bytes from the end of the rendered response if requested; a strict response is rendered in one piece.
         */
        ByteString truncate(ByteString rendered) {
            int bytes = bytesToDrop.getAndSet(0);
            if (bytes == 0) {
                return rendered;
            }
            // The delay allows the remaining bytes to be sent before the connection is closed.
            CompletableFuture.delayedExecutor(TRUNCATE_DELAY_MS, TimeUnit.MILLISECONDS)
                    .execute(killSwitch::shutdown);
            return rendered.dropRight(bytes);
        }
    }

    /** Handles requests; the request body has been read completely. */
    interface Handler {
        CompletionStage<HttpResponse> handle(HttpRequest request, byte[] body);
    }
}
