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

/**
 * A worker with enforced capacity. A specification "w=MS cpu=MILLICORES mem=MB [save=MS]" tells how long a task works,
 * what it takes up and how often it saves a checkpoint; "w=0" is a task that lasts.
 */
final class Worker {
    static final int CPU = 64_000;
    static final int MEM_MB = 256_000;
    private static final int MAX_HOLD_MS = 6_000;
    private static final int STOP_MS = 300;
    private static final int HEARTBEAT_MS = 1_100;
    private static final int LISTED_ENDS = 500;

    private final String id;
    private final String service;
    private final String address;
    private final String rack;
    private final String guardUrl;
    private final Record record;
    private final Runs runs;
    private final boolean quiet;
    private final Server server;
    private final long bornMs = System.currentTimeMillis();
    private final Map<String, Run> running = new LinkedHashMap<>();
    private final Map<String, Long> refusedUpTo = new HashMap<>();
    private final Map<Long, Run> ended = new LinkedHashMap<>();
    private long lastEnd;
    private long fence;
    private long leaseUntilMs;
    private int cpuTaken;
    private int memTaken;
    private int starts;
    private volatile boolean over;

    private static final class Run {
        private String task;
        private long number;
        private long startedAtMs;
        private long workMs;
        private int cpu;
        private int mem;
        private long saveMs;
        private long stopAtMs = Long.MAX_VALUE;
        private String how = "";
        private String saved = "";

        void save(long nowMs) {
            if (saveMs > 0 && nowMs - startedAtMs >= saveMs) {
                saved = String.format("%016x", (long) task.hashCode() << 32 | (nowMs - startedAtMs) / saveMs);
            }
        }
    }

    /** Starts a worker; with {@code quiet} its runs are counted, not written one by one. */
    Worker(String id, String service, String host, int port, String rack, String guard, Record record, Runs runs,
            boolean quiet)
            throws IOException {
        this.id = id;
        this.service = service;
        this.address = host + ":" + port;
        this.rack = rack;
        this.guardUrl = "http://" + guard + "/v1/instances/" + id;
        this.record = record;
        this.runs = runs;
        this.quiet = quiet;
        server = new Server(host, port, this::answer);
        Thread.ofVirtual().start(this::sendHeartbeats);
        Thread.ofVirtual().start(this::work);
    }

    void close() {
        over = true;
        server.close();
    }

    /** Returns whether a task of a submission runs here. */
    synchronized boolean runs(String jobId) {
        return running.keySet().stream().anyMatch(task -> task.startsWith(jobId + "."));
    }

    synchronized int runningTasks() {
        return running.size();
    }

    synchronized int cpuTaken() {
        return cpuTaken;
    }

    synchronized int starts() {
        return starts;
    }

    private long clockMs() {
        return System.currentTimeMillis() - bornMs + 1_000;
    }

