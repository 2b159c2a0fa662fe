package org.fulmarreach.entry;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.fulmarreach.core.budget.BudgetRecord;
import org.fulmarreach.core.exc.Result;
import org.fulmarreach.core.rules.RulesRecord;
import org.fulmarreach.entry.work.WorkNode;
import org.fulmarreach.protocol.io.BudgetRecords;
import org.fulmarreach.protocol.io.RulesRecords;
import org.fulmarreach.protocol.thrift.Call;
import org.fulmarreach.protocol.thrift.CallResult;
import org.fulmarreach.runtime.cfg.Settings;
import org.fulmarreach.runtime.cfg.SettingsReader;
import org.fulmarreach.runtime.log.EventLog;
import org.fulmarreach.runtime.util.ActorSystems;
import org.fulmarreach.runtime.util.MonotonicClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against an entry that runs a non-idempotent call twice or without an id, passes on incomplete answers, reports
 * errors in another form than JSON with a code, or reads requests without limits.
 */
class EntryNodeTest {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final List<String> RULES = List.of(
            "urgent bestellung/checkout deadline=1s idempotent=no # kreidekiste: Lena",
            "urgent bestellung/teuer deadline=1s idempotent=yes cost=60 # kreidekiste: Lena",
            "urgent bestellung/suche deadline=1s idempotent=yes # kreidekiste: Lena",
            "budget amount=100 every=24h # federation: treasurer");

    private final ActorSystem<Void> system = ActorSystems.construct(Behaviors.empty(), "test", 2);
    private final FakeLog store = new FakeLog();
    private final HttpClient http = HttpClient.newHttpClient();
    private EntryNode entry;
    private FakeGuard guard;

    @BeforeEach
    void start() throws Exception {
        entry = startEntry("entry-a", "sued", "");
        publish("p1", 0, RULES);
    }

    @AfterEach
    void stop() {
        if (guard != null) {
            guard.close();
        }
        entry.close();
        system.terminate();
    }

    @Test
    void idempotentCallGetsTheWholeAnswer() throws Exception {
        connect(call -> FakeGuard.answer(207, "ring " + call.getPath()));
        HttpResponse<String> answer = send("GET", "/v1/services/bestellung/suche/kreide?farbe=rot", "", Map.of());
        assertEquals(207, answer.statusCode());
        assertEquals("ring /suche/kreide?farbe=rot", answer.body());
        assertEquals("shop/1", answer.headers().firstValue("Server").orElse(""));
        assertEquals("t1", answer.headers().firstValue("X-Target").orElse(""));
        assertTrue(answer.headers().firstValue("Request-Id").orElse("").startsWith("guard-1.7.1000."));
        assertTrue(
                get(entry.operatorAddress(), "/metrics").body().contains("fulmarreach_call_duration_seconds_bucket"));
    }

    @Test
    void nonIdempotentCallRunsOnceForItsId() throws Exception {
        connect(call -> FakeGuard.answer(201, "booked"));
        HttpResponse<String> without = send("POST", "/v1/services/bestellung/checkout", "x", Map.of());
        assertEquals(428, without.statusCode());
        assertEquals("REQUEST_ID_REQUIRED", json(without).path("code").asText());
        String id = mint();
        for (int i = 0; i < 3; i++) {
            HttpResponse<String> answer =
                    send("POST", "/v1/services/bestellung/checkout", "x", Map.of("Request-Id", id));
            assertEquals(201, answer.statusCode());
            assertEquals("booked", answer.body());
        }
        assertEquals(1, guard.executions());
        HttpResponse<String> state = get(entry.callerAddress(), "/v1/requests/" + id);
        assertEquals("done", json(state).path("state").asText());
    }

    @Test
    void lostConnectionIsResolvedAfterItIsBack() throws Exception {
        connect(call -> FakeGuard.answer(201, "booked"));
        String id = mint();
        guard.setDropResults(true);
        var pending = http.sendAsync(
                request(
                        "POST",
                        entry.callerAddress(),
                        "/v1/services/bestellung/checkout",
                        "x",
                        Map.of("Request-Id", id)),
                HttpResponse.BodyHandlers.ofString());
        await().until(() -> guard.executions() == 1);
        guard.disconnect();
        guard.connect(entry.frameAddress());
        HttpResponse<String> answer = pending.join();
        assertEquals(201, answer.statusCode());
        assertEquals(1, guard.executions());
    }

