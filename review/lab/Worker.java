package review.lab;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import review.lab.HttpServer.Request;
import review.lab.HttpServer.Response;

/**
 * Stand-in of a worker, as PROTOCOL.md describes it. The specification of a task says how long it works, as {@code
 * work_ms=N}, whether it saves its progress ({@code saves}), and how many members its gang has ({@code members=N}).
 * Thread-safe.
 */
public final class Worker {
    private static final int HEARTBEAT_MS = 1_100;
    private static final int TICK_MS = 10;
    private static final int MAX_HOLD_MS = 6_000;
    private static final int STOP_MS = 600;
    private static final int CHECKPOINT_MS = 500;
    private static final int LISTED_ENDS = 500;
    private static final int GANG_WAIT_MS = 3_000;
    private static final Pattern WORK_MS = Pattern.compile("work_ms=(\\d+)");
    private static final Pattern MEMBERS = Pattern.compile("members=(\\d+)");

    private final Settings settings;
    private final Record record;
    private final List<Run> history;
    private final Gangs gangs;
    private final Client client = new Client();
    private Life life;
    private int lives;
    private StartHook startHook = (worker, task, run) -> StartAction.RUN;

    /** What does not change between the lifetimes of a worker. */
    public record Settings(
            String name,
            String host,
            int port,
            String guard,
            String service,
            String zone,
            String kind,
            String rack,
            long cpu) {}

    /** What a worker does with a start order. */
    public enum StartAction {
        /** It starts the run. */
        RUN,
        /** It leaves the order unanswered and does nothing. */
        IGNORE
    }

    /** Decides about a start order; runs on the thread of the connection, without the lock of the worker. */
    public interface StartHook {
        StartAction onStart(Worker worker, String task, int run);
    }

    /** A run of a task; {@code endMs} is -1 while it works. */
    public static final class Run {
        public final String task;
        public final int run;
        public final String worker;
        public final long startMs;
        public volatile long endMs = -1;
        public volatile String how = "";
        /** The checkpoint that the start carried; empty for none. */
        public final String checkpoint;
        private final long workMs;
        private final boolean saves;
        private final Gangs.Gang gang;
        private long stopAtMs = -1;

        Run(String task, int run, String worker, long startMs, String checkpoint, String specification, Gangs gangs) {
            this.task = task;
            this.run = run;
            this.worker = worker;
            this.startMs = startMs;
            this.checkpoint = checkpoint;
            this.workMs = number(WORK_MS, specification, 1_000);
            this.saves = specification.contains("saves");
            int members = (int) number(MEMBERS, specification, 0);
            this.gang = members == 0 ? null : gangs.join(this, members);
        }

        private static long number(Pattern pattern, String specification, long otherwise) {
            Matcher matcher = pattern.matcher(specification);
            return matcher.find() ? Long.parseLong(matcher.group(1)) : otherwise;
        }

        /** Returns since when the run works, or -1 while it waits for the other members of its gang. */
        private long workingSinceMs() {
            return gang == null ? startMs : gang.completeAtMs();
        }

        /** Returns the work that is done, with what the checkpoint of the start contained. */
        private long doneMs(long nowMs) {
            long resumedMs = checkpoint.isEmpty() ? 0 : Long.parseLong(checkpoint.substring(0, 8), 16);
            long sinceMs = workingSinceMs();
            return resumedMs + (sinceMs < 0 ? 0 : (endMs >= 0 ? endMs : nowMs) - sinceMs);
        }

        @Override
        public String toString() {
            return task + " run " + run + " on " + worker;
        }
    }

    /** One lifetime of the worker. */
    private final class Life {
        private final String id;
        private final long bornUnixMs = System.currentTimeMillis();
        private final long bornMs = record.nowMs();
        private final HttpServer server;
        private final Map<String, Run> running = new LinkedHashMap<>();
        private final Map<String, Integer> blockedRuns = new HashMap<>();
        private final List<List<Object>> ended = new ArrayList<>();
        private long lastEnd;
        private long fence;
        private long deadlineMs;
        private boolean over;

        Life(String id) throws IOException {
            this.id = id;
            server = new HttpServer(settings.host(), settings.port(), request -> answer(this, request));
        }

        long clockMs() {
            return record.nowMs() - bornMs;
        }
    }

    Worker(Settings settings, Record record, List<Run> history, Gangs gangs) {
        this.gangs = gangs;
        this.settings = settings;
        this.record = record;
        this.history = history;
    }

    public String name() {
        return settings.name();
    }

    public synchronized void onStart(StartHook hook) {
        startHook = hook;
    }

