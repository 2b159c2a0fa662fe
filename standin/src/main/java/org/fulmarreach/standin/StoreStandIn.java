package org.fulmarreach.standin;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.apache.pekko.actor.ActorSystem;
import org.apache.pekko.http.javadsl.model.HttpMethods;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;

import com.fasterxml.jackson.databind.JsonNode;

/** The log service: HTTP over a {@link LogStore}, with faults switched by {@code POST /control}. */
final class StoreStandIn {
    private static final int MAX_WAIT_MS = 60_000;

    private final LogStore store;
    private final ScheduledExecutorService timer;
    private final Random random;
    private final StandInServer server;
    private final List<Waiter> waiters = new ArrayList<>();
    private final Map<String, Map<String, long[]>> traffic = new TreeMap<>();
    private String outage = "none";
    private long delayMs;
    private double loseAnswersShare;

    StoreStandIn(ActorSystem system, ScheduledExecutorService timer, int port, LogStore store, long seed) {
        this.store = store;
        this.timer = timer;
        this.random = new Random(seed);
        this.server = new StandInServer(system, port, this::handle, connections -> {});
    }

    StandInServer server() {
        return server;
    }

    // Request handling

    private synchronized CompletionStage<HttpResponse> handle(HttpRequest request, byte[] body) {
        String path = request.getUri().path();
        if (path.equals("/control")) {
            return done(control(StandInServer.parse(body)));
        }
        if (path.equals("/control/stats")) {
            return done(StandInServer.json(200, stats()));
        }
        String[] parts = path.split("/");
        if (parts.length != 4 || !parts[1].equals("streams") || !parts[3].equals("records")) {
            return done(StandInServer.error(404, "no such path"));
        }
        return switch (outage) {
            case "refuse" -> done(StandInServer.CLOSE);
            case "hang" -> new CompletableFuture<>();
            case "error" -> done(StandInServer.error(503, "the store is unavailable"));
            default -> delayed(() -> serve(request, parts[2], body));
        };
    }

    private synchronized CompletionStage<HttpResponse> serve(HttpRequest request, String stream, byte[] body) {
        long[] counters = counters(stream, StandInServer.header(request, "Client-Region"));
        if (request.method().equals(HttpMethods.POST)) {
            return done(append(stream, body, counters));
        }
        long from = StandInServer.queryLong(request, "from", 0);
        int max = (int) StandInServer.queryLong(request, "max", 1000);
        long waitMs = Math.min(MAX_WAIT_MS, StandInServer.queryLong(request, "waitMs", 0));
        HttpResponse now = readNow(stream, from, max, counters, waitMs > 0);
        if (now != null) {
            return done(now);
        }
        Waiter waiter = new Waiter(stream, from, max, counters, new CompletableFuture<>());
        waiters.add(waiter);
        timer.schedule(() -> endWait(waiter), waitMs, TimeUnit.MILLISECONDS);
        return waiter.answer();
    }

    private HttpResponse append(String stream, byte[] body, long[] counters) {
        if (!store.admitAppend()) {
            return StandInServer.error(429, "more appends a second than the store accepts");
        }
        long offset = store.append(stream, body);
        counters[0]++;
        counters[1] += body.length;
        wake(stream);
        if (random.nextDouble() < loseAnswersShare) {
            return StandInServer.CLOSE;
        }
        return StandInServer.json(200, Map.of("offset", offset));
    }

    /** Returns the answer to a read, or null when it is empty and {@code mayWait}. */
    private HttpResponse readNow(String stream, long from, int max, long[] counters, boolean mayWait) {
        LogStore.View view = store.read(stream, from, max);
        if (from < view.first()) {
            return StandInServer.json(410, Map.of("first", view.first()));
        }
        if (view.records().isEmpty() && mayWait) {
            return null;
        }
        Map<String, Object> answer = new LinkedHashMap<>();
        answer.put("first", view.first());
        answer.put("next", view.next());
        List<Map<String, Object>> records = new ArrayList<>();
        for (LogStore.StoredRecord record : view.records()) {
            records.add(Map.of("offset", record.offset(), "data", record.data()));
            counters[3] += record.data().length;
        }
        answer.put("records", records);
        HttpResponse response = StandInServer.json(200, answer);
        counters[2]++;
        counters[4] += response.entity().getContentLengthOption().orElse(0);
        return response;
    }

    private void wake(String stream) {
        for (Waiter waiter : List.copyOf(waiters)) {
            if (waiter.stream().equals(stream)) {
                HttpResponse answer = readNow(stream, waiter.from(), waiter.max(), waiter.counters(), true);
                if (answer != null) {
                    waiters.remove(waiter);
                    waiter.answer().complete(answer);
                }
            }
        }
    }

    private synchronized void endWait(Waiter waiter) {
        if (waiters.remove(waiter)) {
            waiter.answer().complete(readNow(waiter.stream(), waiter.from(), waiter.max(), waiter.counters(), false));
        }
    }

    private CompletionStage<HttpResponse> delayed(java.util.function.Supplier<CompletionStage<HttpResponse>> action) {
        if (delayMs == 0) {
            return action.get();
        }
        CompletableFuture<HttpResponse> later = new CompletableFuture<>();
        timer.schedule(
                () -> action.get().whenComplete((answer, failure) -> later.complete(answer)),
                delayMs,
                TimeUnit.MILLISECONDS);
        return later;
    }

    // Control

    private HttpResponse control(JsonNode settings) {
        outage = settings.path("outage").asText(outage);
        delayMs = settings.path("delayMs").asLong(delayMs);
        loseAnswersShare = settings.path("loseAnswersShare").asDouble(loseAnswersShare);
        if (settings.has("appendsPerS")) {
            store.setAppendsPerS(settings.get("appendsPerS").asInt());
        }
        if (!outage.equals("none")) {
            // A read that waits must not be answered during the outage; its connection closes or hangs as well.
            List<Waiter> open = List.copyOf(waiters);
            waiters.clear();
            if (!outage.equals("hang")) {
                open.forEach(waiter -> waiter.answer().complete(StandInServer.CLOSE));
            }
        }
        return StandInServer.json(
                200, Map.of("outage", outage, "delayMs", delayMs, "loseAnswersShare", loseAnswersShare));
    }

    private Map<String, Object> stats() {
        Map<String, Object> stats = new LinkedHashMap<>();
        stats.put("appendsBySecond", store.appendsBySecond());
        stats.put(
                "maxAppendsPerS",
                store.appendsBySecond().values().stream().mapToInt(n -> n).max().orElse(0));
        stats.put("offsets", store.offsets());
        Map<String, Object> streams = new LinkedHashMap<>();
        traffic.forEach((stream, clients) -> {
            Map<String, Object> byClient = new LinkedHashMap<>();
            clients.forEach((client, n) -> byClient.put(
                    client,
                    Map.of(
                            "appends", n[0],
                            "bytesWritten", n[1],
                            "reads", n[2],
                            "recordBytesRead", n[3],
                            "bytesRead", n[4])));
            streams.put(stream, byClient);
        });
        stats.put("streams", streams);
        return stats;
    }

    private long[] counters(String stream, String client) {
        return traffic.computeIfAbsent(stream, name -> new TreeMap<>()).computeIfAbsent(client, name -> new long[5]);
    }

    private static CompletionStage<HttpResponse> done(HttpResponse response) {
        return CompletableFuture.completedFuture(response);
    }

    /** A read that waits for a record. */
    private record Waiter(String stream, long from, int max, long[] counters, CompletableFuture<HttpResponse> answer) {}
}