    private void sendHeartbeats() {
        HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1)
                .connectTimeout(Duration.ofMillis(500)).build();
        for (long sequence = 1; !over; sequence++) {
            Map<String, Object> body = new LinkedHashMap<>();
            body.put("service", service);
            body.put("address", address);
            body.put("zone", "z1");
            body.put("version", "v1");
            body.put("slots", 8);
            body.put("state", "ready");
            body.put("cold_remaining_ms", 0);
            body.put("capacity", Map.of("cpu", CPU, "mem_mb", MEM_MB, "gpu", 0));
            body.put("labels", List.of("a", rack));
            body.put("clock_ms", clockMs());
            body.put("born", bornMs);
            body.put("sequence", sequence);
            boolean accepted = false;
            try {
                accepted = client.send(HttpRequest.newBuilder(URI.create(guardUrl + "/heartbeat"))
                                .timeout(Duration.ofSeconds(1)).header("Content-Type", "application/json")
                                .POST(HttpRequest.BodyPublishers.ofString(Json.write(body))).build(),
                        HttpResponse.BodyHandlers.discarding()).statusCode() / 100 == 2;
            } catch (IOException e) {
                accepted = false;
            } catch (InterruptedException e) {
                return;
            }
            sleep(accepted ? HEARTBEAT_MS : 200);
        }
    }

    private void work() {
        while (!over) {
            synchronized (this) {
                long nowMs = System.currentTimeMillis();
                boolean lapsed = clockMs() > leaseUntilMs;
                if (lapsed) {
                    runs.lapsed(id);
                }
                for (Run run : List.copyOf(running.values())) {
                    boolean done = run.workMs > 0 && nowMs - run.startedAtMs >= run.workMs;
                    if (lapsed) {
                        end(run, "lapsed", nowMs);
                    } else if (run.stopAtMs <= nowMs) {
                        end(run, "stopped", nowMs);
                    } else if (done) {
                        end(run, "done", nowMs);
                    }
                }
            }
            sleep(10);
        }
    }

    private void end(Run run, String how, long nowMs) {
        run.how = how;
        run.save(nowMs);
        running.remove(run.task);
        cpuTaken -= run.cpu;
        memTaken -= run.mem;
        refusedUpTo.merge(run.task, run.number, Math::max);
        ended.put(++lastEnd, run);
        if (how.equals("done")) {
            runs.endedDone(run.task, run.number, id);
        }
        note("end " + how, run);
        notifyAll();
    }

    private void note(String what, Run run) {
        String text = "worker " + id + " " + run.task + " run " + run.number;
        if (quiet) {
            record.count(what, text);
        } else {
            record.line(what + ": " + text);
        }
    }

    private Server.Answer answer(String path, Map<String, String> query, byte[] body) throws InterruptedException {
        if (query.containsKey("expected") && !query.get("expected").equals(id)) {
            return Server.Answer.json(421, clock());
        }
        Map<String, Object> call = Json.parse(body);
        synchronized (this) {
            if (over) {
                return null;
            }
            long token = Json.number(call, "fencing_token", 0);
            if (token < fence) {
                return refuse("fence");
            }
            fence = token;
            if (call.containsKey("deadline_ms")) {
                long untilMs = Math.min(Json.number(call, "deadline_ms", 0), clockMs() + MAX_HOLD_MS);
                leaseUntilMs = Math.max(leaseUntilMs, untilMs);
            }
            return switch (path) {
                case "/v1/run-start" -> start(call);
                case "/v1/run-stop" -> stop(call);
                case "/v1/hold" -> list(call);
                default -> Server.Answer.json(200, clock());
            };
        }
    }

    private Map<String, Object> clock() {
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("clock_ms", clockMs());
        body.put("born", bornMs);
        return body;
    }

    private Server.Answer refuse(String reason) {
        Map<String, Object> body = clock();
        body.put("reason", reason);
        return Server.Answer.json(409, body);
    }

    private Server.Answer start(Map<String, Object> call) {
        Run run = new Run();
        run.task = (String) call.get("task");
        run.number = Json.number(call, "run_id", 0);
        Run present = running.get(run.task);
        if (present != null && present.number == run.number) {
            return Server.Answer.json(200, clock());
        }
        if (present != null || refusedUpTo.getOrDefault(run.task, 0L) >= run.number) {
            return refuse("old");
        }
        if (clockMs() > leaseUntilMs) {
            return refuse("late");
        }
        for (String word : ((String) call.getOrDefault("specification", "")).split(" ")) {
            int split = word.indexOf('=');
            long value = split < 0 ? 0 : Long.parseLong(word.substring(split + 1));
            switch (split < 0 ? "" : word.substring(0, split)) {
                case "w" -> run.workMs = value;
                case "cpu" -> run.cpu = (int) value;
                case "mem" -> run.mem = (int) value;
                case "save" -> run.saveMs = value;
                default -> { }
            }
        }
        if (cpuTaken + run.cpu > CPU || memTaken + run.mem > MEM_MB) {
            return refuse("room");
        }
        run.startedAtMs = System.currentTimeMillis();
        run.saved = (String) call.getOrDefault("checkpoint", "");
        cpuTaken += run.cpu;
        memTaken += run.mem;
        starts++;
        runs.started(run.task, run.number, id);
        running.put(run.task, run);
        note("start", run);
        return Server.Answer.json(200, clock());
    }

    private Server.Answer stop(Map<String, Object> call) {
        String task = (String) call.get("task");
        long number = Json.number(call, "run_id", 0);
        refusedUpTo.merge(task, number, Math::max);
        Run present = running.get(task);
        if (present != null && present.number <= number) {
            present.stopAtMs = Math.min(present.stopAtMs, System.currentTimeMillis() + STOP_MS);
        }
        return Server.Answer.json(200, clock());
    }

    private Server.Answer list(Map<String, Object> call) throws InterruptedException {
        long lastSeen = Json.number(call, "last_seen", 0);
        ended.entrySet().removeIf(each -> {
            boolean seen = each.getKey() <= lastSeen;
            if (seen) {
                runs.noted(each.getValue().task, each.getValue().number, id);
            }
            return seen;
        });
        long untilMs = System.currentTimeMillis() + Math.min(2_000, Json.number(call, "wait_ms", 0));
        for (long nowMs = System.currentTimeMillis();
                ended.isEmpty() && !over && nowMs < untilMs;
                nowMs = System.currentTimeMillis()) {
            wait(untilMs - nowMs);
        }
        if (over) {
            return null;
        }
        Map<String, Object> answer = clock();
        List<Object> rows = new ArrayList<>();
        long nowMs = System.currentTimeMillis();
        for (Run run : running.values()) {
            run.save(nowMs);
            long percent = run.workMs == 0 ? 100 : Math.min(99, 100 * (nowMs - run.startedAtMs) / run.workMs);
            rows.add(List.of(run.task, run.number, run.saved, percent, run.cpu));
        }
        answer.put("running", rows);
        List<Object> ends = new ArrayList<>();
        for (Map.Entry<Long, Run> each : ended.entrySet()) {
            if (ends.size() < LISTED_ENDS) {
                Run run = each.getValue();
                ends.add(List.of(each.getKey(), run.task, run.number, run.how, run.saved));
            }
        }
        answer.put("ended", ends);
        return Server.Answer.json(200, answer);
    }

    private static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