    /** Starts a lifetime under an id of its own; its first heartbeat follows at once. */
    public void start() throws IOException {
        start("i-" + settings.name() + "-" + (lives + 1), 0);
    }

    /** Starts a lifetime under a given id, with its first heartbeat after a delay. */
    public synchronized void start(String id, int firstHeartbeatMs) throws IOException {
        lives++;
        Life started = new Life(id);
        life = started;
        record.line("worker " + settings.name() + ": starts as " + id + ", born " + started.bornUnixMs);
        Thread.ofVirtual().start(() -> sendHeartbeats(started, firstHeartbeatMs));
        Thread.ofVirtual().start(() -> work(started));
    }

    /** Ends the process of the worker, with everything that it runs. */
    public synchronized void crash() {
        if (life == null || life.over) {
            return;
        }
        life.over = true;
        life.server.close();
        for (Run run : life.running.values()) {
            run.endMs = record.nowMs();
            run.how = "lost with its worker";
            if (run.gang != null) {
                run.gang.onEnd(run);
            }
        }
        record.line("worker " + settings.name() + ": crashes with " + life.running.values());
        notifyAll();
    }

    public synchronized String id() {
        return life.id;
    }

    /** Returns whether the worker is up. */
    public synchronized boolean isUp() {
        return life != null && !life.over;
    }

    /** Returns the number of runs that work now. */
    public synchronized int running() {
        return life == null || life.over ? 0 : life.running.size();
    }

    private void sendHeartbeats(Life current, int firstMs) {
        long sequence = 1;
        sleep(firstMs);
        while (!current.over) {
            Map<String, Object> body = Json.of(
                    "service", settings.service(),
                    "address", settings.host() + ":" + settings.port(),
                    "zone", settings.zone(),
                    "version", "v1",
                    "slots", 8,
                    "state", "ready",
                    "cold_remaining_ms", 0,
                    "capacity", Json.of("cpu", settings.cpu(), "mem_mb", 250_000, "gpu", 0),
                    "labels", List.of(settings.kind(), settings.rack()),
                    "born", current.bornUnixMs,
                    "clock_ms", current.clockMs(),
                    "sequence", sequence);
            Client.Answer answer = client.call(
                    settings.guard(), "POST", "/v1/instances/" + current.id + "/heartbeat", null, Json.write(body), 1_000);
            boolean accepted = answer.status() / 100 == 2;
            sequence++;
            sleep(accepted ? HEARTBEAT_MS : 200);
        }
    }

    private static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Ends runs that are done, were stopped, or whose lease has lapsed. */
    private void work(Life current) {
        while (!current.over) {
            synchronized (this) {
                long nowMs = record.nowMs();
                boolean lapsed = !current.running.isEmpty() && current.clockMs() > current.deadlineMs;
                for (Run run : List.copyOf(current.running.values())) {
                    if (lapsed) {
                        end(current, run, "lapsed");
                    } else if (run.stopAtMs >= 0 && nowMs >= run.stopAtMs) {
                        end(current, run, "stopped");
                    } else if (run.gang != null && run.gang.isBroken()) {
                        end(current, run, "broken");
                    } else if (run.workingSinceMs() < 0 && nowMs - run.startMs > GANG_WAIT_MS) {
                        end(current, run, "alone");
                    } else if (run.workingSinceMs() >= 0 && run.doneMs(nowMs) >= run.workMs) {
                        end(current, run, "done");
                    }
                }
            }
            sleep(TICK_MS);
        }
    }

    private void end(Life current, Run run, String how) {
        current.running.remove(run.task);
        block(current, run.task, run.run);
        run.endMs = record.nowMs();
        run.how = how;
        if (run.gang != null) {
            run.gang.onEnd(run);
        }
        current.lastEnd++;
        List<Object> row = new ArrayList<>(List.of(current.lastEnd, run.task, run.run, how, checkpoint(run)));
        current.ended.add(row);
        record.line("worker " + settings.name() + ": end " + current.lastEnd + " of " + run + ", " + how);
        notifyAll();
    }

    private String checkpoint(Run run) {
        long savedMs = run.doneMs(record.nowMs()) / CHECKPOINT_MS * CHECKPOINT_MS;
        return run.saves && savedMs > 0
                ? String.format("%08x%8s", savedMs, run.task.substring(0, 8))
                : run.checkpoint;
    }

    private static void block(Life current, String task, int run) {
        current.blockedRuns.merge(task, run, Math::max);
    }