    @Test
    void unknownAndNotRunAreDistinguished() throws Exception {
        connect(call -> null);
        HttpResponse<String> late = send("POST", "/v1/services/bestellung/suche", "x", Map.of("Deadline-Ms", "150"));
        assertEquals(504, late.statusCode());
        assertEquals("unknown", json(late).path("outcome").asText());
        String id = mint();
        guard.close();
        await().untilAsserted(() -> assertEquals(
                "NO_TARGET",
                json(send("GET", "/v1/services/bestellung/suche", "", Map.of()))
                        .path("code")
                        .asText()));
        HttpResponse<String> none = send("GET", "/v1/services/bestellung/suche", "", Map.of());
        assertEquals(503, none.statusCode());
        assertEquals("not_run", json(none).path("outcome").asText());
        assertTrue(none.headers().firstValue("Retry-After").isPresent());
        // Another entry may have sent the call, so without the guard this entry cannot tell that it did not run.
        HttpResponse<String> bound =
                send("POST", "/v1/services/bestellung/checkout", "x", Map.of("Request-Id", id, "Deadline-Ms", "200"));
        assertEquals(504, bound.statusCode());
        assertEquals("unknown", json(bound).path("outcome").asText());
        guard = null;
    }

    @Test
    void budgetIsSpentOnceAndThenRefused() throws Exception {
        connect(call -> FakeGuard.answer(200, "ok"));
        assertEquals(
                200, send("GET", "/v1/services/bestellung/teuer", "", Map.of()).statusCode());
        HttpResponse<String> refused = send("GET", "/v1/services/bestellung/teuer", "", Map.of());
        assertEquals(503, refused.statusCode());
        assertEquals("BUDGET_EXHAUSTED", json(refused).path("code").asText());
        assertEquals("not_run", json(refused).path("outcome").asText());
        JsonNode budget = json(get(entry.operatorAddress(), "/v1/budget"));
        assertEquals(60, budget.path("spent").asLong());
        assertTrue(budget.path("granted").asLong() <= 100);
    }

    @Test
    void exceededLimitsAndBadRequestsReturnErrorCodes() throws Exception {
        connect(call -> FakeGuard.answer(200, "ok"));
        assertError(413, "TOO_LARGE", send("POST", "/v1/services/bestellung/suche", "x".repeat(1_100_000), Map.of()));
        assertError(414, "TOO_LARGE", send("GET", "/v1/services/bestellung/suche?" + "x".repeat(3_000), "", Map.of()));
        assertError(
                431, "TOO_LARGE", send("GET", "/v1/services/bestellung/suche", "", Map.of("X-A", "x".repeat(20_000))));
        assertError(
                400, "BAD_REQUEST", send("GET", "/v1/services/bestellung/suche", "", Map.of("Deadline-Ms", "soon")));
        // Dot segments are resolved before the rule is selected, so they cannot bypass a stricter rule.
        assertError(
                428, "REQUEST_ID_REQUIRED", send("GET", "/v1/services/bestellung/suche/%2e%2e/checkout", "", Map.of()));
        assertError(400, "BAD_REQUEST", send("GET", "/v1/services/bestellung/suche/..%5Ccheckout", "", Map.of()));
        assertError(400, "BAD_REQUEST", send("GET", "/v1/services/bestellung/suche/x%2Fcheckout", "", Map.of()));
        assertError(400, "BAD_REQUEST", send("GET", "/v1/services/bestellung//checkout", "", Map.of()));
        assertError(400, "BAD_REQUEST", send("GET", "/v1/services/bestellung/suche", "", Map.of("Request-Id", "7")));
        assertError(404, "NO_SUCH_SERVICE", send("GET", "/v1/services/anderes/x", "", Map.of()));
        assertEquals(0, guard.executions());
        assertTrue(sendSlowly().contains(" 408 "));
    }

