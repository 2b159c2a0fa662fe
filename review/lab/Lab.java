package review.lab;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.BooleanSupplier;

/**
 * A small deployment on loopback addresses: the store, entries on machines of class frontend, and guards, each with its
 * worker, on machines of class side. The bounds are those of the site kreide-ops.
 */
public final class Lab implements AutoCloseable {
    public static final String HOST = "shop.example";
    public static final String SERVICE = "svc";
    private static final int READY_MS = 20_000;

    public final Record record;
    public final Store store;
    public final List<Node> entries = new ArrayList<>();
    public final List<Node> guards = new ArrayList<>();
    public final List<Worker> workers = new ArrayList<>();
    public final List<Worker.Run> history = Collections.synchronizedList(new ArrayList<>());
    private final Gangs gangs = new Gangs();
    private final Client client = new Client();
    private final Path folder;
    private final List<String> entryHosts = new ArrayList<>();
    private final int callerPort;
    private final int readinessPort;

    /** Judges a case: returns why the rule was broken, or null if it held. */
    public interface Case {
        String run(Lab lab, boolean trouble) throws Exception;
    }

    /**
     * Runs a case and ends the process: with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
     *
     * @param folder folder of the case, for record.txt
     */
    public static void run(String folder, int entryCount, int workerCount, Case body) throws IOException {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Record record = new Record(Path.of(folder, "record.txt"));
        record.line("case " + folder + ", trouble " + (trouble ? "on" : "off"));
        int status = 2;
        try (Lab lab = new Lab(record, entryCount, workerCount)) {
            Runtime.getRuntime().addShutdownHook(new Thread(lab::close));
            lab.awaitReady();
            String broken = body.run(lab, trouble);
            status = broken == null ? 0 : 1;
            record.line(broken == null ? "RESULT: the rule held" : "RESULT: the rule was broken: " + broken);
            System.out.println(broken == null ? "held" : "broken: " + broken);
        } catch (Exception e) {
            record.line("RESULT: the case could not run: " + e);
            System.out.println("could not run: " + e);
        }
        System.exit(status);
    }

    private Lab(Record record, int entryCount, int workerCount) throws IOException {
        this.record = record;
        folder = Files.createTempDirectory("review");
        Random random = new Random();
        String net = "127." + (10 + random.nextInt(200)) + "." + (1 + random.nextInt(250)) + ".";
        int base = findPorts(net, 10);
        callerPort = base;
        readinessPort = base + 1;
        int beatPort = base + 2;
        int appPort = base + 3;
        String storeAddress = net + "200:" + (base + 4);
        store = new Store(net + "200", base + 4, record);
        List<Object> seeds = new ArrayList<>();
        for (int i = 0; i < entryCount; i++) {
            entryHosts.add(net + (1 + i));
            if (i < 3) {
                seeds.add(net + (1 + i) + ":" + beatPort);
            }
        }
        for (int i = 0; i < entryCount; i++) {
            String host = entryHosts.get(i);
            Map<String, Object> settings = settings("frontend-" + (char) ('a' + i), host, base, seeds, storeAddress);
            settings.put("role", "entry");
            settings.put("machine_class", "frontend");
            settings.put("serves", List.of("frontend", "control_plane"));
            settings.put(
                    "listen_addresses",
                    Json.of(
                            "frontend_address", host + ":" + callerPort,
                            "readiness_address", host + ":" + readinessPort,
                            "control_plane", host + ":" + beatPort));
            entries.add(new Node("frontend-" + (char) ('a' + i), "entry", settings, folder, record));
        }
        for (int i = 0; i < workerCount; i++) {
            String host = net + (50 + i);
            String name = "side-" + (char) ('a' + i);
            Map<String, Object> settings = settings(name, host, base, seeds, storeAddress);
            settings.put("role", "guard");
            settings.put("machine_class", "side");
            settings.put("serves", List.of("side"));
            settings.put("listen_addresses", Json.of("control_plane", host + ":" + beatPort));
            settings.put("app", host + ":" + appPort);
            settings.put("service", SERVICE);
            guards.add(new Node(name, "guard", settings, folder, record));
            workers.add(new Worker(
                    new Worker.Settings(
                            "w" + (i + 1),
                            host,
                            appPort,
                            host + ":" + beatPort,
                            SERVICE,
                            "z1",
                            i < 2 ? "b" : "a",
                            "r1-" + (i + 1),
                            64_000),
                    record,
                    history,
                    gangs));
        }
    }

