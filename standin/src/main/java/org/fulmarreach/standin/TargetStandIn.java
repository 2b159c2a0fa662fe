package org.fulmarreach.standin;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;

import org.apache.pekko.actor.ActorSystem;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Instance of a service. It waits for a random service time, echoes the request and counts the executions of each
 * request id.
 */
final class TargetStandIn {
    /** Maximum number of ids whose executions are counted; the oldest are evicted to limit memory. */
    private static final int MAX_IDS = 20_000;

    private static final int MAX_BODY_BYTES = 8 << 20;

    private final TargetOptions options;
    private final Journal journal;
    private final ScheduledExecutorService timer;
    private final Random random;
    private final DoubleSupplier slowdown;
    private final StandInServer server;
    private final Map<String, Integer> executions = new LinkedHashMap<>();
    private int running;
    private long executed;
    private long repeated;
    private boolean leaving;
    private boolean hang;
    private boolean fail;
    private boolean truncate;
    private double loseAnswersShare;
    private double slowFactor = 1;

    /**
     * Constructs a target and binds its server.
     *
     * @param slowdown external factor on the service time, for example caused by tasks on the same VM
     */
    TargetStandIn(
            ActorSystem system,
            ScheduledExecutorService timer,
            int port,
            TargetOptions options,
            Journal journal,
            DoubleSupplier slowdown) {
        this.options = options;
        this.journal = journal;
        this.timer = timer;
        this.random = new Random(options.seed());
        this.slowdown = slowdown;
        this.server = new StandInServer(system, port, this::handle, this::checkConnections);
    }

    StandInServer server() {
        return server;
    }

    // Request handling

    private synchronized CompletionStage<HttpResponse> handle(HttpRequest request, byte[] body) {
        HttpResponse immediate = switch (request.getUri().path()) {
            case "/control" -> control(StandInServer.parse(body));
            case "/journal" -> StandInServer.json(200, snapshot());
            case "/fulmarreach/target" -> hang ? null : StandInServer.json(200, announcement());
            default -> null;
        };
        if (immediate != null) {
            return CompletableFuture.completedFuture(immediate);
        }
        if (hang) {
            return new CompletableFuture<>();
        }
        return execute(request);
    }

    private CompletionStage<HttpResponse> execute(HttpRequest request) {
        String id = StandInServer.header(request, "Request-Id");
        int execution = countExecution(id);
        running++;
        executed++;
        String path = request.getUri().toRelative().toString();
        journal.add("EXECUTE", "requestId", id, "path", path, "execution", execution, "running", running);
        if (running > options.slots()) {
            journal.add("OVERFULL", "running", running, "slots", options.slots());
        }
        if (execution > 1) {
            repeated++;
            journal.add("REPEATED", "requestId", id, "execution", execution);
        }
        long bytes = Math.min(MAX_BODY_BYTES, StandInServer.queryLong(request, "bytes", 0));
        CompletableFuture<HttpResponse> answer = new CompletableFuture<>();
        timer.schedule(
                () -> answer.complete(finish(id, path, execution, (int) bytes)),
                drawServiceNanos(),
                TimeUnit.NANOSECONDS);
        return answer;
    }

    private synchronized HttpResponse finish(String id, String path, int execution, int bytes) {
        running--;
        if (random.nextDouble() < loseAnswersShare) {
            return StandInServer.CLOSE;
        }
        if (fail) {
            return StandInServer.error(500, "failure requested through /control");
        }
        byte[] body = echo(id, path, execution, bytes);
        return truncate
                ? StandInServer.truncated(body)
                : HttpResponse.create().withStatus(200).withEntity(ContentTypes.APPLICATION_JSON, body);
    }

    private int countExecution(String id) {
        if (id.isEmpty()) {
            return 1;
        }
        int execution = executions.merge(id, 1, Integer::sum);
        if (executions.size() > MAX_IDS) {
            executions.remove(executions.keySet().iterator().next());
        }
        return execution;
    }

    private long drawServiceNanos() {
        double factor = Math.exp(random.nextGaussian() * options.jitterSigma());
        return (long) (options.serviceMs() * factor * slowFactor * slowdown.getAsDouble() * 1e6);
    }

    private byte[] echo(String id, String path, int execution, int bytes) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("requestId", id);
        fields.put("path", path);
        fields.put("target", options.name());
        fields.put("execution", execution);
        fields.put("pad", "");
        int lengthWithoutPad = Journal.line(fields).getBytes(StandardCharsets.UTF_8).length;
        fields.put("pad", pad(id + path, Math.max(0, bytes - lengthWithoutPad)));
        return Journal.line(fields).getBytes(StandardCharsets.UTF_8);
    }

    /**
     * Returns text of the given length whose letter depends on {@code key}, so that the response of another request is
     * detected.
     */
    static String pad(String key, int length) {
        char letter = (char) ('a' + Math.floorMod(key.hashCode(), 26));
        return String.valueOf(letter).repeat(length);
    }

    private void checkConnections(int connections) {
        if (connections > options.connections()) {
            journal.add("OVERFULL", "connections", connections, "limit", options.connections());
        }
    }

    // Control

    private HttpResponse control(JsonNode settings) {
        leaving = settings.path("leaving").asBoolean(leaving);
        hang = settings.path("hang").asBoolean(hang);
        fail = settings.path("fail").asBoolean(fail);
        truncate = settings.path("truncate").asBoolean(truncate);
        loseAnswersShare = settings.path("loseAnswersShare").asDouble(loseAnswersShare);
        slowFactor = settings.path("slowFactor").asDouble(slowFactor);
        journal.add("CONTROL", "settings", settings.toString());
        return StandInServer.json(200, announcement());
    }

    private Map<String, Object> announcement() {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("service", options.service());
        fields.put("slots", options.slots());
        fields.put("connections", options.connections());
        fields.put("leaving", leaving);
        return fields;
    }

    private Map<String, Object> snapshot() {
        Map<String, Object> snapshot = new LinkedHashMap<>(journal.snapshot());
        snapshot.put("executed", executed);
        snapshot.put("repeated", repeated);
        snapshot.put("running", running);
        snapshot.put("executions", executions);
        return snapshot;
    }
}
