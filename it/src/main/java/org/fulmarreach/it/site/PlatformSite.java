package org.fulmarreach.it.site;

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
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.IntStream;

import org.fulmarreach.it.ManagedProcess;
import org.fulmarreach.standin.site.PlatformStore;
import org.fulmarreach.standin.site.PlatformWorker;
import org.fulmarreach.standin.site.RunHistory;
import org.fulmarreach.standin.site.Workload;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * A deployment on loopback addresses as the users' platform runs it: entries and guards as real processes, with
 * stand-ins of the store and of the workers. The bounds are those of their smaller sites. Not thread-safe.
 */
final class PlatformSite implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String SERVICE = "service";
    private static final String HOST_HEADER = "shop.example";
    private static final String PREFIX = "/jobs/";

    /** Version of the configuration with which a deployment starts. */
    static final int FIRST_VERSION = 1;

    private static final int READY_MS = 40_000;
    private static final int PORTS = 9;

    /** Offset of the port of an entry's pages for operators: the second internal one. */
    private static final int OPERATOR_PORT = 6;

    static {
        // Jobs of all queues go to the same address, so the Host header is set by hand.
        System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
    }

    final RunHistory history = new RunHistory();
    final List<PlatformWorker> workers = new CopyOnWriteArrayList<>();
    final PlatformStore store;

    /** Workers of all machines, also of those that are gone. */
    private final List<PlatformWorker> allWorkers = new CopyOnWriteArrayList<>();

    private final List<String> guardNames = new CopyOnWriteArrayList<>();
    private final Path directory;
    private final String network;
    private final int firstPort;
    private final int entryCount;
    private final Map<String, String> environment;
    private final Map<String, ManagedProcess> processes = new ConcurrentHashMap<>();
    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofMillis(500))
            .build();

    /** Starts a deployment and waits until all entries are ready. */
    PlatformSite(int entryCount, int workerCount) {
        this(entryCount, workerCount, Map.of());
    }

    /**
     * Starts a deployment and waits until all entries are ready.
     *
     * @param environment additional environment variables of all processes
     */
    PlatformSite(int entryCount, int workerCount, Map<String, String> environment) {
        this.entryCount = entryCount;
        this.environment = Map.copyOf(environment);
        // The process id keeps several deployments on one machine apart.
        long pid = ProcessHandle.current().pid();
        network = "127." + (10 + pid % 200) + "." + (1 + pid / 200 % 250) + ".";
        firstPort = findPorts(network + "200");
        store = new PlatformStore(storeHosts(), firstPort);
        try {
            directory = Files.createTempDirectory("fulmarreach-soak");
            publishConfig(FIRST_VERSION, List.of());
            for (int i = 0; i < entryCount; i++) {
                writeSettings(
                        entryName(i), "entry", network + (1 + i), storeHosts().get(1 + i));
                startProcess(entryName(i));
            }
            for (int i = 0; i < workerCount; i++) {
                PlatformWorker worker = createMachine();
                workers.add(worker);
                guardNames.add("guard-" + i);
                startProcess("guard-" + i);
                worker.start(0);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        awaitReady();
    }

    /** Returns the directory with the output of the processes. */
    Path directory() {
        return directory;
    }

    /** Returns the hosts of the store: the guards' first, then one for each entry. */
    List<String> storeHosts() {
        return IntStream.rangeClosed(0, entryCount)
                .mapToObj(i -> network + (200 + i))
                .toList();
    }

    String entryName(int index) {
        return "entry-" + index;
    }

    /** Returns the name of the guard of the machine that has a place now. */
    String guardName(int index) {
        return guardNames.get(index);
    }

    /** Returns the workers of all machines, also of those that are gone. */
    List<PlatformWorker> allWorkers() {
        return allWorkers;
    }

    /**
     * Puts another machine, with an address and names that none has had, in the place of one that is gone.
     *
     * @param index the place
     * @param heartbeatMs delay of the first heartbeat
     */
    void replaceMachine(int index, int heartbeatMs) {
        synchronized (allWorkers) {
            String guard = "guard-" + allWorkers.size();
            try {
                PlatformWorker worker = createMachine();
                startProcess(guard);
                worker.start(heartbeatMs);
                workers.set(index, worker);
                guardNames.set(index, guard);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }

    /** Starts a process, for the first time or again. */
    void startProcess(String name) {
        Map<String, String> variables = new HashMap<>(environment);
        variables.put("FULMARREACH_NODE_FILE", directory.resolve(name + ".json").toString());
        processes.put(
                name,
                ManagedProcess.start(
                        name,
                        directory,
                        "platform-node",
                        List.of(name.startsWith("entry") ? "entry" : "guard"),
                        variables));
    }

    /** Returns the address for callers of an entry. */
    InetSocketAddress callerAddress(int entry) {
        return new InetSocketAddress(network + (1 + entry), firstPort);
    }

    /** Returns the address of the readiness check of an entry. */
    InetSocketAddress readinessAddress(int entry) {
        return new InetSocketAddress(network + (1 + entry), firstPort + 1);
    }

    /** Returns the address of the pages for operators of an entry. */
    InetSocketAddress operatorAddress(int entry) {
        return new InetSocketAddress(network + (1 + entry), firstPort + OPERATOR_PORT);
    }

    /** Returns the address at which the guard of a machine receives heartbeats. */
    InetSocketAddress heartbeatAddress(int machine) {
        return new InetSocketAddress(machineHost(machine), firstPort + 2);
    }

    /** Returns the address at which a guard asks the worker of its machine. */
    InetSocketAddress workerAddress(int machine) {
        return new InetSocketAddress(machineHost(machine), firstPort + 3);
    }

    ManagedProcess process(String name) {
        return processes.get(name);
    }

    /** Returns whether an entry accepts requests. */
    boolean isReady(int entry) {
        return send(request(entry, firstPort + 1, "/v1/readiness").GET()).status() == 200;
    }

    /** Returns an entry that leads, as its page for operators says. */
    OptionalInt findLeader() {
        return IntStream.range(0, entryCount)
                .filter(entry ->
                        process(entryName(entry)).isAlive() && readState(entry).contains("leads=true"))
                .findFirst();
    }

    /** Submits a job of one step; returns the status of the answer, or 0 without one. */
    int submit(int entry, String id, Workload workload) {
        ObjectNode body = JSON.createObjectNode().put("specification", workload.specification());
        ObjectNode step = body.putArray("steps").addObject();
        step.put("count", workload.count())
                .put("cpu", Workload.MILLI_CORES)
                .put("mem_mb", 64)
                .put("estimated_ms", workload.workMs());
        switch (workload.kind()) {
            case GANG -> step.put("gang_scheduled", true);
            case CHECKPOINTING -> step.put("checkpointing", true);
            case LONG_RUNNING -> step.put("long_running", true);
            default -> {
                // A plain step names no kind.
            }
        }
        HttpRequest.Builder request =
                request(entry, firstPort, PREFIX + id).POST(HttpRequest.BodyPublishers.ofString(body.toString()));
        return send(request).status();
    }

    /** Asks for the length of a queue; returns the status of the answer, or 0 without one. */
    int countWaiting(int entry, String prefix) {
        return send(request(entry, firstPort, prefix).GET()).status();
    }

    /**
     * Confirms a configuration.
     *
     * @param prefixes path prefixes of the queues beside that of the soak's jobs
     */
    void publishConfig(int version, List<String> prefixes) {
        ObjectNode config = JSON.createObjectNode().put("version", version);
        ArrayNode routes = config.putArray("routes");
        addRoute(routes, "jobs", PREFIX);
        prefixes.forEach(prefix -> addRoute(routes, prefix.replace("/", ""), prefix));
        config.putArray("services")
                .addObject()
                .put("name", SERVICE)
                .put("health_check_path", "/health")
                .put("enforces_capacity", false);
        config.putObject("limits").put("max_body_bytes", 262_144);
        store.publish("config", config);
    }

    /** Cancels a job; returns the status of the answer, or 0 without one. */
    int cancel(int entry, String id) {
        return send(request(entry, firstPort, PREFIX + id).DELETE()).status();
    }

    /** Returns the state of a job; empty without an answer. */
    String state(int entry, String id) {
        Reply reply = send(request(entry, firstPort, PREFIX + id).GET());
        try {
            return reply.status() == 200
                    ? JSON.readTree(reply.body()).path("state").asText()
                    : "";
        } catch (IOException e) {
            return "";
        }
    }

    @Override
    public void close() {
        processes.values().forEach(ManagedProcess::close);
        allWorkers.forEach(PlatformWorker::retire);
        store.close();
    }

    /*
     * Helpers
     */

    private record Reply(int status, String body) {}

    private String readState(int entry) {
        return send(request(entry, firstPort + OPERATOR_PORT, "/state").GET()).body();
    }

    /** Writes the settings of a guard and returns its worker; neither is started. */
    private PlatformWorker createMachine() throws IOException {
        int number = allWorkers.size();
        String host = machineHost(number);
        writeSettings("guard-" + number, "guard", host, storeHosts().get(0));
        PlatformWorker worker =
                new PlatformWorker("i-" + number, SERVICE, host, firstPort + 3, host + ":" + (firstPort + 2), history);
        allWorkers.add(worker);
        return worker;
    }

    private String machineHost(int machine) {
        return network + (50 + machine);
    }

    private HttpRequest.Builder request(int entry, int port, String path) {
        return HttpRequest.newBuilder(URI.create("http://" + network + (1 + entry) + ":" + port + path))
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
        throw new IllegalStateException("no free ports on " + host + ". Remedy: end other deployments.");
    }

    private static void addRoute(ArrayNode routes, String name, String prefix) {
        routes.addObject()
                .put("name", name)
                .put("host", HOST_HEADER)
                .put("path_prefix", prefix)
                .put("kind", "unsafe")
                .put("timeout_ms", 3_000)
                .put("target_latency_ms", 1_000)
                .put("priority", 0)
                .put("service", SERVICE)
                .put("max_attempts", 3)
                .put("stretch", 2.0);
    }

    private void writeSettings(String name, String role, String host, String storeHost) throws IOException {
        ObjectNode settings = JSON.createObjectNode();
        settings.put("node_name", name).put("role", role).put("ip_address", host);
        settings.put("machine_class", role.equals("entry") ? "frontend" : "side");
        settings.put("zone", "z1").put("region", "g1").put("bootstrap", true);
        settings.putObject("zones").put("z1", "g1");
        settings.put("heartbeat_interval_ms", 1_100).put("orders", "direct_call");
        settings.putArray("internal_port_range").add(firstPort + 5).add(firstPort + PORTS - 1);
        ArrayNode seeds = settings.putArray("seed_nodes");
        for (int i = 0; i < Math.min(3, entryCount); i++) {
            seeds.add(network + (1 + i) + ":" + (firstPort + 2));
        }
        List.of("base", "drain", "config", "recover", "sched", "platform")
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
        ObjectNode bounds = settings.putObject("bounds");
        bounds.put("stable_window_ms", 3_000)
                .put("ack_timeout_ms", 4_000)
                .put("drain_ms", 2_500)
                .put("grace_s", 6);
        bounds.put("config_apply_ms", 2_500).put("recovery_s", 12).put("max_hold_ms", 6_000);
        bounds.put("stop_grace_ms", 900)
                .put("gang_wait_ms", 3_000)
                .put("cancel_ms", 3_000)
                .put("visible_ms", 3_000);
        bounds.put("finish_s", 14)
                .put("status_s", 120)
                .put("checkpoint_interval_s", 0.5)
                .put("restore_ms", 100);
        settings.putObject("platform")
                .put("address", storeHost + ":" + firstPort)
                .put("form", "log")
                .put("parts", 12)
                .put("record_bytes", 262_144)
                .put("request_bytes", 2_097_152)
                .put("keep_s", 300);
        Files.writeString(directory.resolve(name + ".json"), settings.toString());
    }

    void awaitReady() {
        long untilMs = System.currentTimeMillis() + READY_MS;
        for (int entry = 0; entry < entryCount; ) {
            if (isReady(entry)) {
                entry++;
            } else if (System.currentTimeMillis() > untilMs) {
                close();
                throw new IllegalStateException(entryName(entry) + " is not ready; see " + directory);
            } else {
                sleep(50);
            }
        }
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
