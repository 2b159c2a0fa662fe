import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Stand-in of a worker. The specification of a task names its work: {@code ms=1200 spread=500 cpu=200 saves=true}; without
 * {@code ms} the task lasts, and with {@code fails=20} each run of it ends so after that time. It keeps its id when it starts again after a crash; its clock and the numbers of its ends
 * begin anew, and it knows nothing of before. It enforces its capacity. Thread-safe.
 */
final class WorkerStandIn {
    static final int CAPACITY_MILLI_CORES = 64_000;
    private static final int MAX_HOLD_MS = 6_000;
    private static final int STOP_MS = 300;
    private static final int HEARTBEAT_MS = 1_100;
    private static final int STARTUP_MS = 400;
    private static final int SAVE_INTERVAL_MS = 500;
    private static final int RESTORE_MS = 100;
    private static final int MAX_ENDS = 500;
    private static final int TICK_MS = 10;

    final String id;
    private final String service;
    private final String host;
    private final int port;
    private final String guardUrl;
    private final RunRecord record;
    private final String kind;
    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofMillis(500))
            .build();
    private HttpStandIn server;
    private Lifetime lifetime;

    /** Decides which starts get no answer and are carried out later. */
    volatile StartFault startFault = (task, run) -> -1;

    interface StartFault {
        /** Returns the delay in ms after which the start is carried out without an answer; negative for a usual one. */
        long delayMs(String task, int run);
    }

    private static final class Run {
        private final String task;
        private final int number;
        private final RunRecord.Span span;
        private final long workMs;
        private final int milliCores;
        private final boolean saves;
        private final long failsAfterMs;
        private final long startedAtMs = System.currentTimeMillis();
        private final long savedBeforeMs;
        private String how;

        private Run(String task, int number, String specification, String checkpoint, RunRecord.Span span) {
            Map<String, String> fields = new HashMap<>();
            for (String field : specification.split(" ")) {
                int split = field.indexOf('=');
                if (split > 0) {
                    fields.put(field.substring(0, split), field.substring(split + 1));
                }
            }
            this.task = task;
            this.number = number;
            this.span = span;
            // The work of the tasks of a step differs: from ms to ms + spread.
            int spreadMs = Integer.parseInt(fields.getOrDefault("spread", "0"));
            this.workMs = Long.parseLong(fields.getOrDefault("ms", "-1"))
                    + (spreadMs > 0 ? Math.floorMod(task.hashCode() * 7919L, spreadMs) : 0);
            this.milliCores = Integer.parseInt(fields.getOrDefault("cpu", "100"));
            this.saves = fields.containsKey("saves");
            this.failsAfterMs = Long.parseLong(fields.getOrDefault("fails", "-1"));
            this.savedBeforeMs = checkpoint.isEmpty() ? 0 : Long.parseLong(checkpoint.substring(0, 8), 16);
        }

        private long workedMs() {
            long sinceStartMs = System.currentTimeMillis() - startedAtMs - (savedBeforeMs > 0 ? RESTORE_MS : 0);
            return savedBeforeMs + Math.max(0, sinceStartMs);
        }

        private String saved() {
            long savedMs = saves ? workedMs() / SAVE_INTERVAL_MS * SAVE_INTERVAL_MS : 0;
            return savedMs == 0 ? "" : String.format("%08x%08x", savedMs, task.hashCode());
        }

        private int percent() {
            return workMs < 0
                    ? (System.currentTimeMillis() - startedAtMs >= STARTUP_MS ? 100 : 0)
                    : (int) Math.min(100, 100 * workedMs() / workMs);
        }
    }

    private static final class Lifetime {
        private final long bornMs = System.currentTimeMillis();
        private final Map<String, Run> running = new LinkedHashMap<>();
        private final Map<String, Long> stopAtMs = new HashMap<>();
        private final Map<String, Integer> refusedUpTo = new HashMap<>();
        private final TreeMap<Long, Run> ended = new TreeMap<>();
        private long lastEnd;
        private long fence;
        private long leaseUntilMs;
        private volatile long beats;
        private volatile boolean over;

        private long clockMs() {
            return System.currentTimeMillis() - bornMs;
        }
    }

    WorkerStandIn(String id, String service, String host, int port, String guardAddress, String kind,
            RunRecord record) {
        this.id = id;
        this.service = service;
        this.host = host;
        this.port = port;
        this.guardUrl = "http://" + guardAddress + "/v1/instances/";
        this.kind = kind;
        this.record = record;
    }

    synchronized void start() {
        Lifetime started = new Lifetime();
        lifetime = started;
        server = new HttpStandIn(host, port, (method, path, query, body) -> answer(path, query, body));
        record.write("worker " + id + " starts, born " + started.bornMs);
        Thread.ofVirtual().start(() -> sendHeartbeats(started));
        Thread.ofVirtual().start(() -> work(started));
    }

    /** Ends the process with all that it runs. */
    synchronized void crash() {
        record.write("worker " + id + " crashes with " + lifetime.running.keySet());
        end();
    }

    /** Ends the process, also at the end of a case. */
    synchronized void end() {
        lifetime.over = true;
        server.close();
        lifetime.running.values().forEach(run -> run.span.end("lost"));
        lifetime.running.clear();
        notifyAll();
    }

    synchronized int usedMilliCores() {
        return lifetime.running.values().stream().mapToInt(run -> run.milliCores).sum();
    }

    /** Returns the runs of a job that are at work here now. */
    synchronized List<String> runsOf(String jobId) {
        return lifetime.running.values().stream()
                .filter(run -> run.task.startsWith(jobId + "."))
                .map(run -> run.task + "#" + run.number)
                .toList();
    }

    private void sendHeartbeats(Lifetime current) {
        for (long sequence = 1; !current.over; sequence++) {
            current.beats = sequence;
            boolean accepted = send(describe(current, sequence)) / 100 == 2;
            pause(accepted ? HEARTBEAT_MS : 200);
        }
    }

    /** Sends the guard a report of another writer: it names this worker and a service that the site does not have. */
    void sendForeignReport() {
        Lifetime current = lifetime;
        ObjectNode body = describe(current, current.beats + 1);
        body.put("service", "other-" + service).put("state", "draining").put("remaining_ms", 2_500);
        record.write("another writer reports worker " + id + " as draining, of service other-" + service + ": "
                + send(body));
    }

    private ObjectNode describe(Lifetime current, long sequence) {
        ObjectNode body = HttpStandIn.JSON.createObjectNode();
        body.put("service", service).put("address", host + ":" + port).put("zone", "z1");
        body.put("version", "v1").put("slots", 8).put("state", "ready").put("cold_remaining_ms", 0);
        body.putObject("capacity").put("cpu", CAPACITY_MILLI_CORES).put("mem_mb", 256_000).put("gpu", 0);
        body.putArray("labels").add(kind).add("r1-" + id);
        return body.put("born", current.bornMs).put("clock_ms", current.clockMs()).put("sequence", sequence);
    }

    /** Returns the status of the answer; 0 without one, as before the guard is up. */
    private int send(ObjectNode heartbeat) {
        HttpRequest request = HttpRequest.newBuilder(URI.create(guardUrl + id + "/heartbeat"))
                .timeout(Duration.ofSeconds(1))
                .POST(HttpRequest.BodyPublishers.ofString(heartbeat.toString()))
                .build();
        try {
            return client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
        } catch (IOException e) {
            return 0;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return 0;
        }
    }

    private void work(Lifetime current) {
        while (!current.over) {
            synchronized (this) {
                long nowMs = System.currentTimeMillis();
                boolean lapsed = current.clockMs() > current.leaseUntilMs;
                boolean anyEnded = false;
                for (Run run : List.copyOf(current.running.values())) {
                    String how = null;
                    if (lapsed) {
                        how = "lapsed";
                    } else if (current.stopAtMs.getOrDefault(run.task, Long.MAX_VALUE) <= nowMs) {
                        how = "stopped";
                    } else if (run.workMs >= 0 && run.workedMs() >= run.workMs) {
                        how = "done";
                    } else if (run.failsAfterMs >= 0 && run.workedMs() >= run.failsAfterMs) {
                        how = "failed";
                    }
                    if (how != null) {
                        run.how = how;
                        run.span.end(how);
                        current.running.remove(run.task);
                        current.stopAtMs.remove(run.task);
                        current.refusedUpTo.merge(run.task, run.number, Math::max);
                        current.ended.put(++current.lastEnd, run);
                        anyEnded = true;
                    }
                }
                if (anyEnded) {
                    notifyAll();
                }
            }
            pause(TICK_MS);
        }
    }

    /** A call that is carried out late meets the lifetime that runs then, if that has the id which the call names. */
    private HttpStandIn.Answer answer(String path, Map<String, String> query, byte[] body) throws Exception {
        JsonNode call = HttpStandIn.JSON.readTree(body);
        if (query.containsKey("expected") && !query.get("expected").equals(id)) {
            return HttpStandIn.Answer.json(421, clock(lifetime));
        }
        if (path.equals("/v1/run-start")) {
            String task = call.get("task").asText();
            int run = call.get("run_id").asInt();
            long delayMs = startFault.delayMs(task, run);
            if (delayMs >= 0) {
                record.write("worker " + id + " leaves start " + task + "#" + run + " unanswered, carries it out "
                        + delayMs + " ms later");
                Thread.ofVirtual().start(() -> carryOutLate(path, call, delayMs));
                return null;
            }
        }
        return carryOut(path, call);
    }

    private void carryOutLate(String path, JsonNode call, long delayMs) {
        pause(delayMs);
        try {
            HttpStandIn.Answer answer = carryOut(path, call);
            record.write("worker " + id + " carries out late start " + call.get("task").asText() + "#"
                    + call.get("run_id").asInt() + ": "
                    + (answer == null ? "down" : answer.status() + " " + new String(answer.body())));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized HttpStandIn.Answer carryOut(String path, JsonNode call) throws InterruptedException {
        Lifetime current = lifetime;
        if (current.over) {
            return null;
        }
        long fence = call.path("fencing_token").asLong(0);
        if (fence < current.fence) {
            return HttpStandIn.Answer.json(409, clock(current).put("reason", "fence"));
        }
        current.fence = fence;
        if (call.has("deadline_ms")) {
            long longestMs = current.clockMs() + MAX_HOLD_MS;
            current.leaseUntilMs = Math.max(
                    current.leaseUntilMs, Math.min(call.get("deadline_ms").asLong(), longestMs));
        }
        return switch (path) {
            case "/v1/run-start" -> start(current, call);
            case "/v1/run-stop" -> stop(current, call);
            case "/v1/hold" -> list(current, call);
            default -> HttpStandIn.Answer.json(200, clock(current));
        };
    }

    private static ObjectNode clock(Lifetime current) {
        return HttpStandIn.JSON.createObjectNode().put("clock_ms", current.clockMs());
    }

    private HttpStandIn.Answer start(Lifetime current, JsonNode call) {
        String task = call.get("task").asText();
        int number = call.get("run_id").asInt();
        Run present = current.running.get(task);
        if (present != null && present.number == number) {
            return HttpStandIn.Answer.json(200, clock(current));
        }
        if (present != null || current.refusedUpTo.getOrDefault(task, 0) >= number) {
            return HttpStandIn.Answer.json(409, clock(current).put("reason", "old"));
        }
        // A start is late if its own time is over, also where a later call has extended the lease.
        if (current.clockMs() > Math.min(current.leaseUntilMs, call.get("deadline_ms").asLong())) {
            return HttpStandIn.Answer.json(409, clock(current).put("reason", "late"));
        }
        Run run = new Run(task, number, call.get("specification").asText(), call.path("checkpoint").asText(""), null);
        if (usedMilliCores() + run.milliCores > CAPACITY_MILLI_CORES) {
            return HttpStandIn.Answer.json(409, clock(current).put("reason", "room"));
        }
        RunRecord.Span span = record.begin(task, number, id + "/" + current.bornMs);
        current.running.put(task, new Run(
                task, number, call.get("specification").asText(), call.path("checkpoint").asText(""), span));
        return HttpStandIn.Answer.json(200, clock(current));
    }

    private HttpStandIn.Answer stop(Lifetime current, JsonNode call) {
        String task = call.get("task").asText();
        int number = call.get("run_id").asInt();
        current.refusedUpTo.merge(task, number, Math::max);
        Run present = current.running.get(task);
        if (present != null && present.number <= number) {
            current.stopAtMs.putIfAbsent(task, System.currentTimeMillis() + STOP_MS);
        }
        return HttpStandIn.Answer.json(200, clock(current));
    }

    private HttpStandIn.Answer list(Lifetime current, JsonNode call) throws InterruptedException {
        long lastSeen = call.path("last_seen").asLong(0);
        current.ended.headMap(lastSeen, true).clear();
        long untilMs = System.currentTimeMillis() + call.path("wait_ms").asLong(0);
        for (long nowMs = System.currentTimeMillis();
                current.ended.isEmpty() && !current.over && nowMs < untilMs;
                nowMs = System.currentTimeMillis()) {
            wait(untilMs - nowMs);
        }
        if (current.over) {
            return null;
        }
        ObjectNode answer = clock(current).put("born", current.bornMs);
        ArrayNode running = answer.putArray("running");
        for (Run run : current.running.values()) {
            running.addArray().add(run.task).add(run.number).add(run.saved()).add(run.percent()).add(run.milliCores);
        }
        ArrayNode ended = answer.putArray("ended");
        for (Map.Entry<Long, Run> end : new ArrayList<>(current.ended.entrySet())) {
            if (ended.size() < MAX_ENDS) {
                Run run = end.getValue();
                ended.addArray().add(end.getKey()).add(run.task).add(run.number).add(run.how).add(run.saved());
            }
        }
        return HttpStandIn.Answer.json(200, answer);
    }

    private static void pause(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
