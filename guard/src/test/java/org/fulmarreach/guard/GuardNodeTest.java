package org.fulmarreach.guard;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.fulmarreach.core.exc.Result;
import org.fulmarreach.core.request.RequestId;
import org.fulmarreach.protocol.thrift.Body;
import org.fulmarreach.protocol.thrift.Call;
import org.fulmarreach.protocol.thrift.CallResult;
import org.fulmarreach.protocol.thrift.GuardState;
import org.fulmarreach.protocol.thrift.Header;
import org.fulmarreach.protocol.thrift.Heartbeat;
import org.fulmarreach.protocol.thrift.Outcome;
import org.fulmarreach.protocol.thrift.Resolve;
import org.fulmarreach.protocol.thrift.ResolveState;
import org.fulmarreach.runtime.cfg.Settings;
import org.fulmarreach.runtime.cfg.SettingsReader;
import org.fulmarreach.runtime.log.EventLog;
import org.fulmarreach.runtime.util.MonotonicClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against a call that runs twice, a lost result, an overloaded target and a planned stop that aborts calls. */
class GuardNodeTest {
    private static final int SLOTS = 2;

    private final AtomicInteger runs = new AtomicInteger();
    private final CountDownLatch release = new CountDownLatch(1);
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private HttpServer target;
    private FakeEntry entry;
    private GuardNode guard;
    private int lastRandom;

    @BeforeEach
    void start() throws Exception {
        target = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
        target.setExecutor(threads);
        target.createContext("/fulmarreach/target", this::announce);
        target.createContext("/pay", this::pay);
        target.createContext("/slow", this::paySlowly);
        target.start();
        entry = new FakeEntry();
        guard = GuardNode.start(
                settings(), MonotonicClock.system(), new EventLog("guard-1"), new SimpleMeterRegistry());
        entry.awaitHeartbeat(heartbeat -> heartbeat.getSlots() == SLOTS);
    }

    @AfterEach
    void stop() {
        release.countDown();
        guard.close();
        entry.close();
        target.stop(0);
        threads.shutdownNow();
    }

    @Test
    void repeatedCallRunsOnceAndGetsSameAnswer() throws Exception {
        Call call = call("/pay");
        entry.link.send(1, Body.call(call));
        CallResult first = entry.awaitFrame().getCallResult();
        entry.link.send(2, Body.call(call));
        CallResult second = entry.awaitFrame().getCallResult();
        assertEquals(Outcome.RUN, first.getOutcome());
        assertEquals(201, first.getStatus());
        assertEquals(call.getRequestId(), new String(first.getBody(), StandardCharsets.UTF_8));
        assertArrayEquals(first.getBody(), second.getBody());
        assertTrue(second.isRepeated());
        assertEquals(1, runs.get());
    }

    @Test
    void resolveOnNewConnectionReturnsResult() throws Exception {
        Call call = call("/slow");
        entry.link.send(1, Body.call(call));
        entry.awaitHeartbeat(heartbeat -> heartbeat.getSlotsInUse() == 1);
        var lost = entry.link;
        lost.close();
        release.countDown();
        entry.awaitHeartbeat(heartbeat -> entry.link != lost && heartbeat.getSlotsInUse() == 0);
        entry.link.send(2, Body.resolve(new Resolve(call.getRequestId(), guard.incarnation(), true)));
        var resolved = entry.awaitFrame().getResolveResult();
        assertEquals(ResolveState.DONE, resolved.getState());
        assertEquals(201, resolved.getResult().getStatus());
        assertEquals(1, runs.get());
    }

    @Test
    void refusedIdNeverRunsAndIdOfOtherIncarnationIsUnknown() throws Exception {
        Call call = call("/pay");
        entry.link.send(1, Body.resolve(new Resolve(call.getRequestId(), guard.incarnation(), true)));
        assertEquals(ResolveState.REFUSED, entry.awaitFrame().getResolveResult().getState());
        entry.link.send(2, Body.call(call));
        assertEquals(Outcome.NOT_RUN, entry.awaitFrame().getCallResult().getOutcome());
        Call foreign = call("/pay").setRequestId("guard-1.5." + call.getTickEchoMs() + ".cab");
        entry.link.send(3, Body.call(foreign));
        assertEquals(Outcome.UNKNOWN, entry.awaitFrame().getCallResult().getOutcome());
        assertEquals(0, runs.get());
    }

    @Test
    void fullTargetRefusesAndDrainLetsRunningCallsEnd() throws Exception {
        for (int i = 0; i < SLOTS; i++) {
            entry.link.send(i, Body.call(call("/slow")));
        }
        entry.awaitHeartbeat(heartbeat -> heartbeat.getSlotsInUse() == SLOTS);
        entry.link.send(9, Body.call(call("/slow")));
        CallResult full = entry.awaitFrame().getCallResult();
        assertEquals("NO_CAPACITY", full.getCode());
        assertTrue(full.getRetryAfterMs() > 0);
        var drained = guard.drain().toCompletableFuture();
        entry.awaitHeartbeat(heartbeat -> heartbeat.getState() == GuardState.LEAVING);
        entry.link.send(10, Body.call(call("/pay")));
        assertEquals("LEAVING", entry.awaitFrame().getCallResult().getCode());
        assertFalse(drained.isDone());
        release.countDown();
        for (int i = 0; i < SLOTS; i++) {
            assertEquals(Outcome.RUN, entry.awaitFrame().getCallResult().getOutcome());
        }
        drained.get(5, TimeUnit.SECONDS);
        assertEquals(SLOTS, runs.get());
    }

