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

/** HTTP server of the log service; delegates to a {@link LogStore}. {@code POST /control} configures its faults. */
final class StoreStandIn {
    private static final int MAX_WAIT_MS = 60_000;

    private final LogStore store;
    private final ScheduledExecutorService timer;
    private final Random random;
    private final StandInServer server;
    private final List<PendingRead> pendingReads = new ArrayList<>();
    private final Map<String, Map<String, long[]>> countersByStream = new TreeMap<>();
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
            return completed(control(StandInServer.parse(body)));
        }
        if (path.equals("/control/stats")) {
            return completed(StandInServer.json(200, stats()));
        }
        String[] parts = path.split("/");
        if (parts.length != 4 || !parts[1].equals("streams") || !parts[3].equals("records")) {
            return completed(StandInServer.error(404, "no such path"));
        }
        return switch (outage) {
            case "refuse" -> completed(StandInServer.CLOSE);
            case "hang" -> new CompletableFuture<>();
            case "error" -> completed(StandInServer.error(503, "the store is unavailable"));
            default -> delayed(() -> serve(request, parts[2], body));
        };
    }

    private synchronized CompletionStage<HttpResponse> serve(HttpRequest request, String stream, byte[] body) {
        long[] counters = counters(stream, StandInServer.header(request, "Client-Region"));
        if (request.method().equals(HttpMethods.POST)) {
            return completed(append(stream, body, counters));
        }
        long from = StandInServer.queryLong(request, "from", 0);
        int max = (int) StandInServer.queryLong(request, "max", 1000);
        long waitMs = Math.min(MAX_WAIT_MS, StandInServer.queryLong(request, "waitMs", 0));
        HttpResponse immediate = tryRead(stream, from, max, counters, waitMs > 0);
        if (immediate != null) {
            return completed(immediate);
        }
        PendingRead pendingRead = new PendingRead(stream, from, max, counters, new CompletableFuture<>());
        pendingReads.add(pendingRead);
        timer.schedule(() -> endPendingRead(pendingRead), waitMs, TimeUnit.MILLISECONDS);
        return pendingRead.answer();
    }

    private HttpResponse append(String stream, byte[] body, long[] counters) {
        if (!store.tryAcquireAppend()) {
            return StandInServer.error(429, "rate limit of appends exceeded");
        }
        long offset = store.append(stream, body);
        counters[0]++;
        counters[1] += body.length;
        completePendingReads(stream);
        if (random.nextDouble() < loseAnswersShare) {
            return StandInServer.CLOSE;
        }
        return StandInServer.json(200, Map.of("offset", offset));
    }

    /** Returns the response to a read, or null if there are no records and {@code mayWait} is true. */
    private HttpResponse tryRead(String stream, long from, int max, long[] counters, boolean mayWait) {
        LogStore.ReadResult result = store.read(stream, from, max);
        if (from < result.first()) {
            return StandInServer.json(410, Map.of("first", result.first()));
        }
        if (result.records().isEmpty() && mayWait) {
            return null;
        }
        Map<String, Object> answer = new LinkedHashMap<>();
        answer.put("first", result.first());
        answer.put("next", result.next());
        List<Map<String, Object>> records = new ArrayList<>();
        for (LogStore.StoredRecord record : result.records()) {
            records.add(Map.of("offset", record.offset(), "data", record.data()));
            counters[3] += record.data().length;
        }
        answer.put("records", records);
        HttpResponse response = StandInServer.json(200, answer);
        counters[2]++;
        counters[4] += response.entity().getContentLengthOption().orElse(0);
        return response;
    }

    private void completePendingReads(String stream) {
        for (PendingRead pendingRead : List.copyOf(pendingReads)) {
            if (pendingRead.stream().equals(stream)) {
                HttpResponse answer =
                        tryRead(stream, pendingRead.from(), pendingRead.max(), pendingRead.counters(), true);
                if (answer != null) {
                    pendingReads.remove(pendingRead);
                    pendingRead.answer().complete(answer);
                }
            }
        }
    }

    private synchronized void endPendingRead(PendingRead pendingRead) {
        if (pendingReads.remove(pendingRead)) {
            pendingRead
                    .answer()
                    .complete(tryRead(
                            pendingRead.stream(),
                            pendingRead.from(),
                            pendingRead.max(),
                            pendingRead.counters(),
                            false));
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
            // A pending read must not get records during the outage: its connection is closed, or left open without a
            // response.
            List<PendingRead> open = List.copyOf(pendingReads);
            pendingReads.clear();
            if (!outage.equals("hang")) {
                open.forEach(pendingRead -> pendingRead.answer().complete(StandInServer.CLOSE));
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
        countersByStream.forEach((stream, clients) -> {
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
        return countersByStream
                .computeIfAbsent(stream, name -> new TreeMap<>())
                .computeIfAbsent(client, name -> new long[5]);
    }

    private static CompletionStage<HttpResponse> completed(HttpResponse response) {
        return CompletableFuture.completedFuture(response);
    }

    /** A long-polling read that waits for a record. */
    private record PendingRead(
            String stream, long from, int max, long[] counters, CompletableFuture<HttpResponse> answer) {}
}
