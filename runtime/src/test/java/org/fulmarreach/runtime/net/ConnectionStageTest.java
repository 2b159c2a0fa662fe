package org.fulmarreach.runtime.net;

import java.net.InetAddress;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
import java.util.function.Function;

import org.apache.pekko.NotUsed;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.stream.Attributes;
import org.apache.pekko.stream.OverflowStrategy;
import org.apache.pekko.stream.javadsl.BidiFlow;
import org.apache.pekko.stream.javadsl.Flow;
import org.apache.pekko.stream.javadsl.Keep;
import org.apache.pekko.stream.javadsl.Sink;
import org.apache.pekko.stream.javadsl.SinkQueueWithCancel;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.stream.javadsl.SourceQueueWithComplete;
import org.apache.pekko.util.ByteString;
import org.fulmarreach.runtime.log.EventLog;
import org.fulmarreach.runtime.util.ActorSystems;
import org.fulmarreach.runtime.util.MonotonicClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against connections that are closed before the request of a well-behaved caller is answered. */
class ConnectionStageTest {
    private static final int TIMEOUT_S = 10;
    private static final ByteString REQUEST = ByteString.fromString("GET /a HTTP/1.1\r\nHost: a\r\n\r\n");
    private static final Object LISTENER = new Object();

    private final AtomicReference<Runnable> onNextBytes = new AtomicReference<>(() -> {});
    private final MonotonicClock clock = MonotonicClock.system();
    private final HttpConnections connections = new HttpConnections(() -> {
        onNextBytes.getAndSet(() -> {}).run();
        return clock.nowMs();
    });
    private final HttpConnections.Connection connection = connections.add();
    private final ClientAdmission admission = new ClientAdmission(
            new ClientLimits(1 << 20, 16_384, 10_000, 10_000, 1_024, 1_024), clock, new EventLog("test"));
    private final ClientAdmission.Client client = admit(1);
    private final AtomicInteger requests = new AtomicInteger();
    private final CompletableFuture<ByteString> heldAnswer = new CompletableFuture<>();

    private ActorSystem<Void> system;
    private SourceQueueWithComplete<ByteString> input;
    private SinkQueueWithCancel<ByteString> output;

    @BeforeEach
    void start() {
        system = ActorSystems.construct(Behaviors.empty(), "server", 2);
    }

    @AfterEach
    void stop() {
        system.terminate();
    }

    /** A planned stop closed the connection while the transport still took the answer before. */
    @Test
    void requestSentAheadIsAnsweredBeforeAStop() throws Exception {
        run(request -> CompletableFuture.completedFuture(ByteString.fromString("answer")));
        input.offer(REQUEST.concat(REQUEST));
        await(() -> requests.get() == 1 && connections.countInProgress() == 0);
        connections.closeIdle();
        assertEquals(Optional.of(ByteString.fromString("answer")), next());
        assertEquals(Optional.of(ByteString.fromString("answer")), next());
    }

    /** The connection was chosen before its request had arrived, and was closed while the endpoint worked on it. */
    @Test
    void requestThatWasPassedOnIsAnsweredBeforeAnEviction() throws Exception {
        run(request -> heldAnswer);
        // The stream of the connection runs this, so that the eviction reaches it after the request.
        onNextBytes.set(() -> admit(1));
        input.offer(REQUEST);
        await(() -> requests.get() == 1);
        heldAnswer.complete(ByteString.fromString("answer"));
        assertEquals(Optional.of(ByteString.fromString("answer")), next());
        assertEquals(Optional.empty(), next());
    }

    /** Buffers of closed connections stayed in memory without being counted, and the process ran out of memory. */
    @Test
    void closedConnectionHoldsNoBytes() {
        ConnectionStage stage = run(request -> heldAnswer);
        input.offer(
                ByteString.fromString("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 900\r\n\r\n" + "a".repeat(500)));
        await(() -> requests.get() == 1);
        assertTrue(stage.bufferedBytes() >= 500, "buffered: " + stage.bufferedBytes());
        admit(1);
        await(() -> connections.countOpen() == 0);
        assertEquals(0, stage.bufferedBytes());
    }

    private ClientAdmission.Client admit(int maxConnections) {
        return admission
                .admit(LISTENER, maxConnections, InetAddress.getLoopbackAddress())
                .orElseThrow();
    }

    private ConnectionStage run(Function<ByteString, CompletionStage<ByteString>> answerer) {
        ConnectionStage stage = new ConnectionStage(connection, client, admission.limits(), 1_000, Set.of(), clock);
        Flow<ByteString, ByteString, NotUsed> http = Flow.of(ByteString.class).mapAsync(1, request -> {
            requests.incrementAndGet();
            return answerer.apply(request);
        });
        var streams = Source.<ByteString>queue(4, OverflowStrategy.fail())
                .via(BidiFlow.fromGraph(stage).reversed().join(http))
                .toMat(Sink.<ByteString>queue().withAttributes(Attributes.inputBuffer(1, 1)), Keep.both())
                .run(system);
        input = streams.first();
        output = streams.second();
        return stage;
    }

    private Optional<ByteString> next() throws Exception {
        return output.pull().toCompletableFuture().get(TIMEOUT_S, TimeUnit.SECONDS);
    }

    private static void await(BooleanSupplier condition) {
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S);
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < endNanos, "the state was not reached");
            Thread.onSpinWait();
        }
    }
}
