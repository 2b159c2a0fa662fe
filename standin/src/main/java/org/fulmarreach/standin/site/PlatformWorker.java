package org.fulmarreach.standin.site;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.random.RandomGenerator;

import org.fulmarreach.standin.site.JsonServer.Answer;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Stand-in of a worker of the users' platform, with its faults. It keeps its id when it starts again, unless the
 * caller asks for another one; its clock and the numbers of its ends begin anew. Like the platform it names its
 * lifetime in heartbeats and lists, and not in the answers to orders. Thread-safe.
 */
public final class PlatformWorker {
    private static final int CAPACITY_MILLI_CORES = 64_000;
    private static final int MAX_HOLD_MS = 6_000;
    private static final int STOP_MS = 300;
    private static final int HEARTBEAT_MS = 1_100;
    private static final int TICK_MS = 5;

    /** A worker that leaves without a confirmation ends this long after it began to drain, and its time to serve on. */
    private static final int UNCONFIRMED_MS = 3_000;

    /** Time from the start of a lifetime after which late orders reach it. */
    private static final int UNFENCED_MS = 1_000;

    private final String machine;
    private final String service;
    private final String host;
    private final int port;
    private final String guardUrl;
    private final RunHistory history;
    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofMillis(500))
            .build();
    private JsonServer server;
    private Lifetime lifetime;
    private Lifetime refusing;
    private String id;
    private int renames;
    private long ordersHeldUntilMs;
    private long ordersDelayedUntilMs;
    private int orderDelayMs;
    private final Set<String> delayedOrders = new HashSet<>();
    private long pollsHeldUntilMs;
    private boolean retired;
    private final List<Lifetime> lifetimes = new ArrayList<>();

    /** One lifetime of the process. */
    private static final class Lifetime {
        private final String id;
        private final long bornMs = System.currentTimeMillis();
        private final long clockOffsetMs = ThreadLocalRandom.current().nextLong(10_000_000);
        private final Map<String, RunHistory.Run> running = new LinkedHashMap<>();
        private final Map<String, Long> stopAtMs = new HashMap<>();
        private final Map<String, Integer> refusedUpTo = new HashMap<>();
        private final Map<Long, RunHistory.Run> ended = new LinkedHashMap<>();
        private long lastEnd;
        private long fence;
        private long leaseUntilMs;
        private long beats;
        private volatile int serveOnMs;
        private volatile long drainsUntilMs;
        private volatile boolean drainConfirmed;
        private volatile boolean over;
        private volatile long knownSinceMs = Long.MAX_VALUE;
        private volatile long lastAcceptedMs;
        private long leavesAtMs = Long.MAX_VALUE;

        private Lifetime(String id) {
            this.id = id;
        }

        long clockMs() {
            return System.currentTimeMillis() - bornMs + clockOffsetMs;
        }

        String name() {
            return id + "/" + bornMs;
        }
    }

    /**
     * Constructs a worker that is not started yet.
     *
     * @param id its id, until {@link #startRenamed}
     * @param service service that it belongs to
     * @param host IP address that it listens on
     * @param port port that it listens on
     * @param guardAddress {@code host:port} that receives its heartbeats
     * @param history receives its runs
     */
    public PlatformWorker(String id, String service, String host, int port, String guardAddress, RunHistory history) {
        this.id = id;
        this.machine = id;
        this.service = service;
        this.host = host;
        this.port = port;
        this.guardUrl = "http://" + guardAddress + "/v1/instances/";
        this.history = history;
    }

    /** Starts a lifetime, unless the machine is gone; its first heartbeat follows after a delay. */
    public synchronized void start(int firstHeartbeatMs) {
        if (retired) {
            return;
        }
        Lifetime started = new Lifetime(id);
        lifetime = started;
        lifetimes.add(started);
        server = new JsonServer(host, port, (path, query, body) -> answer(started, path, query, body));
        Thread.ofVirtual().start(() -> sendHeartbeats(started, firstHeartbeatMs));
        Thread.ofVirtual().start(() -> work(started));
    }

    /** Starts a lifetime under an id that no lifetime at this address has had, as {@link #start} does. */
    public synchronized void startRenamed(int firstHeartbeatMs) {
        id = machine + "-" + ++renames;
        start(firstHeartbeatMs);
    }

    /** Ends the process with all that it runs. */
    public synchronized void crash() {
        if (lifetime.over) {
            return;
        }
        lifetime.over = true;
        lifetime.leavesAtMs = Math.min(lifetime.leavesAtMs, System.currentTimeMillis());
        if (refusing != lifetime) {
            server.close();
        }
        lifetime.running.values().forEach(run -> run.end("lost"));
        notifyAll();
    }

    /** Ends the process as {@link #crash} does, and its machine with it: nothing starts here again. */
    public synchronized void retire() {
        retired = true;
        crash();
    }

    /** Returns whether the worker will not start again. */
    public synchronized boolean isRetired() {
        return retired;
    }

    /** Returns whether the guard has accepted a heartbeat of the present lifetime since a moment. */
    public synchronized boolean isKnownSince(long sinceMs) {
        return lifetime.lastAcceptedMs >= sinceMs;
    }

    /** Returns the times in which the worker took tasks: known and not draining. */
    public synchronized List<StandingGaps.Service> listServices() {
        return lifetimes.stream()
                .map(each -> new StandingGaps.Service(
                        each.name(), CAPACITY_MILLI_CORES, new StandingGaps.Span(each.knownSinceMs, each.leavesAtMs)))
                .toList();
    }

    /**
     * Reports the worker as draining, serves on after the confirmation, deregisters and ends. Returns after the end.
     *
     * @param serveOnMs time after the confirmation, in milliseconds
     * @return false if the worker does not run or drains already, or if it has crashed meanwhile
     */
    public boolean drain(int serveOnMs) {
        Lifetime leaving;
        synchronized (this) {
            leaving = lifetime;
            if (leaving.over || leaving.drainsUntilMs > 0) {
                return false;
            }
            leaving.serveOnMs = serveOnMs;
            leaving.leavesAtMs = System.currentTimeMillis();
            leaving.drainsUntilMs = System.currentTimeMillis() + serveOnMs + UNCONFIRMED_MS;
        }
        boolean extended = false;
        while (!leaving.over && System.currentTimeMillis() < leaving.drainsUntilMs) {
            sleep(TICK_MS);
            if (leaving.drainConfirmed && !extended) {
                extended = true;
                leaving.drainsUntilMs = System.currentTimeMillis() + serveOnMs;
            }
        }
        if (leaving.over) {
            return false;
        }
        send(leaving.id + "/deregister", "");
        synchronized (this) {
            if (leaving.over) {
                return false;
            }
            crash();
            return true;
        }
    }

    /** Returns whether a lifetime is running. */
    public synchronized boolean isUp() {
        return !lifetime.over;
    }

    /** Closes the listener and all connections, and works on; {@link #accept} ends it. */
    public synchronized void refuse() {
        if (!lifetime.over && refusing == null) {
            refusing = lifetime;
            server.close();
        }
    }

    /** Opens the listener again, unless the lifetime that had closed it is over. */
    public synchronized void accept() {
        if (refusing == lifetime && !lifetime.over) {
            server.open();
        }
        refusing = null;
    }

    /** Leaves orders unanswered for a while; each is carried out after a delay all the same. */
    public synchronized void holdOrders(int forMs) {
        ordersHeldUntilMs = System.currentTimeMillis() + forMs;
    }

    /**
     * Leaves the first attempt of each order unanswered for a while. It is carried out after a delay, by the lifetime
     * that is up then under the same id.
     */
    public synchronized void delayOrders(int forMs, int delayMs) {
        ordersDelayedUntilMs = System.currentTimeMillis() + forMs;
        orderDelayMs = delayMs;
    }

    /** Answers polls late for a while, so that later calls overtake them. */
    public synchronized void holdPolls(int forMs) {
        pollsHeldUntilMs = System.currentTimeMillis() + forMs;
    }

    private void sendHeartbeats(Lifetime current, int firstMs) {
        sleep(firstMs);
        while (!current.over) {
            ObjectNode body = describe(current).put("sequence", ++current.beats);
            boolean accepted = send(current.id + "/heartbeat", body.toString());
            current.drainConfirmed |= accepted && body.has("remaining_ms");
            if (accepted) {
                current.lastAcceptedMs = System.currentTimeMillis();
                current.knownSinceMs = Math.min(current.knownSinceMs, current.lastAcceptedMs);
            }
            sleep(accepted ? HEARTBEAT_MS : 200);
        }
    }

    /** Sends what no worker sends to the guard. */
    public void sendStrange(StrangeHeartbeat strange, RandomGenerator random) {
        Lifetime current;
        synchronized (this) {
            current = lifetime;
        }
        ObjectNode body = describe(current).put("sequence", current.beats + 1);
        String text = strange.text(body, System.currentTimeMillis(), random);
        send(strange.workerId(current.id, random) + "/" + strange.call(), text);
    }

    private ObjectNode describe(Lifetime current) {
        ObjectNode body = JsonServer.JSON.createObjectNode();
        body.put("service", service).put("address", host + ":" + port).put("zone", "z1");
        body.put("version", "v1").put("slots", 8).put("state", "ready").put("cold_remaining_ms", 0);
        if (current.drainsUntilMs > 0) {
            long remainingMs = Math.min(current.serveOnMs, current.drainsUntilMs - System.currentTimeMillis());
            body.put("state", "draining").put("remaining_ms", Math.max(0, remainingMs));
        }
        body.putObject("capacity")
                .put("cpu", CAPACITY_MILLI_CORES)
                .put("mem_mb", 250_000)
                .put("gpu", 0);
        body.putArray("labels").add("a").add("r1-" + machine);
        return body.put("born", current.bornMs).put("clock_ms", current.clockMs());
    }

    /** Sends a text to the guard; returns whether it was accepted. */
    private boolean send(String path, String text) {
        HttpRequest request = HttpRequest.newBuilder(URI.create(guardUrl + path))
                .timeout(Duration.ofSeconds(1))
                .POST(HttpRequest.BodyPublishers.ofString(text))
                .build();
        try {
            return client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode() / 100 == 2;
        } catch (IOException e) {
            return false;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    private void work(Lifetime current) {
        while (!current.over) {
            synchronized (this) {
                long nowMs = System.currentTimeMillis();
                boolean lapsed = current.clockMs() > current.leaseUntilMs;
                for (RunHistory.Run run : List.copyOf(current.running.values())) {
                    String how;
                    if (run.isGangDone()) {
                        how = "done";
                    } else if (lapsed) {
                        how = "lapsed";
                    } else if (current.stopAtMs.getOrDefault(run.task(), Long.MAX_VALUE) <= nowMs) {
                        how = "stopped";
                    } else {
                        how = run.findOwnEnd();
                    }
                    if (how != null) {
                        end(current, run, how);
                    }
                }
                if (lapsed) {
                    current.ended.values().forEach(RunHistory.Run::excuse);
                }
            }
            sleep(TICK_MS);
        }
    }

    private void end(Lifetime current, RunHistory.Run run, String how) {
        current.running.remove(run.task());
        current.stopAtMs.remove(run.task());
        current.refusedUpTo.merge(run.task(), run.number(), Math::max);
        run.end(how);
        current.ended.put(++current.lastEnd, run);
        notifyAll();
    }

    private Answer answer(Lifetime current, String path, Map<String, String> query, byte[] body)
            throws InterruptedException, IOException {
        if (query.containsKey("expected") && !query.get("expected").equals(current.id)) {
            return Answer.json(421, clock(current));
        }
        JsonNode call = JsonServer.JSON.readTree(body);
        boolean poll = path.equals("/v1/hold");
        long heldUntilMs = poll ? pollsHeldUntilMs : ordersHeldUntilMs;
        boolean held = System.currentTimeMillis() < heldUntilMs;
        if (!poll && isDelayed(path, call)) {
            Thread.ofVirtual().start(() -> carryOutLate(current.id, path, call));
            return null;
        }
        if (held) {
            Thread.sleep(ThreadLocalRandom.current().nextInt(poll ? 800 : 2_000));
        }
        Answer answer = carryOut(current, path, call);
        return held && !poll ? null : answer;
    }

    private synchronized boolean isDelayed(String path, JsonNode call) {
        return System.currentTimeMillis() < ordersDelayedUntilMs
                && delayedOrders.add(path + " " + call.path("task").asText() + " " + call.path("run_id"));
    }

    private void carryOutLate(String expectedId, String path, JsonNode call) {
        sleep(orderDelayMs);
        Lifetime present;
        synchronized (this) {
            present = lifetime;
        }
        // A guard needs this time to reach a lifetime; before that it cannot keep it from carrying out late orders.
        sleep(Math.max(0, present.bornMs + UNFENCED_MS - System.currentTimeMillis()));
        if (!present.id.equals(expectedId)) {
            return;
        }
        try {
            carryOut(present, path, call);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private Answer carryOut(Lifetime current, String path, JsonNode call) throws InterruptedException {
        synchronized (this) {
            if (current.over) {
                return null;
            }
            long fence = call.path("fencing_token").asLong(0);
            if (fence < current.fence) {
                return Answer.json(409, clock(current).put("reason", "fence"));
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
                default -> Answer.json(200, clock(current));
            };
        }
    }

    private static ObjectNode clock(Lifetime current) {
        return JsonServer.JSON.createObjectNode().put("clock_ms", current.clockMs());
    }

    private Answer start(Lifetime current, JsonNode call) {
        String task = call.get("task").asText();
        int number = call.get("run_id").asInt();
        RunHistory.Run present = current.running.get(task);
        if (present != null && present.number() == number) {
            return Answer.json(200, clock(current));
        }
        if (present != null || current.refusedUpTo.getOrDefault(task, 0) >= number) {
            return Answer.json(409, clock(current).put("reason", "old"));
        }
        if (current.clockMs() > current.leaseUntilMs) {
            return Answer.json(409, clock(current).put("reason", "late"));
        }
        Workload workload = Workload.parse(call.get("specification").asText());
        String checkpoint = call.path("checkpoint").asText("");
        current.running.put(task, history.start(task, number, current.name(), workload, checkpoint));
        return Answer.json(200, clock(current));
    }

    private Answer stop(Lifetime current, JsonNode call) {
        String task = call.get("task").asText();
        int number = call.get("run_id").asInt();
        current.refusedUpTo.merge(task, number, Math::max);
        RunHistory.Run present = current.running.get(task);
        if (present != null && present.number() <= number) {
            current.stopAtMs.putIfAbsent(task, System.currentTimeMillis() + STOP_MS);
        }
        return Answer.json(200, clock(current));
    }

    private Answer list(Lifetime current, JsonNode call) throws InterruptedException {
        long lastSeen = call.path("last_seen").asLong(0);
        current.ended
                .entrySet()
                .removeIf(end -> end.getKey() <= lastSeen && end.getValue().note());
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
        for (RunHistory.Run run : current.running.values()) {
            running.addArray()
                    .add(run.task())
                    .add(run.number())
                    .add(run.saved())
                    .add(run.percent())
                    .add(100);
        }
        ArrayNode ended = answer.putArray("ended");
        List<Map.Entry<Long, RunHistory.Run>> ends = new ArrayList<>(current.ended.entrySet());
        ends.forEach(end -> ended.addArray()
                .add(end.getKey())
                .add(end.getValue().task())
                .add(end.getValue().number())
                .add(end.getValue().how())
                .add(end.getValue().saved()));
        return Answer.json(200, answer);
    }

    private static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
