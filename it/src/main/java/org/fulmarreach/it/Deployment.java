package org.fulmarreach.it;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A running deployment of real processes on loopback: a log service; for each VM a guard and a process with worker
 * agent and target; entries; and, with {@link DeploymentPlan#withProxy()}, a fault-injecting proxy in front of each
 * entry. Not thread-safe.
 */
public final class Deployment implements AutoCloseable {
    private final DeploymentPlan plan;
    private final Path directory;
    private final Http http = new Http();
    private final ReservedPorts ports = new ReservedPorts();
    private final Map<String, EntryProcess> entries = new LinkedHashMap<>();
    private final Map<String, VmProcess> vms = new LinkedHashMap<>();
    private ManagedProcess store;
    private String storeAddress;

    /**
     * An entry.
     *
     * @param name id of the entry
     * @param zone its availability zone
     * @param process its process
     * @param proxy proxy in front of its listener for guards and other entries; null without proxies
     * @param proxyControl address for control of the proxy; empty without proxies
     * @param args command-line arguments of the entry, for a restart
     * @param caller address for callers
     * @param operator address for operators
     */
    public record EntryProcess(
            String name,
            DeploymentPlan.Zone zone,
            ManagedProcess process,
            ManagedProcess proxy,
            String proxyControl,
            List<String> args,
            String caller,
            String operator) {}

    /**
     * A VM.
     *
     * @param name name of the VM
     * @param zone its availability zone
     * @param platform process with worker agent and target
     * @param guard process of its guard
     * @param guardArgs command-line arguments of the guard, for a restart
     * @param worker address of the worker agent
     * @param target address of the target
     */
    public record VmProcess(
            String name,
            DeploymentPlan.Zone zone,
            ManagedProcess platform,
            ManagedProcess guard,
            List<String> guardArgs,
            String worker,
            String target) {}

    private Deployment(DeploymentPlan plan, Path directory) {
        this.plan = plan;
        this.directory = directory;
    }

    /*
     * Life cycle
     */

    /**
     * Starts all processes and waits until each is ready.
     *
     * @param plan components and settings of the deployment
     */
    public static Deployment start(DeploymentPlan plan) {
        try {
            Deployment deployment = new Deployment(plan, Files.createTempDirectory("fulmarreach-"));
            try {
                deployment.startAll();
                return deployment;
            } catch (RuntimeException e) {
                deployment.close();
                throw e;
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public void close() {
        for (EntryProcess entry : entries.values()) {
            entry.process().close();
            if (entry.proxy() != null) {
                entry.proxy().close();
            }
        }
        for (VmProcess vm : vms.values()) {
            vm.guard().close();
            vm.platform().close();
        }
        if (store != null) {
            store.close();
        }
        ports.close();
    }

    /** Kills all processes of a VM: guard, worker agent with its tasks, and target. */
    public void killVm(String name) {
        VmProcess vm = vms.get(name);
        vm.platform().kill();
        vm.guard().kill();
    }

    /** Restarts the guard of a VM after it was killed or has stopped. */
    public void restartGuard(String name) {
        VmProcess vm = vms.get(name);
        ManagedProcess guard = ManagedProcess.start(
                "guard-" + name + "-again-" + System.nanoTime(), directory, "fulmard", vm.guardArgs(), Map.of());
        guard.awaitReady();
        vms.put(name, new VmProcess(name, vm.zone(), vm.platform(), guard, vm.guardArgs(), vm.worker(), vm.target()));
    }

    /** Restarts an entry with the same settings after it was killed or has stopped. */
    public void restartEntry(String name) {
        EntryProcess entry = entries.get(name);
        ManagedProcess process = ManagedProcess.start(
                name + "-again-" + System.nanoTime(), directory, "fulmard", entry.args(), Map.of());
        process.awaitReady();
        entries.put(
                name,
                new EntryProcess(
                        name,
                        entry.zone(),
                        process,
                        entry.proxy(),
                        entry.proxyControl(),
                        entry.args(),
                        entry.caller(),
                        entry.operator()));
    }

    /**
     * Starts a new VM with the same name in place of one that was killed.
     *
     * @return name of the output file of its stand-ins
     */
    public String replaceVm(String name) {
        VmProcess vm = vms.get(name);
        String process = "platform-" + name + "-again-" + System.nanoTime();
        ManagedProcess platform = ManagedProcess.start(process, directory, "standin", listPlatformArgs(), Map.of());
        String rack = vm.guardArgs().get(vm.guardArgs().indexOf("--rack") + 1);
        startGuard(vm.zone(), name, platform, rack);
        vms.get(name).guard().awaitReady();
        return process + ".out";
    }

    /*
     * Public API
     */

    /** Returns the plan. */
    public DeploymentPlan plan() {
        return plan;
    }

    /** Returns the directory with the output of all processes. */
    public Path directory() {
        return directory;
    }

    /** Returns the entries by name, in order of the zones. */
    public Map<String, EntryProcess> entries() {
        return entries;
    }

    /** Returns the VMs by name, in order of the zones. */
    public Map<String, VmProcess> vms() {
        return vms;
    }

    /** Returns an entry by its index in the order of the zones. */
    public EntryProcess entry(int index) {
        return new ArrayList<>(entries.values()).get(index);
    }

    /** Returns the HTTP client. */
    public Http http() {
        return http;
    }

    /** Returns the address of the log service. */
    public String storeAddress() {
        return storeAddress;
    }

    /** Configures the faults of the log service; docs/PLATFORM.md section 4.1 lists the fields. */
    public void controlStore(String json) {
        http.post(storeAddress, "/control", json);
    }

    /** Configures the faults of the proxy in front of an entry; docs/PLATFORM.md section 4.5 lists the fields. */
    public void controlProxy(String entry, String json) {
        http.post(entries.get(entry).proxyControl(), "/control", json);
    }

    /** Returns the journal entries of the worker agent or target at an address, oldest first. */
    public List<JsonNode> readJournal(String address) {
        List<JsonNode> found = new ArrayList<>();
        http.get(address, "/journal").json().path("entries").forEach(found::add);
        return found;
    }

    /**
     * Runs the command-line tool.
     *
     * @param args arguments; the operator addresses of all entries are passed in the environment
     * @return exit code and output
     */
    public ToolResult runTool(String... args) {
        List<String> operators = new ArrayList<>();
        entries.values().forEach(entry -> operators.add("http://" + entry.operator()));
        return ToolResult.run(directory, String.join(",", operators), List.of(args));
    }

    /** Publishes rules through the command-line tool and waits until they are in force at all sites. */
    public void publish(List<String> lines) {
        try {
            Path file = directory.resolve("current.rules");
            Files.write(file, lines);
            ToolResult result = runTool("publish", file.toString(), "--wait", "--timeout", "30s");
            if (result.exitCode() != 0) {
                throw new IllegalStateException("publish failed with " + result.exitCode() + ":\n" + result.output());
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /*
     * Helpers
     */

    private void startAll() {
        List<String> storeArgs = new ArrayList<>(List.of("store"));
        storeArgs.addAll(plan.storeArgs());
        store = ManagedProcess.start("store", directory, "standin", storeArgs, Map.of());
        storeAddress = store.awaitReady().path("store").asText();
        startEntries();
        startVms();
        entries.values().forEach(entry -> entry.process().awaitReady());
        vms.values().forEach(vm -> vm.guard().awaitReady());
    }

    private void startEntries() {
        Map<String, Integer> listenPorts = new LinkedHashMap<>();
        Map<String, DeploymentPlan.Zone> zones = new LinkedHashMap<>();
        for (DeploymentPlan.Zone zone : plan.zones()) {
            for (int i = 0; i < zone.entries(); i++) {
                String name = "entry-" + zone.name() + "-" + i;
                listenPorts.put(name, ports.reserve());
                zones.put(name, zone);
            }
        }
        Map<String, ManagedProcess> proxies = new LinkedHashMap<>();
        Map<String, String> advertisedAddresses = new LinkedHashMap<>();
        listenPorts.forEach((name, port) -> {
            if (plan.proxied()) {
                proxies.put(
                        name,
                        ManagedProcess.start(
                                "proxy-" + name,
                                directory,
                                "standin",
                                List.of("proxy", "--to", Integer.toString(port)),
                                Map.of()));
            } else {
                advertisedAddresses.put(name, "127.0.0.1:" + port);
            }
        });
        proxies.forEach((name, proxy) -> advertisedAddresses.put(
                name, proxy.awaitReady().path("listen").get(0).asText()));
        listenPorts.forEach((name, port) -> {
            DeploymentPlan.Zone zone = zones.get(name);
            String caller = "127.0.0.1:" + ports.reserve();
            String operator = "127.0.0.1:" + ports.reserve();
            List<String> args = new ArrayList<>(List.of("entry", "--id", name));
            args.addAll(List.of("--zone", zone.name(), "--region", zone.region()));
            args.addAll(List.of("--store", "http://" + storeAddress, "--store-region", plan.storeRegion()));
            args.addAll(List.of("--listen", "127.0.0.1:" + port, "--advertise", advertisedAddresses.get(name)));
            args.addAll(List.of("--http", caller, "--operator-http", operator));
            List<String> peers = new ArrayList<>(advertisedAddresses.values());
            peers.remove(advertisedAddresses.get(name));
            if (!peers.isEmpty()) {
                args.addAll(List.of("--peers", String.join(",", peers)));
            }
            args.addAll(plan.entryArgs());
            ManagedProcess process = ManagedProcess.start(name, directory, "fulmard", args, Map.of());
            ManagedProcess proxy = proxies.get(name);
            String control =
                    proxy == null ? "" : proxy.awaitReady().path("control").asText();
            entries.put(name, new EntryProcess(name, zone, process, proxy, control, args, caller, operator));
        });
    }

    private void startVms() {
        Map<String, ManagedProcess> platforms = new LinkedHashMap<>();
        for (DeploymentPlan.Zone zone : plan.zones()) {
            for (String name : plan.nameVms(zone)) {
                platforms.put(
                        name,
                        ManagedProcess.start("platform-" + name, directory, "standin", listPlatformArgs(), Map.of()));
            }
        }
        for (DeploymentPlan.Zone zone : plan.zones()) {
            int index = 0;
            for (String name : plan.nameVms(zone)) {
                startGuard(zone, name, platforms.get(name), "rack-" + zone.name() + "-" + index++ / 3);
            }
        }
    }

    private List<String> listPlatformArgs() {
        List<String> args = new ArrayList<>(List.of("platform", "--vms", "1", "--service", plan.service()));
        args.addAll(List.of("--cores", Integer.toString(plan.cores())));
        args.addAll(List.of("--memory-mb", Long.toString(plan.memoryMb())));
        args.addAll(List.of("--service-ms", Integer.toString(plan.serviceMs())));
        args.addAll(plan.vmArgs());
        return args;
    }

    private void startGuard(DeploymentPlan.Zone zone, String name, ManagedProcess platform, String rack) {
        JsonNode ready = platform.awaitReady();
        String worker = ready.path("workers").get(0).asText();
        String target = ready.path("targets").get(0).asText();
        List<String> entryAddresses = new ArrayList<>();
        for (EntryProcess entry : entries.values()) {
            if (entry.zone().region().equals(zone.region())) {
                entryAddresses.add(entry.args().get(entry.args().indexOf("--advertise") + 1));
            }
        }
        List<String> args = new ArrayList<>(List.of("guard", "--id", "guard-" + name, "--vm", name));
        args.addAll(List.of("--zone", zone.name(), "--region", zone.region(), "--rack", rack));
        args.addAll(List.of("--entries", String.join(",", entryAddresses)));
        args.addAll(List.of("--target", "http://" + target, "--worker", "http://" + worker));
        args.addAll(plan.guardArgs());
        ManagedProcess guard = ManagedProcess.start("guard-" + name, directory, "fulmard", args, Map.of());
        vms.put(name, new VmProcess(name, zone, platform, guard, args, worker, target));
    }
}