    private static int findPorts(String net, int count) throws IOException {
        for (int base = 21_000; base < 32_000; base += count) {
            boolean free = true;
            for (int port = base; free && port < base + count; port++) {
                for (String host : List.of("1", "2", "3", "50", "200")) {
                    try (ServerSocket probe = new ServerSocket()) {
                        probe.bind(new InetSocketAddress(InetAddress.getByName(net + host), port));
                    } catch (IOException e) {
                        free = false;
                    }
                }
            }
            if (free) {
                return base;
            }
        }
        throw new IOException("no free ports");
    }

    private static Map<String, Object> settings(
            String name, String host, int base, List<Object> seeds, String storeAddress) {
        return Json.of(
                "node_name", name,
                "ip_address", host,
                "zone", "z1",
                "region", "g1",
                "zones", Json.of("z1", "g1"),
                "internal_port_range", List.of(base + 5, base + 9),
                "seed_nodes", seeds,
                "bootstrap", true,
                "heartbeat_interval_ms", 1_100,
                "contracts",
                        List.of("base", "drain", "config", "cost", "recover", "sched", "platform", "upkeep", "sharing"),
                "bounds",
                        Json.of(
                                "stable_window_ms", 3_000,
                                "ack_timeout_ms", 4_000,
                                "drain_ms", 2_500,
                                "grace_s", 6,
                                "config_apply_ms", 2_500,
                                "recovery_s", 12,
                                "max_hold_ms", 6_000,
                                "stop_grace_ms", 900,
                                "gang_wait_ms", 3_000,
                                "cancel_ms", 3_000,
                                "visible_ms", 3_000,
                                "finish_s", 14,
                                "status_s", 120,
                                "checkpoint_interval_s", 0.5,
                                "restore_ms", 100),
                "orders", "direct_call",
                "platform",
                        Json.of(
                                "address", storeAddress,
                                "form", "log",
                                "parts", 12,
                                "record_bytes", 262_144,
                                "request_bytes", 2_097_152,
                                "keep_s", 300));
    }

    /** Returns a route of a config, that is a queue. */
    public static Map<String, Object> route(String name, String prefix, int maxAttempts) {
        return Json.of(
                "name", name,
                "host", HOST,
                "path_prefix", prefix,
                "kind", "unsafe",
                "timeout_ms", 3_000,
                "target_latency_ms", 1_000,
                "priority", 0,
                "service", SERVICE,
                "max_attempts", maxAttempts,
                "stretch", 2.0);
    }

    /** Writes a config with the given routes and waits for the store's confirmation. */
    @SafeVarargs
    public final void configure(long version, Map<String, Object>... routes) {
        store.putByOperator(
                "config",
                Json.of(
                        "version", version,
                        "routes", List.of(routes),
                        "services",
                                List.of(Json.of(
                                        "name", SERVICE, "health_check_path", "/health", "enforces_capacity", false)),
                        "limits", Json.of("max_body_bytes", 262_144)));
    }

    private void awaitReady() throws Exception {
        configure(1, route("q-1", "/one/", 2), route("q-2", "/two/", 2));
        for (Node node : entries) {
            node.start();
        }
        for (int i = 0; i < workers.size(); i++) {
            guards.get(i).start();
            workers.get(i).start();
        }
        if (!await(READY_MS, () -> entryHosts.stream()
                .allMatch(host -> client.call(host + ":" + readinessPort, "GET", "/v1/readiness", null, null, 1_000)
                                .status()
                        == 200))) {
            throw new IllegalStateException("the entries did not become ready");
        }
        if (!await(READY_MS, () -> leader() != null)) {
            throw new IllegalStateException("no entry leads");
        }
        // The guards need some reports until the leader knows all workers.
        Thread.sleep(4_000);
        warmUp();
        record.line("case: all processes are ready, " + leader().name() + " leads");
    }

