package org.fulmarreach.standin;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.apache.pekko.actor.ActorSystem;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.fulmarreach.core.model.Resources;

import com.fasterxml.jackson.databind.JsonNode;

/** HTTP server of the worker agent of one VM; delegates to a {@link WorkerAgent}. */
final class WorkerStandIn {
    private static final int TICK_MS = 20;

    private final WorkerAgent agent;
    private final Journal journal;
    private final ScheduledExecutorService timer;
    private final StandInServer server;
    private volatile long delayMs;

    WorkerStandIn(ActorSystem system, ScheduledExecutorService timer, int port, WorkerAgent agent, Journal journal) {
        this.agent = agent;
        this.journal = journal;
        this.timer = timer;
        this.server = new StandInServer(system, port, this::handle, connections -> {});
        timer.scheduleWithFixedDelay(agent::tick, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
    }

    StandInServer server() {
        return server;
    }

    private CompletionStage<HttpResponse> handle(HttpRequest request, byte[] body) {
        String path = request.getUri().path();
        JsonNode json = StandInServer.parse(body);
        if (path.equals("/control")) {
            return CompletableFuture.completedFuture(control(json));
        }
        if (path.equals("/journal")) {
            return CompletableFuture.completedFuture(StandInServer.json(200, journal.snapshot()));
        }
        if (delayMs == 0) {
            return CompletableFuture.completedFuture(serve(request, json));
        }
        CompletableFuture<HttpResponse> later = new CompletableFuture<>();
        timer.schedule(() -> later.complete(serveOrBadRequest(request, json)), delayMs, TimeUnit.MILLISECONDS);
        return later;
    }

    private HttpResponse serveOrBadRequest(HttpRequest request, JsonNode json) {
        try {
            return serve(request, json);
        } catch (IllegalArgumentException e) {
            return StandInServer.error(400, e.getMessage());
        }
    }

    private HttpResponse serve(HttpRequest request, JsonNode json) {
        List<String> parts = new ArrayList<>();
        request.getUri().pathSegments().forEach(parts::add);
        String method = request.method().name();
        String route = method + " " + parts.getFirst() + (parts.size() > 2 ? " " + parts.get(2) : "");
        String id = parts.size() > 1 ? parts.get(1) : "";
        return switch (route) {
            case "GET capacity" -> StandInServer.json(200, describe(agent.capacity()));
            case "GET tasks" -> StandInServer.json(200, agent.list());
            case "PUT tasks" -> start(id, json);
            case "POST tasks renew" -> answer(agent.renew(id, requireLong(json, "leaseMs")));
            case "POST tasks throttle" ->
                answer(agent.throttle(id, json.path("share").asDouble()));
            case "POST tasks checkpoint" -> checkpoint(id);
            case "DELETE tasks" -> answer(agent.stop(id) ? Boolean.TRUE : null);
            default -> StandInServer.error(404, "no such path");
        };
    }

    private HttpResponse start(String id, JsonNode json) {
        Resources declared = new Resources(
                (int) Math.round(json.path("cores").asDouble() * 1000),
                json.path("memoryMb").asLong(),
                json.path("accelerators").asInt(0));
        long leaseMs = requireLong(json, "leaseMs");
        String refusal;
        try {
            refusal = agent.start(
                    id,
                    leaseMs,
                    declared,
                    json.path("task").asText(),
                    json.path("checkpoint").asText(null));
        } catch (IllegalArgumentException e) {
            // An invalid task specification or checkpoint fails on every retry, so the start is rejected with 422.
            refusal = String.valueOf(e.getMessage());
        }
        return refusal == null
                ? StandInServer.json(200, Map.of("state", "RUNNING"))
                : StandInServer.error(422, refusal);
    }

    private HttpResponse checkpoint(String id) {
        String checkpoint = agent.checkpoint(id);
        return checkpoint == null
                ? StandInServer.error(409, "the task is not running")
                : StandInServer.json(200, Map.of("checkpoint", checkpoint));
    }

    private static HttpResponse answer(Boolean running) {
        if (running == null) {
            return StandInServer.error(404, "no such task");
        }
        return running ? StandInServer.json(200, Map.of()) : StandInServer.error(409, "the task has ended");
    }

    private HttpResponse control(JsonNode settings) {
        delayMs = settings.path("delayMs").asLong(delayMs);
        if (settings.has("failAll")) {
            agent.setFailAll(settings.get("failAll").asBoolean());
        }
        if (settings.has("pausedUsage")) {
            agent.setUsagePaused(settings.get("pausedUsage").asBoolean());
        }
        return StandInServer.json(200, Map.of("delayMs", delayMs));
    }

    private static Map<String, Object> describe(Resources resources) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("cores", resources.milliCores() / 1000.0);
        fields.put("memoryMb", resources.memoryMb());
        fields.put("accelerators", resources.accelerators());
        return fields;
    }

    private static long requireLong(JsonNode json, String name) {
        if (!json.path(name).isNumber()) {
            throw new IllegalArgumentException("expected a number in the field " + name);
        }
        return json.get(name).asLong();
    }
}