    /**
     * An entry sends calls until it has handled the heartbeat that says that the guard leaves. A guard without running
     * calls had stopped by then, and its entry could not tell whether the call had run.
     */
    @Test
    void callThatIsUnderWayAtThePlannedStopIsAnswered() throws Exception {
        entry.holdHeartbeats(true);
        var stopped = guard.drain().thenRunAsync(guard::close).toCompletableFuture();
        entry.awaitHeartbeat(heartbeat -> heartbeat.getState() == GuardState.LEAVING);
        // Long enough for a guard that does not wait for its entries to end.
        Thread.sleep(200);
        entry.link.send(1, Body.call(call("/pay")));
        entry.holdHeartbeats(false);
        CallResult result = entry.awaitFrame().getCallResult();
        assertEquals(Outcome.NOT_RUN, result.getOutcome());
        assertEquals("LEAVING", result.getCode());
        stopped.get(5, TimeUnit.SECONDS);
        assertEquals(0, runs.get());
    }

    /** An entry refuses the calls that wait for this guard after it has acknowledged the heartbeat. */
    @Test
    void refusalThatAnEntryAsksForAtThePlannedStopIsAnswered() throws Exception {
        Call waiting = call("/pay");
        entry.holdHeartbeats(true);
        var stopped = guard.drain().thenRunAsync(guard::close).toCompletableFuture();
        entry.awaitHeartbeat(heartbeat -> heartbeat.getState() == GuardState.LEAVING);
        Thread.sleep(200);
        entry.acknowledgeHeldHeartbeats();
        Thread.sleep(200);
        entry.link.send(1, Body.resolve(new Resolve(waiting.getRequestId(), guard.incarnation(), true)));
        entry.holdHeartbeats(false);
        assertEquals(ResolveState.REFUSED, entry.awaitFrame().getResolveResult().getState());
        stopped.get(5, TimeUnit.SECONDS);
    }

    /** A planned stop must not wait for an entry that hangs until the whole time for it has passed. */
    @Test
    void plannedStopEndsAlthoughAnEntryIsSilent() throws Exception {
        entry.holdHeartbeats(true);
        guard.drain().toCompletableFuture().get(5, TimeUnit.SECONDS);
    }

    @Test
    void callToUnreachableTargetIsRefusedPermanently() throws Exception {
        target.stop(0);
        Call call = call("/pay");
        entry.link.send(1, Body.call(call));
        assertEquals(Outcome.NOT_RUN, entry.awaitFrame().getCallResult().getOutcome());
        entry.link.send(2, Body.resolve(new Resolve(call.getRequestId(), guard.incarnation(), false)));
        assertEquals(ResolveState.REFUSED, entry.awaitFrame().getResolveResult().getState());
    }

    private Call call(String path) {
        Heartbeat heartbeat = entry.heartbeat;
        RequestId id = RequestId.mintForCaller("guard-1", guard.incarnation(), heartbeat.getTickMs(), 7, ++lastRandom);
        return new Call(
                        id.format(),
                        guard.incarnation(),
                        "kreidekiste",
                        "bestellung",
                        "POST",
                        path,
                        List.of(new Header("X-Test", "1")),
                        java.nio.ByteBuffer.wrap(new byte[] {1, 2, 3}),
                        2_000,
                        false,
                        heartbeat.getTickMs())
                .deepCopy();
    }

    private Settings settings() throws Exception {
        Map<String, String> environment = Map.of(
                "FULMARREACH_ID", "guard-1",
                "FULMARREACH_REGION", "sued",
                "FULMARREACH_ZONE", "sued-a",
                "FULMARREACH_VM", "vm-1",
                "FULMARREACH_ENTRIES", entry.address(),
                "FULMARREACH_HEARTBEAT_MS", "50",
                "FULMARREACH_TARGET", "http://127.0.0.1:" + target.getAddress().getPort());
        Result<Settings> read = new SettingsReader("test").read(new String[] {"guard"}, environment);
        return assertInstanceOf(Result.Ok.class, read, read::toString).value() instanceof Settings s ? s : null;
    }

    private void announce(HttpExchange exchange) throws java.io.IOException {
        answer(
                exchange,
                200,
                "{\"service\":\"bestellung\",\"slots\":" + SLOTS + ",\"connections\":8,\"leaving\":false}");
    }

    private void pay(HttpExchange exchange) throws java.io.IOException {
        runs.incrementAndGet();
        answer(exchange, 201, exchange.getRequestHeaders().getFirst("Request-Id"));
    }

    private void paySlowly(HttpExchange exchange) throws java.io.IOException {
        try {
            release.await(10, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        pay(exchange);
    }

    private static void answer(HttpExchange exchange, int status, String text) throws java.io.IOException {
        exchange.getRequestBody().readAllBytes();
        byte[] body = text.getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(status, body.length);
        exchange.getResponseBody().write(body);
        exchange.close();
    }
}