    /** Lets some short submissions run, so that all programs have loaded their code before the case begins. */
    private void warmUp() throws InterruptedException {
        Map<String, Object> submission = Json.of(
                "specification", "work_ms=100",
                "steps", List.of(Json.of("count", workers.size(), "cpu", 100, "mem_mb", 16, "estimated_ms", 100)));
        List<String> paths = new ArrayList<>();
        for (int i = 0; i < 2 * entries.size(); i++) {
            String path = "/two/" + String.format("%016x", i);
            paths.add(path);
            callEntry(i % entries.size(), "POST", path, submission);
        }
        if (!await(READY_MS, () -> paths.stream().allMatch(path -> state(path).equals("completed")))) {
            throw new IllegalStateException("the first submissions were not completed");
        }
        Thread.sleep(1_000);
        history.clear();
    }

    /** Returns the entry that leads according to the store, or null. */
    public Node leader() {
        String name = store.leader(entries.stream().map(Node::name).toList());
        return entries.stream().filter(node -> node.name().equals(name)).findFirst().orElse(null);
    }

    /** Waits until a condition holds; returns whether it did in time. */
    public boolean await(long timeoutMs, BooleanSupplier condition) throws InterruptedException {
        long untilMs = record.nowMs() + timeoutMs;
        while (!condition.getAsBoolean()) {
            if (record.nowMs() > untilMs) {
                return false;
            }
            Thread.sleep(20);
        }
        return true;
    }

    /** Sends a request of a consumer to an entry, and to the next ones while there is no answer. */
    public Client.Answer call(String method, String path, Object body) {
        Client.Answer answer = new Client.Answer(0, "");
        for (int attempt = 0; attempt < 5; attempt++) {
            int index = attempt % entries.size();
            answer = callEntry(index, method, path, body);
            if (answer.status() != 0 && answer.status() != 502 && answer.status() != 504 && answer.status() != 503) {
                return answer;
            }
            try {
                Thread.sleep(300);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        return answer;
    }

    /** Sends a request of a consumer to one entry. */
    public Client.Answer callEntry(int index, String method, String path, Object body) {
        String text = body == null ? null : Json.write(body);
        Client.Answer answer =
                client.call(entryHosts.get(index) + ":" + callerPort, method, path, HOST, text, 3_000);
        record.line("consumer: " + method + " " + path + " at " + entries.get(index).name()
                + (text == null || text.length() > 600 ? "" : " " + text) + " -> "
                + (answer.status() == 0 ? "no answer" : answer.status()) + " " + answer.body());
        return answer;
    }

    /** Returns the state that a GET shows for a submission. */
    public String state(String path) {
        Client.Answer answer = call("GET", path, null);
        return answer.status() == 200 ? String.valueOf(Json.object(answer.body()).get("state")) : "status " + answer.status();
    }

    /** Returns the runs of a submission, or of one of its steps as {@code ID.K.STEP}. */
    public List<Worker.Run> runs(String prefix) {
        synchronized (history) {
            return history.stream().filter(run -> run.task.startsWith(prefix + ".")).toList();
        }
    }

    /** Returns the worker on which a run works. */
    public Worker workerOf(Worker.Run run) {
        return workers.stream()
                .filter(worker -> run.worker.startsWith("i-" + worker.name() + "-"))
                .findFirst()
                .orElseThrow();
    }

    @Override
    public void close() {
        entries.forEach(Node::end);
        guards.forEach(Node::end);
        workers.forEach(worker -> {
            if (worker.isUp()) {
                worker.crash();
            }
        });
        store.close();
        String keep = System.getenv("REVIEW_LOGS");
        try (var files = Files.list(folder)) {
            for (Path file : files.toList()) {
                if (keep != null) {
                    Files.copy(file, Path.of(keep, file.getFileName().toString()), java.nio.file.StandardCopyOption.REPLACE_EXISTING);
                }
                Files.delete(file);
            }
            Files.delete(folder);
        } catch (IOException e) {
            // Another call has deleted it.
        }
    }
}
