import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * A small deployment on loopback addresses: entries and guards as processes, started with the run lines of the deploy
 * file, beside stand-ins of the store and of the workers. Not thread-safe.
 */
final class Site implements AutoCloseable {
    static final int BROKEN = 1;
    static final int HELD = 0;
    static final int NOT_RUN = 2;

    static final int CANCEL_MS = 3_000;
    static final int STOP_GRACE_MS = 900;
    static final int STABLE_WINDOW_MS = 3_000;
    static final int FINISH_MS = 14_000;

    private static final String SERVICE = "bestellung";
    private static final String HOST_HEADER = "shop.example";
    private static final String PREFIX = "/orders/";
    private static final int READY_MS = 30_000;
    private static final int MAX_CASE_MS = 110_000;
    private static final int PORTS = 12;
    private static final int STATE_PORT = 6;
    private static final Pattern RUN_LINE = Pattern.compile("^run = \"(.*)\"$", Pattern.MULTILINE);

    static {
        System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
    }

    final RunRecord record;
    final StoreStandIn store;
    final List<WorkerStandIn> workers = new ArrayList<>();
    private final Path directory;
    private final String network;
    private final int firstPort;
    private final int entries;
    private final Map<String, Process> processes = new LinkedHashMap<>();
    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(1))
            .build();

    /** Status and body of an answer; status 0 without one. */
    record Reply(int status, String body) {}

    /** Body of a case; returns whether the rule was broken. */
    interface Case {
        boolean isBroken(Site site, boolean trouble) throws Exception;
    }

    /**
     * Starts a deployment.
     *
     * @param kinds kind of each worker
     */
    Site(Path caseDirectory, int entries, List<String> kinds) throws IOException {
        this.entries = entries;
        record = new RunRecord(caseDirectory.resolve("record.txt"));
        directory = Files.createTempDirectory("fulmarreach-review");
        network = "127." + (10 + ThreadLocalRandom.current().nextInt(200)) + "."
                + (1 + ThreadLocalRandom.current().nextInt(250)) + ".";
        firstPort = findPorts(network + "200");
        store = new StoreStandIn(network + "200", firstPort);
        publishConfig();
        for (int i = 0; i < entries; i++) {
            startEntry(i);
        }
        for (int i = 0; i < kinds.size(); i++) {
            String host = network + (50 + i);
            writeSettings("guard-" + i, "guard", host);
            startProcess("guard-" + i, "guard");
            WorkerStandIn worker = new WorkerStandIn(
                    "i-" + (70_000 + i),
                    SERVICE,
                    host,
                    firstPort + 3,
                    host + ":" + (firstPort + 2),
                    kinds.get(i),
                    record);
            workers.add(worker);
            worker.start();
        }
    }

    /** Runs a case and ends the process with its exit status. */
    static void run(String[] args, int entries, int workerCount, Case body) {
        run(args, entries, Collections.nCopies(workerCount, "a"), body);
    }

    /** Runs a case with workers of several kinds and ends the process with its exit status. */
    static void run(String[] args, int entries, List<String> kinds, Case body) {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status = NOT_RUN;
        try (Site site = new Site(Path.of(args[0]), entries, kinds)) {
            Runtime.getRuntime().addShutdownHook(new Thread(site::killProcesses));
            CompletableFuture.delayedExecutor(MAX_CASE_MS, TimeUnit.MILLISECONDS).execute(() -> System.exit(NOT_RUN));
            try {
                site.record.write(trouble ? "with the disruption" : "without the disruption");
                if (site.awaitReady()) {
                    status = body.isBroken(site, trouble) ? BROKEN : HELD;
                }
            } catch (Exception e) {
                site.record.write("the case could not run: " + e);
            }
            site.record.write("exit status " + status);
        } catch (IOException e) {
            System.err.println("The deployment did not start: " + e);
        }
        System.exit(status);
    }

    /** Waits until the entries are ready, one of them leads, and all workers have run a task. */
    boolean awaitReady() {
        long untilMs = System.currentTimeMillis() + READY_MS;
        while (System.currentTimeMillis() < untilMs) {
            boolean ready = true;
            for (int i = 0; i < entries; i++) {
                ready &= send(request(i, firstPort + 1, "/v1/readiness").GET()).status() == 200;
            }
            if (ready && findLeader() >= 0 && readState(findLeader()).contains("guards=" + workers.size())) {
                record.write("ready, entry " + findLeader() + " leads");
                return true;
            }
            pause(100);
        }
        record.write("not ready in time; output in " + directory);
        return false;
    }

    /** Returns the entry that leads, as its page for operators says; -1 if none does. */
    int findLeader() {
        for (int i = 0; i < entries; i++) {
            if (readState(i).contains("leads=true")) {
                return i;
            }
        }
        return -1;
    }

    String readState(int entry) {
        return send(request(entry, firstPort + STATE_PORT, "/state").GET()).body();
    }

    /*
     * Consumers
     */

    static ObjectNode job(String specification) {
        ObjectNode job = HttpStandIn.JSON.createObjectNode().put("specification", specification);
        job.putArray("steps");
        return job;
    }

    static ObjectNode addStep(ObjectNode job, int count, int milliCores, int estimatedMs) {
        return ((ArrayNode) job.get("steps"))
                .addObject()
                .put("count", count)
                .put("cpu", milliCores)
                .put("mem_mb", 16)
                .put("estimated_ms", estimatedMs);
    }

    static String newId() {
        return String.format("%016x", ThreadLocalRandom.current().nextLong());
    }

    HttpRequest.Builder jobRequest(int entry, String id) {
        return request(entry, firstPort, PREFIX + id);
    }

    Reply submit(int entry, String id, ObjectNode job) {
        record.write("consumer sends POST " + id + " to entry " + entry);
        Reply reply = send(jobRequest(entry, id).POST(HttpRequest.BodyPublishers.ofString(job.toString())));
        record.write("answer to POST " + id + ": " + reply.status());
        return reply;
    }

    Reply cancel(int entry, String id) {
        record.write("consumer sends DELETE " + id + " to entry " + entry);
        Reply reply = send(jobRequest(entry, id).DELETE());
        record.write("answer to DELETE " + id + ": " + reply.status());
        return reply;
    }

    /** Returns the state of a job, or the status of the answer if it has none. */
    String state(int entry, String id) {
        Reply reply = send(jobRequest(entry, id).GET());
        try {
            return reply.status() == 200
                    ? HttpStandIn.JSON.readTree(reply.body()).path("state").asText()
                    : "status " + reply.status();
        } catch (IOException e) {
            return "unreadable";
        }
    }

    /** Waits for a state of a job; returns whether it came in time. */
    boolean awaitState(int entry, String id, String state, long forMs) {
        long untilMs = System.currentTimeMillis() + forMs;
        while (System.currentTimeMillis() < untilMs) {
            if (state(entry, id).equals(state)) {
                record.write("state of " + id + " at entry " + entry + ": " + state);
                return true;
            }
            pause(100);
        }
        record.write("state of " + id + " at entry " + entry + ": " + state(entry, id) + ", not " + state);
        return false;
    }

    CompletableFuture<Integer> sendAsync(HttpRequest.Builder request) {
        return client.sendAsync(request.build(), HttpResponse.BodyHandlers.discarding())
                .thenApply(HttpResponse::statusCode);
    }

    private HttpRequest.Builder request(int entry, int port, String path) {
        return HttpRequest.newBuilder(URI.create("http://" + entryHost(entry) + ":" + port + path))
                .timeout(Duration.ofSeconds(3))
                .header("Host", HOST_HEADER)
                .header("Content-Type", "application/json")
                .header("Fulmarreach-Deadline-Ms", "3000");
    }

    private Reply send(HttpRequest.Builder request) {
        try {
            HttpResponse<String> response = client.send(request.build(), HttpResponse.BodyHandlers.ofString());
            return new Reply(response.statusCode(), response.body());
        } catch (IOException e) {
            return new Reply(0, "");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return new Reply(0, "");
        }
    }

    /*
     * Workers
     */

    List<String> runsOf(String id) {
        List<String> runs = new ArrayList<>();
        for (WorkerStandIn worker : workers) {
            worker.runsOf(id).forEach(run -> runs.add(run + " on " + worker.id));
        }
        return runs;
    }

    int usedMilliCores() {
        return workers.stream().mapToInt(WorkerStandIn::usedMilliCores).sum();
    }

    int capacityMilliCores() {
        return workers.size() * WorkerStandIn.CAPACITY_MILLI_CORES;
    }

    /*
     * Processes
     */

    void startEntry(int entry) throws IOException {
        writeSettings("entry-" + entry, "entry", entryHost(entry));
        startProcess("entry-" + entry, "entry");
    }

    /** Sends a signal to a process that this site started. */
    void signal(String process, String signal) throws IOException, InterruptedException {
        record.write("signal " + signal + " to " + process);
        new ProcessBuilder("kill", "-" + signal, Long.toString(processes.get(process).pid())).start().waitFor();
    }

    private void startProcess(String name, String role) throws IOException {
        List<String> command = new ArrayList<>(List.of(findRunLine(role).split(" ")));
        command.add("--settings");
        command.add(directory.resolve(name + ".json").toString());
        processes.put(
                name,
                new ProcessBuilder(command)
                        .redirectErrorStream(true)
                        .redirectOutput(directory.resolve(name + ".log").toFile())
                        .start());
    }

    private static String findRunLine(String role) throws IOException {
        String text = Files.readString(Path.of("deploy", "system.toml"));
        Matcher line = RUN_LINE.matcher(text.substring(text.indexOf("[roles." + role + "]")));
        if (!line.find()) {
            throw new IOException("deploy/system.toml has no run line of the role " + role);
        }
        return line.group(1);
    }

    private void killProcesses() {
        processes.values().forEach(Process::destroyForcibly);
    }

    @Override
    public void close() {
        killProcesses();
        for (Process process : processes.values()) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        workers.forEach(WorkerStandIn::end);
        store.close();
        record.write("output of the processes is in " + directory.getFileName());
    }

    /*
     * Settings
     */

    private String entryHost(int entry) {
        return network + (1 + entry);
    }

    private void publishConfig() {
        ObjectNode config = HttpStandIn.JSON.createObjectNode().put("version", 3);
        config.putArray("routes")
                .addObject()
                .put("name", "orders")
                .put("host", HOST_HEADER)
                .put("path_prefix", PREFIX)
                .put("kind", "unsafe")
                .put("timeout_ms", 3_000)
                .put("target_latency_ms", 1_000)
                .put("priority", 0)
                .put("service", SERVICE)
                .put("max_attempts", 3)
                .put("stretch", 2.0);
        config.putArray("services")
                .addObject()
                .put("name", SERVICE)
                .put("health_check_path", "/health")
                .put("max_connections", 64)
                .put("enforces_capacity", true)
                .put("spare", false);
        config.putObject("limits").put("max_body_bytes", 262_144);
        store.publish("config", config);
    }

    private void writeSettings(String name, String role, String host) throws IOException {
        ObjectNode settings = HttpStandIn.JSON.createObjectNode();
        settings.put("node_name", name).put("role", role).put("ip_address", host);
        settings.put("machine_class", role.equals("entry") ? "frontend" : "side");
        settings.put("zone", "z1").put("region", "g1").put("bootstrap", true);
        settings.putObject("zones").put("z1", "g1");
        settings.put("heartbeat_interval_ms", 1_100).put("orders", "direct_call");
        settings.putArray("internal_port_range").add(firstPort + 5).add(firstPort + PORTS - 1);
        ArrayNode seeds = settings.putArray("seed_nodes");
        for (int i = 0; i < Math.min(3, entries); i++) {
            seeds.add(entryHost(i) + ":" + (firstPort + 2));
        }
        List.of("base", "drain", "config", "cost", "recover", "sched", "platform")
                .forEach(settings.withArray("contracts")::add);
        ObjectNode listen = settings.putObject("listen_addresses");
        listen.put("control_plane", host + ":" + (firstPort + 2));
        if (role.equals("entry")) {
            listen.put("frontend_address", host + ":" + firstPort)
                    .put("readiness_address", host + ":" + (firstPort + 1));
            settings.putArray("serves").add("frontend").add("control_plane");
        } else {
            settings.put("app", host + ":" + (firstPort + 3)).put("service", SERVICE);
            settings.putArray("serves").add("side");
        }
        settings.putObject("bounds")
                .put("stable_window_ms", STABLE_WINDOW_MS)
                .put("ack_timeout_ms", 4_000)
                .put("drain_ms", 2_500)
                .put("grace_s", 6)
                .put("config_apply_ms", 2_500)
                .put("recovery_s", 12)
                .put("max_hold_ms", 6_000)
                .put("stop_grace_ms", STOP_GRACE_MS)
                .put("gang_wait_ms", 3_000)
                .put("cancel_ms", CANCEL_MS)
                .put("visible_ms", 3_000)
                .put("early_ms", 250)
                .put("finish_s", FINISH_MS / 1_000)
                .put("status_s", 120)
                .put("checkpoint_interval_s", 0.5)
                .put("restore_ms", 100)
                .put("lease_ms", 3_000);
        settings.putObject("platform")
                .put("address", network + "200:" + firstPort)
                .put("form", "log")
                .put("writes_per_s", 800)
                .put("reads_per_s", 2_000)
                .put("parts", 12)
                .put("record_bytes", StoreStandIn.RECORD_BYTES)
                .put("request_bytes", StoreStandIn.REQUEST_BYTES)
                .put("keep_s", 300);
        Files.writeString(directory.resolve(name + ".json"), settings.toString());
    }

    private static int findPorts(String host) {
        for (int first = 21_000; first < 31_000; first += PORTS) {
            boolean free = true;
            for (int port = first; free && port < first + PORTS; port++) {
                try (ServerSocket probe = new ServerSocket()) {
                    probe.bind(new InetSocketAddress(host, port));
                } catch (IOException e) {
                    free = false;
                }
            }
            if (free) {
                return first;
            }
        }
        throw new UncheckedIOException(new IOException("no free ports on " + host));
    }

    static void pause(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