    @Test
    void publishIsIdempotentAndConflictsAreReported() throws Exception {
        JsonNode again = json(publish("p1", 0, RULES));
        assertEquals("accepted", again.path("status").asText());
        assertEquals(1, again.path("revision").asLong());
        HttpResponse<String> conflict = publish("p2", 0, List.of("quota cores=1 memory=1G tasks=1 # a: b"));
        assertEquals(409, conflict.statusCode());
        assertEquals(4, json(conflict).path("lines").size());
        HttpResponse<String> bad = publish("p3", 1, List.of("urgent ohne-kommentar/x"));
        assertEquals(400, bad.statusCode());
        assertTrue(json(bad).path("faults").get(0).has("column"));
        store.setLoseAnswers(true);
        assertEquals(
                200,
                publish("p4", 1, List.of("quota cores=1 memory=1G tasks=1 # a: b"))
                        .statusCode());
        assertEquals(
                1,
                json(get(entry.operatorAddress(), "/v1/rules/sites"))
                        .path("sites")
                        .size());
    }

    @Test
    void secondEntryReadsRulesFromItsPeerWhileTheStoreIsDown() throws Exception {
        store.setDown(true);
        try (EntryNode second = startEntry("entry-b", "sued", address(entry.frameAddress()))) {
            assertEquals(503, get(second.operatorAddress(), "/health").statusCode());
            await().atMost(Duration.ofSeconds(10))
                    .untilAsserted(() -> assertEquals(
                            4,
                            json(get(second.operatorAddress(), "/v1/rules"))
                                    .path("lines")
                                    .size()));
        }
    }

    @Test
    void drainRefusesNewCallsAndReturnsThePurse() throws Exception {
        connect(call -> FakeGuard.answer(200, "ok"));
        assertEquals(
                200, send("GET", "/v1/services/bestellung/teuer", "", Map.of()).statusCode());
        await().untilAsserted(() -> assertTrue(
                json(get(entry.operatorAddress(), "/v1/budget")).path("purse").asLong() > 0));
        entry.drain();
        BudgetRecord last = BudgetRecords.fromBytes(store.last("budget"));
        assertInstanceOf(BudgetRecord.Return.class, last);
    }

    @Test
    void otherRegionForwardsToTheTargetAndToTheGuardOfAnId() throws Exception {
        connect(call -> FakeGuard.answer(200, "ring"));
        try (EntryNode far = startEntry("entry-n", "nord", address(entry.frameAddress()))) {
            await().atMost(Duration.ofSeconds(10))
                    .untilAsserted(() -> assertEquals(
                            200,
                            get(far.callerAddress(), "/v1/services/bestellung/suche")
                                    .statusCode()));
            HttpRequest minting =
                    request("POST", far.callerAddress(), "/v1/request-ids", "{\"service\":\"bestellung\"}", Map.of());
            String id = json(http.send(minting, HttpResponse.BodyHandlers.ofString()))
                    .path("id")
                    .asText();
            int before = guard.executions();
            for (int i = 0; i < 2; i++) {
                HttpRequest request = request(
                        "POST", far.callerAddress(), "/v1/services/bestellung/checkout", "x", Map.of("Request-Id", id));
                assertEquals(
                        200,
                        http.send(request, HttpResponse.BodyHandlers.ofString()).statusCode());
            }
            assertEquals(1, guard.executions() - before);
        }
    }

    @Test
    void snapshotIsWrittenWhenTheLastOneIsOld() throws Exception {
        try (EntryNode other =
                startEntry("entry-0", "sued", address(entry.frameAddress()), "--store-retention-ms", "10000")) {
            await().atMost(Duration.ofSeconds(10))
                    .until(() -> RulesRecords.fromBytes(store.last("rules")) instanceof RulesRecord.Snapshot);
            assertEquals(
                    1,
                    json(get(other.operatorAddress(), "/v1/rules"))
                            .path("revision")
                            .asLong());
        }
    }

    /*
     * Helpers
     */

