package org.fulmarreach.standin;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicLong;

import org.fulmarreach.core.exc.StoreException;
import org.fulmarreach.platform.HttpLogClient;
import org.fulmarreach.platform.LogBatch;
import org.fulmarreach.platform.LogClientSettings;
import org.fulmarreach.platform.LogRead;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against a log client that reports wrongly whether an append took effect, retries an append, or does not notice
 * that the log was truncated.
 */
class HttpLogClientTest {
    private final AtomicLong nowMs = new AtomicLong();
    private StandInRuntime runtime;
    private StoreStandIn store;
    private HttpLogClient client;

    @BeforeEach
    void start() {
        runtime = StandInRuntime.start();
        LogStore log = new LogStore(nowMs::get, 60_000, 3, 400);
        store = new StoreStandIn(runtime.system(), runtime.timer(), 0, log, 1);
        client = createClient(store.server().port(), WorkerAgentTest.CALL_TIMEOUT_MS);
    }

    @AfterEach
    void stop() {
        runtime.close();
    }

    @Test
    void readReturnsRecordsInOrderAndTheNextOffset() {
        assertEquals(0, join(client.append("s", bytes("a"))));
        assertEquals(1, join(client.append("s", bytes("b"))));
        LogBatch batch = readBatch("s", 0, 1, 0);
        assertEquals(1, batch.records().size());
        assertEquals(1, batch.nextOffset());
        LogBatch rest = readBatch("s", 1, 10, 0);
        assertArrayEquals(bytes("b"), rest.records().getFirst().data());
        assertEquals(1, rest.records().getFirst().offset());
        assertEquals(2, rest.nextOffset());
    }

    @Test
    void pendingReadCompletesWithTheNextAppend() {
        CompletionStage<LogRead> waiting = client.read("s", 0, 10, 10_000);
        join(client.append("s", bytes("late")));
        LogBatch batch = assertInstanceOf(LogRead.Batch.class, join(waiting)).batch();
        assertArrayEquals(bytes("late"), batch.records().getFirst().data());
    }

    @Test
    void readBelowTheFirstKeptOffsetReturnsTruncated() {
        for (int i = 0; i < 5; i++) {
            join(client.append("s", bytes("r" + i)));
        }
        assertEquals(new LogRead.Truncated(2), join(client.read("s", 1, 10, 0)));
        nowMs.set(60_001);
        assertEquals(new LogRead.Truncated(5), join(client.read("s", 4, 10, 0)));
        assertEquals(5, readBatch("s", 5, 10, 0).nextOffset());
    }

    @Test
    void appendWithoutResponseMayHaveTakenEffectAndIsNotRetried() throws Exception {
        control("{\"loseAnswersShare\":1}");
        assertTrue(failAppend().contains("may have taken effect"));
        control("{\"loseAnswersShare\":0}");
        assertEquals(1, readBatch("s", 0, 10, 0).records().size());
    }

    @Test
    void refusedConnectionAndRateLimitHaveNoEffect() throws Exception {
        control("{\"appendsPerS\":0}");
        assertTrue(failAppend().contains("has not taken effect"));
        assertEquals(0, readBatch("s", 0, 10, 0).records().size());
        int closedPort;
        try (var socket = new java.net.ServerSocket(0)) {
            closedPort = socket.getLocalPort();
        }
        client = createClient(closedPort, WorkerAgentTest.CALL_TIMEOUT_MS);
        assertTrue(failAppend().contains("has not taken effect"));
    }

    @Test
    void callsFailWithinTheTimeoutDuringAnOutageAndSucceedAfterIt() throws Exception {
        assertEquals(0, readBatch("s", 0, 10, 0).records().size());
        client = createClient(store.server().port(), 1_000);
        for (String outage : new String[] {"hang", "refuse"}) {
            control("{\"outage\":\"" + outage + "\"}");
            long startNanos = System.nanoTime();
            assertTrue(failAppend().contains("may have taken effect"));
            assertThrows(CompletionException.class, () -> join(client.read("s", 0, 10, 0)));
            assertTrue(System.nanoTime() - startNanos < 5_000_000_000L);
            control("{\"outage\":\"none\"}");
            assertEquals(0, readBatch("s", 0, 10, 0).records().size());
        }
        assertEquals(0, join(client.append("s", bytes("after"))));
    }

    // Helpers

    private HttpLogClient createClient(int port, int timeoutMs) {
        LogClientSettings settings = LogClientSettings.of(StandInServer.HOST, port, "sued")
                .withTimeoutsMs(timeoutMs, timeoutMs, timeoutMs, 10_000)
                .withConnections(2, 4);
        return new HttpLogClient(runtime.system(), settings);
    }

    private String failAppend() {
        CompletionException failure =
                assertThrows(CompletionException.class, () -> join(client.append("s", bytes("x"))));
        return assertInstanceOf(StoreException.class, failure.getCause())
                .problem()
                .message();
    }

    private LogBatch readBatch(String stream, long from, int max, int waitMs) {
        LogRead read = join(client.read(stream, from, max, waitMs));
        return assertInstanceOf(LogRead.Batch.class, read).batch();
    }

    private void control(String json) throws Exception {
        post(store.server().address(), json);
    }

    static void post(String address, String json) throws Exception {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + "/control"))
                .POST(HttpRequest.BodyPublishers.ofString(json))
                .build();
        HttpResponse<String> response = HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString());
        assertEquals(200, response.statusCode(), response.body());
    }

    private static <T> T join(CompletionStage<T> stage) {
        return stage.toCompletableFuture().join();
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