    private Response answer(Life current, Request request) throws InterruptedException {
        String expected = request.headers().get("Fulmarreach-Expected-Instance");
        if (expected != null && !expected.equals(current.id)) {
            return reply(current, 421, Json.of());
        }
        if (request.path().equals("/health")) {
            return reply(current, 200, Json.of());
        }
        Map<String, Object> body = Json.object(request.text());
        String task = (String) body.get("task");
        if (request.path().equals("/v1/run-start")) {
            StartHook hook;
            synchronized (this) {
                hook = startHook;
            }
            int run = ((Long) body.get("run_id")).intValue();
            if (hook.onStart(this, task, run) == StartAction.IGNORE) {
                record.line("worker " + settings.name() + ": leaves the start of " + task + " run " + run + " unanswered");
                return null;
            }
        }
        synchronized (this) {
            if (current.over) {
                return null;
            }
            long fence = body.get("fencing_token") instanceof Long token ? token : 0;
            if (fence < current.fence) {
                record.line("worker " + settings.name() + ": refuses " + request.path() + " with fence " + fence);
                return reply(current, 409, Json.of("reason", "fence"));
            }
            current.fence = fence;
            return switch (request.path()) {
                case "/v1/run-start" -> startRun(current, body, task);
                case "/v1/run-stop" -> stopRun(current, body, task);
                case "/v1/hold" -> hold(current, body);
                case "/v1/pace" -> reply(current, 200, Json.of());
                default -> reply(current, 404, Json.of());
            };
        }
    }

    private static void extend(Life current, Map<String, Object> body) {
        if (body.get("deadline_ms") instanceof Long deadline) {
            current.deadlineMs = Math.max(current.deadlineMs, Math.min(deadline, current.clockMs() + MAX_HOLD_MS));
        }
    }

    private Response startRun(Life current, Map<String, Object> body, String task) {
        int number = ((Long) body.get("run_id")).intValue();
        Run present = current.running.get(task);
        extend(current, body);
        if (present != null && present.run == number) {
            return reply(current, 200, Json.of());
        }
        if (present != null || current.blockedRuns.getOrDefault(task, 0) >= number) {
            return reply(current, 409, Json.of("reason", "old"));
        }
        if (current.clockMs() > current.deadlineMs) {
            return reply(current, 409, Json.of("reason", "late"));
        }
        Run run = new Run(
                task,
                number,
                current.id,
                record.nowMs(),
                body.get("checkpoint") instanceof String checkpoint ? checkpoint : "",
                (String) body.get("specification"),
                gangs);
        current.running.put(task, run);
        synchronized (history) {
            history.add(run);
        }
        record.line("worker " + settings.name() + ": starts " + run + ", fence " + current.fence
                + (run.checkpoint.isEmpty() ? "" : ", checkpoint " + run.checkpoint));
        return reply(current, 200, Json.of());
    }

    private Response stopRun(Life current, Map<String, Object> body, String task) {
        int number = ((Long) body.get("run_id")).intValue();
        block(current, task, number);
        Run present = current.running.get(task);
        if (present != null && present.run <= number && present.stopAtMs < 0) {
            present.stopAtMs = record.nowMs() + STOP_MS;
        }
        record.line("worker " + settings.name() + ": is told to stop " + task + " run " + number);
        return reply(current, 200, Json.of());
    }

    private Response hold(Life current, Map<String, Object> body) throws InterruptedException {
        extend(current, body);
        long lastSeen = body.get("last_seen") instanceof Long seen ? seen : 0;
        current.ended.removeIf(row -> (long) row.get(0) <= lastSeen);
        long untilMs = record.nowMs() + (body.get("wait_ms") instanceof Long wait ? Math.min(wait, 2_000) : 0);
        while (current.ended.isEmpty() && !current.over && record.nowMs() < untilMs) {
            wait(Math.max(1, untilMs - record.nowMs()));
        }
        if (current.over) {
            return null;
        }
        List<Object> running = new ArrayList<>();
        for (Run run : current.running.values()) {
            long percent = Math.min(99, 100 * run.doneMs(record.nowMs()) / Math.max(1, run.workMs));
            running.add(List.of(run.task, run.run, checkpoint(run), percent, 100));
        }
        List<List<Object>> ended = current.ended.subList(0, Math.min(LISTED_ENDS, current.ended.size()));
        return reply(current, 200, Json.of("running", running, "ended", List.copyOf(ended)));
    }

    private static Response reply(Life current, int status, Map<String, Object> body) {
        body.put("clock_ms", current.clockMs());
        body.put("born", current.bornUnixMs);
        Response response = Response.json(status, body);
        Map<String, String> headers = new HashMap<>(response.headers());
        headers.put("Fulmarreach-Instance-Id", current.id);
        return new Response(status, headers, response.body());
    }
}
