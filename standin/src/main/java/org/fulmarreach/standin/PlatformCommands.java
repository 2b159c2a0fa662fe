package org.fulmarreach.standin;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.DoubleSupplier;

import org.fulmarreach.core.model.Resources;

import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/** Subcommands {@code store}, {@code worker}, {@code target} and {@code platform}. */
final class PlatformCommands {
    private PlatformCommands() {}

    static void register(Subparsers commands, Map<String, StandInMain.Command> byName) {
        Subparser store = commands.addParser("store").help("log service");
        addPort(store);
        addStoreArguments(store);
        byName.put("store", PlatformCommands::runStore);

        Subparser worker = commands.addParser("worker").help("worker agent of one VM");
        addPort(worker);
        worker.addArgument("--name").setDefault("worker");
        addWorkerArguments(worker);
        byName.put("worker", PlatformCommands::runWorker);

        Subparser target = commands.addParser("target").help("instance of a service, reached through a guard");
        addPort(target);
        target.addArgument("--name").setDefault("target");
        addTargetArguments(target);
        byName.put("target", PlatformCommands::runTarget);

        Subparser platform = commands.addParser("platform").help("store, workers and targets in one process");
        platform.addArgument("--port-base").type(Integer.class).setDefault(0).help("first port; 0 for free ports");
        platform.addArgument("--vms").type(Integer.class).setDefault(3);
        platform.addArgument("--interference")
                .type(Double.class)
                .setDefault(0.0)
                .help("relative increase of the service time when tasks use all cores of the VM");
        platform.addArgument("--quiet").action(Arguments.storeTrue()).help("print no journal lines");
        addStoreArguments(platform);
        addWorkerArguments(platform);
        addTargetArguments(platform);
        byName.put("platform", PlatformCommands::runPlatform);
    }

    // Arguments

    private static void addPort(Subparser parser) {
        parser.addArgument("--port").type(Integer.class).setDefault(0).help("port; 0 for a free one");
    }

    private static void addStoreArguments(Subparser parser) {
        parser.addArgument("--retention-ms").type(Long.class).setDefault(24 * 3_600_000L);
        parser.addArgument("--retention-records").type(Integer.class).setDefault(Integer.MAX_VALUE);
        parser.addArgument("--appends-per-s").type(Integer.class).setDefault(400);
        parser.addArgument("--seed").type(Long.class).setDefault(1L);
    }

    private static void addWorkerArguments(Subparser parser) {
        parser.addArgument("--cores").type(Double.class).setDefault(16.0);
        parser.addArgument("--memory-mb").type(Long.class).setDefault(60_000L);
        parser.addArgument("--accelerators").type(Integer.class).setDefault(0);
        parser.addArgument("--usage-lag-ms").type(Long.class).setDefault(5_000L);
        parser.addArgument("--default-run-ms").type(Long.class).setDefault(10_000L);
        parser.addArgument("--standing")
                .nargs("*")
                .setDefault(new ArrayList<>())
                .help("plain task names that run until they are stopped");
    }

    private static void addTargetArguments(Subparser parser) {
        parser.addArgument("--service").setDefault("bestellung");
        parser.addArgument("--slots").type(Integer.class).setDefault(8);
        parser.addArgument("--connections").type(Integer.class).setDefault(64);
        parser.addArgument("--service-ms").type(Double.class).setDefault(10.0);
        parser.addArgument("--jitter-sigma").type(Double.class).setDefault(0.3);
        parser.addArgument("--target-seed").type(Long.class).setDefault(1L);
    }

    // Commands

    private static void runStore(Namespace arguments, StandInRuntime runtime) throws InterruptedException {
        StoreStandIn store = createStore(arguments, runtime, arguments.getInt("port"));
        StandInMain.printReady(Map.of("store", store.server().address()));
        StandInMain.awaitSignal();
    }

    private static void runWorker(Namespace arguments, StandInRuntime runtime) throws InterruptedException {
        Journal journal = new Journal(arguments.getString("name"), System.out);
        WorkerAgent agent = createAgent(arguments, journal);
        WorkerStandIn worker =
                new WorkerStandIn(runtime.system(), runtime.timer(), arguments.getInt("port"), agent, journal);
        StandInMain.printReady(Map.of("worker", worker.server().address()));
        StandInMain.awaitSignal();
    }

    private static void runTarget(Namespace arguments, StandInRuntime runtime) throws InterruptedException {
        Journal journal = new Journal(arguments.getString("name"), System.out);
        TargetStandIn target = new TargetStandIn(
                runtime.system(),
                runtime.timer(),
                arguments.getInt("port"),
                targetOptions(arguments, arguments.getString("name"), 0),
                journal,
                () -> 1);
        StandInMain.printReady(Map.of("target", target.server().address()));
        StandInMain.awaitSignal();
    }

    private static void runPlatform(Namespace arguments, StandInRuntime runtime) throws InterruptedException {
        int base = arguments.getInt("port_base");
        int vms = arguments.getInt("vms");
        String store = createStore(arguments, runtime, base).server().address();
        List<String> workers = new ArrayList<>();
        List<String> targets = new ArrayList<>();
        for (int i = 0; i < vms; i++) {
            var out = arguments.getBoolean("quiet") ? null : System.out;
            Journal workerJournal = new Journal("worker-" + i, out);
            WorkerAgent agent = createAgent(arguments, workerJournal);
            int workerPort = base == 0 ? 0 : base + 1 + i;
            WorkerStandIn worker =
                    new WorkerStandIn(runtime.system(), runtime.timer(), workerPort, agent, workerJournal);
            workers.add(worker.server().address());
            double interference = arguments.getDouble("interference");
            DoubleSupplier slowdown = () ->
                    1 + interference * agent.usedMilliCores() / agent.capacity().milliCores();
            int targetPort = base == 0 ? 0 : base + 1 + vms + i;
            TargetStandIn target = new TargetStandIn(
                    runtime.system(),
                    runtime.timer(),
                    targetPort,
                    targetOptions(arguments, "target-" + i, i),
                    new Journal("target-" + i, out),
                    slowdown);
            targets.add(target.server().address());
        }
        StandInMain.printReady(Map.of("store", store, "workers", workers, "targets", targets));
        StandInMain.awaitSignal();
    }

    // Construction

    private static StoreStandIn createStore(Namespace arguments, StandInRuntime runtime, int port) {
        LogStore store = new LogStore(
                StandInRuntime.monotonicMs(),
                arguments.getLong("retention_ms"),
                arguments.getInt("retention_records"),
                arguments.getInt("appends_per_s"));
        return new StoreStandIn(runtime.system(), runtime.timer(), port, store, arguments.getLong("seed"));
    }

    private static WorkerAgent createAgent(Namespace arguments, Journal journal) {
        Resources capacity = new Resources(
                (int) Math.round(arguments.getDouble("cores") * 1000),
                arguments.getLong("memory_mb"),
                arguments.getInt("accelerators"));
        return new WorkerAgent(
                StandInRuntime.monotonicMs(),
                journal,
                capacity,
                arguments.getLong("usage_lag_ms"),
                arguments.getLong("default_run_ms"),
                Set.copyOf(arguments.<String>getList("standing")));
    }

    private static TargetOptions targetOptions(Namespace arguments, String name, int index) {
        return new TargetOptions(
                name,
                arguments.getString("service"),
                arguments.getInt("slots"),
                arguments.getInt("connections"),
                arguments.getDouble("service_ms"),
                arguments.getDouble("jitter_sigma"),
                arguments.getLong("target_seed") + index);
    }
}