    private EntryNode startEntry(String id, String region, String peers, String... more) throws Exception {
        List<String> all = new ArrayList<>(List.of(
                "entry",
                "--id",
                id,
                "--region",
                region,
                "--zone",
                region + "-a",
                "--store",
                "http://127.0.0.1:1",
                "--store-region",
                "sued",
                "--listen",
                "127.0.0.1:0",
                "--http",
                "127.0.0.1:0",
                "--operator-http",
                "127.0.0.1:0",
                "--peers",
                peers));
        all.addAll(List.of(more));
        return switch (new SettingsReader("test").read(all.toArray(String[]::new), Map.of())) {
            case Result.Ok<Settings> ok ->
                EntryNode.start(
                        ok.value(),
                        MonotonicClock.system(),
                        new EventLog(id),
                        new PrometheusMeterRegistry(PrometheusConfig.DEFAULT),
                        WorkNode::start,
                        any -> store);
            case Result.Err<Settings> err ->
                throw new IllegalStateException(err.problem().message());
        };
    }

    private void connect(Function<Call, CallResult> target) {
        guard = new FakeGuard(system, "guard-1", "bestellung", target);
        guard.connect(entry.frameAddress());
        await().untilAsserted(() -> assertEquals(
                "READY",
                json(get(entry.operatorAddress(), "/v1/targets"))
                        .path("targets")
                        .path(0)
                        .path("state")
                        .asText()));
    }

    private String mint() throws Exception {
        HttpResponse<String> minted = send("POST", "/v1/request-ids", "{\"service\":\"bestellung\"}", Map.of());
        assertEquals(900_000, json(minted).path("validMs").asLong());
        return json(minted).path("id").asText();
    }

    private HttpResponse<String> publish(String id, long base, List<String> added) throws Exception {
        String body = JSON.writeValueAsString(Map.of(
                "publishId", id, "baseRevision", base, "removed", List.of(), "added", added, "operator", "lena"));
        HttpRequest request = request("POST", entry.operatorAddress(), "/v1/rules", body, Map.of());
        await().until(() -> get(entry.operatorAddress(), "/health").statusCode() == 200);
        return http.send(request, HttpResponse.BodyHandlers.ofString());
    }

    private HttpResponse<String> send(String method, String path, String body, Map<String, String> headers)
            throws Exception {
        return http.send(
                request(method, entry.callerAddress(), path, body, headers), HttpResponse.BodyHandlers.ofString());
    }

    private HttpResponse<String> get(InetSocketAddress server, String path) throws Exception {
        return http.send(request("GET", server, path, "", Map.of()), HttpResponse.BodyHandlers.ofString());
    }

    private static HttpRequest request(
            String method, InetSocketAddress server, String path, String body, Map<String, String> headers) {
        HttpRequest.Builder builder = HttpRequest.newBuilder(URI.create("http://" + address(server) + path))
                .timeout(Duration.ofSeconds(20))
                .method(method, HttpRequest.BodyPublishers.ofString(body));
        headers.forEach(builder::header);
        return builder.build();
    }

    private static String address(InetSocketAddress server) {
        return server.getAddress().getHostAddress() + ":" + server.getPort();
    }

    private static JsonNode json(HttpResponse<String> response) throws IOException {
        return JSON.readTree(response.body());
    }

    private static void assertError(int status, String code, HttpResponse<String> response) throws IOException {
        assertEquals(status, response.statusCode(), response.body());
        assertEquals(code, json(response).path("code").asText());
        assertTrue(!json(response).path("remedy").asText().isEmpty());
    }

    private String sendSlowly() throws IOException {
        InetSocketAddress server = entry.callerAddress();
        try (Socket socket = new Socket(server.getAddress(), server.getPort())) {
            OutputStream out = socket.getOutputStream();
            out.write("POST /v1/services/bestellung/suche HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nabc"
                    .getBytes(StandardCharsets.US_ASCII));
            out.flush();
            byte[] first = socket.getInputStream().readNBytes(32);
            return new String(first, StandardCharsets.US_ASCII);
        }
    }
}
