import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * Three entries and some workers with their guards on loopback addresses, with a store as stand-in. Processes have the
 * run lines of the deploy file; one that ends is started again after a second, as the platform does.
 */
final class Deployment implements AutoCloseable {
    static final int ENTRIES = 3;
    static final String PREFIX = "/jobs/";
    private static final String SERVICE = "svc";
    private static final String HOST = "review.example";
    private static final int PORTS = 20;
    private static final int RESTART_MS = 1_000;

    final Record record;
    final Runs runs;
    final List<Worker> workers = new CopyOnWriteArrayList<>();
    private final Path root;
    private final Path folder;
    private final String network;
    private final int port;
    private final Store store;
    private final Map<String, Process> processes = new ConcurrentHashMap<>();
    private final Set<String> killed = ConcurrentHashMap.newKeySet();
    private final Map<String, Integer> ends = new ConcurrentHashMap<>();
    private final HttpClient client;
    private volatile boolean closing;

    Deployment(Record record, int workerCount, boolean quiet) throws IOException {
        System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
        client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1)
                .connectTimeout(Duration.ofMillis(500)).build();
        this.record = record;
        this.runs = new Runs(record);
        root = Path.of("").toAbsolutePath();
        folder = Files.createTempDirectory("fulmarreach-review");
        long pid = ProcessHandle.current().pid();
        network = "127." + (20 + pid % 200) + "." + (1 + pid / 200 % 250) + ".";
        port = findPorts(network + "200");
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
        store = new Store(network + "200", port, record);
        store.publish("config", config());
        for (int i = 0; i < ENTRIES; i++) {
            start("entry-" + i, "entry", network + (1 + i));
        }
        addWorkers(workerCount, quiet);
    }

    /** Starts further workers, each with its guard and a rack of its own. */
    void addWorkers(int count, boolean quiet) throws IOException {
        for (int i = workers.size(), end = workers.size() + count; i < end; i++) {
            String host = network + (50 + i);
            start("guard-" + i, "guard", host);
            workers.add(new Worker("i-" + i, SERVICE, host, port + 3, "r1-" + i, host + ":" + (port + 2), record,
                    runs, quiet));
        }
    }

    /** Waits until all entries are ready; returns false after a time. */
    boolean awaitReady(long timeoutMs) throws InterruptedException {
        for (long untilMs = System.currentTimeMillis() + timeoutMs; System.currentTimeMillis() < untilMs; ) {
            int ready = 0;
            for (int i = 0; i < ENTRIES; i++) {
                ready += isReady(i) ? 1 : 0;
            }
            if (ready == ENTRIES) {
                record.line("all entries are ready");
                return true;
            }
            Thread.sleep(200);
        }
        return false;
    }

    boolean isReady(int entry) {
        return call(request(entry, port + 1, "/v1/readiness").GET()).startsWith("200");
    }

    /** Kills a process; it is started again as one that has ended by itself, but not counted as such. */
    void kill(String name) {
        record.line("kill " + name);
        killed.add(name);
        processes.get(name).destroyForcibly();
    }

    /** Returns the entry that leads, as its page for operators says; -1 if there is none. */
    int findLeader() {
        for (int i = 0; i < ENTRIES; i++) {
            if (call(request(i, port + 6, "/state").GET()).contains("leads=true")) {
                return i;
            }
        }
        return -1;
    }

    /** Returns how often a process has ended by itself. */
    int ends(String name) {
        return ends.getOrDefault(name, 0);
    }

    int entryEnds() {
        int sum = 0;
        for (int i = 0; i < ENTRIES; i++) {
            sum += ends("entry-" + i);
        }
        return sum;
    }

    /**
     * Hands a submission in as a consumer does: after no answer, 502, 503 or 504 again, at the next entry.
     *
     * @return the first entry's 2xx, or the last answer
     */
    String submit(String id, String body) throws InterruptedException {
        String answer = "";
        for (int attempt = 0; attempt < 5; attempt++) {
            int entry = attempt % ENTRIES;
            answer = call(request(entry, port, PREFIX + id).POST(HttpRequest.BodyPublishers.ofString(body)));
            record.line("POST " + id + " at entry-" + entry + ": " + answer);
            if (answer.startsWith("2")) {
                return answer;
            }
            Thread.sleep(300);
        }
        return answer;
    }

    /** Returns the answer to a GET: status and body; "none" without an answer. */
    String get(int entry, String id) {
        return call(request(entry, port, PREFIX + id).GET());
    }

    /** Returns the first state that an entry tells of a submission, or the last answer. */
    String state(String id) {
        String answer = "";
        for (int i = 0; i < ENTRIES; i++) {
            answer = get(i, id);
            if (answer.startsWith("200")) {
                return (String) Json.parse(answer.substring(4).getBytes(StandardCharsets.UTF_8)).get("state");
            }
        }
        return answer;
    }

    Store store() {
        return store;
    }

    /** Returns whether a task of a submission runs on a worker. */
    boolean runs(String jobId) {
        return workers.stream().anyMatch(worker -> worker.runs(jobId));
    }

    /**
     * Watches submissions that can start at once and fit twice. Returns those of which, for the whole time, nothing ran
     * and that were not final, while under half of the processors were in use.
     */
    List<String> findStarving(List<String> ids, long forMs) throws InterruptedException {
        List<String> starving = new ArrayList<>(ids);
        for (long untilMs = System.currentTimeMillis() + forMs; System.currentTimeMillis() < untilMs; ) {
            boolean idle = cpuTaken() < workers.size() * Worker.CPU / 2;
            starving.removeIf(id -> !idle || runs(id));
            Thread.sleep(50);
        }
        starving.removeIf(id -> List.of("completed", "failed", "cancelled").contains(state(id)));
        record.line("of " + ids.size() + " submissions these had nothing running for " + forMs + " ms, with "
                + cpuTaken() + " of " + workers.size() * Worker.CPU + " millicores in use: " + starving);
        return starving;
    }

    int cpuTaken() {
        return workers.stream().mapToInt(Worker::cpuTaken).sum();
    }

    int starts() {
        return workers.stream().mapToInt(Worker::starts).sum();
    }

    /** Copies the lines of the processes' logs that match to the record, the first few of each process. */
    void copyLogs(String regex, int most) throws IOException {
        Pattern pattern = Pattern.compile(regex);
        try (Stream<Path> files = Files.list(folder)) {
            for (Path file : files.filter(each -> each.toString().endsWith(".log")).sorted().toList()) {
                List<String> found = Files.readAllLines(file, StandardCharsets.ISO_8859_1).stream()
                        .filter(line -> pattern.matcher(line).find()).toList();
                for (int i = 0; i < Math.min(most, found.size()); i++) {
                    record.line("log " + file.getFileName() + ": "
                            + found.get(i).substring(0, Math.min(300, found.get(i).length())));
                }
            }
        }
    }

    @Override
    public synchronized void close() {
        if (closing) {
            return;
        }
        closing = true;
        processes.values().forEach(Process::destroyForcibly);
        for (Process process : processes.values()) {
            try {
                process.waitFor();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        workers.forEach(Worker::close);
        store.close();
        deleteFolder();
    }

    private void deleteFolder() {
        try (Stream<Path> files = Files.list(folder)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
            Files.delete(folder);
        } catch (IOException e) {
            record.line("the folder " + folder.getFileName() + " could not be deleted");
        }
    }

    private HttpRequest.Builder request(int entry, int toPort, String path) {
        return HttpRequest.newBuilder(URI.create("http://" + network + (1 + entry) + ":" + toPort + path))
                .timeout(Duration.ofSeconds(3)).header("Host", HOST).header("Content-Type", "application/json")
                .header("Fulmarreach-Deadline-Ms", "3000");
    }

    private String call(HttpRequest.Builder request) {
        try {
            HttpResponse<String> response = client.send(request.build(), HttpResponse.BodyHandlers.ofString());
            return response.statusCode() + " " + response.body();
        } catch (IOException e) {
            return "none";
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return "none";
        }
    }

    private void start(String name, String role, String host) throws IOException {
        Path settings = folder.resolve(name + ".json");
        Files.writeString(settings, Json.write(settings(name, role, host)));
        Matcher run = Pattern.compile("\\[roles\\." + role + "\\]\\s+run = \"([^\"]+)\"")
                .matcher(Files.readString(root.resolve("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("no run line for " + role);
        }
        ProcessBuilder builder = new ProcessBuilder(run.group(1).split(" ")).directory(root.toFile())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
        builder.environment().put("FULMARREACH_NODE_FILE", settings.toString());
        Thread.ofVirtual().start(() -> keepUp(name, builder));
    }

    private void keepUp(String name, ProcessBuilder builder) {
        try {
            while (!closing) {
                synchronized (this) {
                    if (closing) {
                        return;
                    }
                    processes.put(name, builder.start());
                }
                int code = processes.get(name).waitFor();
                if (!closing) {
                    if (!killed.remove(name)) {
                        ends.merge(name, 1, Integer::sum);
                        record.line("process " + name + " ended by itself with code " + code);
                    }
                    Thread.sleep(RESTART_MS);
                }
            }
        } catch (IOException e) {
            record.line("process " + name + " could not be started: " + e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static Map<String, Object> config() {
        Map<String, Object> route = new LinkedHashMap<>();
        route.put("name", "jobs");
        route.put("host", HOST);
        route.put("path_prefix", PREFIX);
        route.put("kind", "unsafe");
        route.put("timeout_ms", 3_000);
        route.put("target_latency_ms", 1_000);
        route.put("priority", 0);
        route.put("service", SERVICE);
        route.put("max_attempts", 3);
        route.put("stretch", 2.0);
        Map<String, Object> service = Map.of("name", SERVICE, "health_check_path", "/health",
                "max_connections", 64, "protocol", "h1", "enforces_capacity", true);
        return Map.of("version", 7, "routes", List.of(route), "services", List.of(service),
                "limits", Map.of("max_body_bytes", 262_144));
    }

    private Map<String, Object> settings(String name, String role, String host) {
        Map<String, Object> all = new LinkedHashMap<>();
        boolean entry = role.equals("entry");
        all.put("node_name", name);
        all.put("role", role);
        all.put("machine_class", entry ? "frontend" : "side");
        all.put("serves", entry ? List.of("frontend", "control_plane") : List.of("side"));
        all.put("ip_address", host);
        all.put("zone", "z1");
        all.put("region", "g1");
        all.put("zones", Map.of("z1", "g1"));
        Map<String, Object> listen = new LinkedHashMap<>();
        if (entry) {
            listen.put("frontend_address", host + ":" + port);
            listen.put("readiness_address", host + ":" + (port + 1));
        }
        listen.put("control_plane", host + ":" + (port + 2));
        all.put("listen_addresses", listen);
        all.put("internal_port_range", List.of(port + 5, port + PORTS - 1));
        List<Object> seeds = new ArrayList<>();
        for (int i = 0; i < ENTRIES; i++) {
            seeds.add(network + (1 + i) + ":" + (port + 2));
        }
        all.put("seed_nodes", seeds);
        all.put("bootstrap", true);
        all.put("counts_toward_tolerance", false);
        all.put("limits", entry
                ? Map.of("cpu_share", 0.75, "cpu_cores", 1, "memory_mb", 430, "file_descriptors", 4_100,
                        "link_mbps", 1_000.0, "disk_mb", 0)
                : Map.of("cpu_share", 0.45, "cpu_cores", 1, "memory_mb", 298, "file_descriptors", 4_096,
                        "link_mbps", 1_000.0, "disk_mb", 0));
        all.put("discovery", "local");
        all.put("entry_point", "virtual_ip");
        all.put("heartbeat_interval_ms", 1_100);
        all.put("contracts", List.of("base", "drain", "config", "cost", "recover", "sched", "platform", "sharing"));
        Map<String, Object> bounds = new LinkedHashMap<>();
        bounds.put("stable_window_ms", 3_000);
        bounds.put("ack_timeout_ms", 4_000);
        bounds.put("drain_ms", 2_500);
        bounds.put("grace_s", 6);
        bounds.put("config_apply_ms", 2_500);
        bounds.put("recovery_s", 12);
        bounds.put("max_hold_ms", 6_000);
        bounds.put("stop_grace_ms", 900);
        bounds.put("gang_wait_ms", 3_000);
        bounds.put("cancel_ms", 3_000);
        bounds.put("visible_ms", 3_000);
        bounds.put("finish_s", 14);
        bounds.put("status_s", 120);
        bounds.put("checkpoint_interval_s", 0.5);
        bounds.put("restore_ms", 100);
        all.put("bounds", bounds);
        all.put("orders", "direct_call");
        if (!entry) {
            all.put("app", host + ":" + (port + 3));
            all.put("service", SERVICE);
        }
        Map<String, Object> platform = new LinkedHashMap<>();
        platform.put("address", network + "200:" + port);
        platform.put("form", "log");
        platform.put("writes_per_s", 800);
        platform.put("reads_per_s", 2_000);
        platform.put("parts", 12);
        platform.put("append_ms", 2.0);
        platform.put("partition_mb_s", 20.0);
        platform.put("read_mb_s", 80.0);
        platform.put("record_bytes", Store.RECORD_BYTES);
        platform.put("request_bytes", Store.REQUEST_BYTES);
        platform.put("keep_s", 300);
        platform.put("partition_mb", 200);
        platform.put("min_ttl_ms", 1_000);
        all.put("platform", platform);
        return all;
    }

    private static int findPorts(String host) throws IOException {
        for (int first = 31_000; first < 41_000; first += PORTS) {
            boolean free = true;
            for (int each = first; free && each < first + PORTS; each++) {
                try (ServerSocket probe = new ServerSocket()) {
                    probe.bind(new InetSocketAddress(host, each));
                } catch (IOException e) {
                    free = false;
                }
            }
            if (free) {
                return first;
            }
        }
        throw new IOException("no free ports on " + host);
    }
}
