package org.fulmarreach.it;

import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Measures real processes on loopback: memory, processor time and traffic of a guard, compared with an idle JVM and an
 * idle actor system with the same JVM flags; latency of calls through entry and guard, compared with direct calls; time
 * until a published rule is in force at all sites. Prints one line per result.
 */
public final class MeasureMain {
    private static final int SERVICE_MS = 50;
    private static final int SLOTS = 8;
    private static final int MEASUREMENT_S = 20;
    private static final int TASKS_PER_VM = 14;
    private static final int PUBLISHES = 60;

    private final PrintStream out = System.out;

    private MeasureMain() {}

    /** Runs one measurement: {@code guard}, {@code latency} or {@code rules}. */
    public static void main(String[] args) {
        MeasureMain measure = new MeasureMain();
        switch (args.length == 1 ? args[0] : "") {
            case "guard" -> measure.measureGuard();
            case "latency" -> measure.measureLatency();
            case "rules" -> measure.measureRules();
            default -> {
                System.err.println("usage: measure guard|latency|rules");
                System.exit(2);
            }
        }
    }

    /*
     * Guard
     */

    private void measureGuard() {
        measureBaseline("jvm");
        measureBaseline("pekko");
        DeploymentPlan plan = DeploymentPlan.small(1).withServiceMs(SERVICE_MS).withProxy();
        try (Deployment deployment = Deployment.start(plan)) {
            deployment.publish(List.of("urgent bestellung/stock deadline=5s idempotent=yes # kreidekiste: Lena"));
            Deployment.VmProcess vm = deployment.vms().values().iterator().next();
            awaitSteadyState();
            printGuardUsage("at rest", deployment, vm);
            List<String> rules = new ArrayList<>();
            rules.add("urgent bestellung/stock deadline=5s idempotent=yes # kreidekiste: Lena");
            for (int i = 0; i < 2 * TASKS_PER_VM; i++) {
                rules.add(
                        "standing task-" + i + " region=sued cores=0.25 memory=256M task=run:forever # kreidekiste: J");
            }
            deployment.publish(rules);
            awaitSteadyState();
            printGuardUsage(
                    "with "
                            + deployment.readJournal(vm.worker()).stream()
                                    .filter(entry ->
                                            entry.path("event").asText().equals("START"))
                                    .count()
                            + " tasks",
                    deployment,
                    vm);
            int rate = SLOTS * 2 * 1_000 / SERVICE_MS / 2;
            Thread load = new Thread(() -> runLoad(deployment, rate, MEASUREMENT_S * 2, false));
            load.start();
            awaitSteadyState();
            printGuardUsage("with tasks and " + rate / 2 + " calls/s", deployment, vm);
            join(load);
        }
    }

    private void measureBaseline(String kind) {
        List<String> command = List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "@" + ManagedProcess.findRoot().resolve("bin/guard.vmoptions"),
                "-cp",
                System.getProperty("java.class.path"),
                BareMain.class.getName(),
                kind);
        try {
            Process process = new ProcessBuilder(command)
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                    .start();
            awaitSteadyState();
            printMemory("bare " + kind, process.pid());
            process.destroyForcibly();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void printGuardUsage(String description, Deployment deployment, Deployment.VmProcess vm) {
        long pid = vm.guard().pid();
        long cpuBefore = ProcessStats.read(pid).cpuMs();
        long bytesBefore = countProxyBytes(deployment);
        sleepS(MEASUREMENT_S);
        long cpuMs = ProcessStats.read(pid).cpuMs() - cpuBefore;
        long bytes = countProxyBytes(deployment) - bytesBefore;
        printMemory("guard " + description, pid);
        out.printf("guard %s: %.2f%% of a core%n", description, 100.0 * cpuMs / (MEASUREMENT_S * 1_000));
        int guards = deployment.vms().size();
        out.printf(
                "all connections of %d guards and %d entries, %s: %d bytes/s, calls included%n",
                guards, deployment.entries().size(), description, bytes / MEASUREMENT_S);
    }

    private void printMemory(String description, long pid) {
        ProcessStats stats = ProcessStats.read(pid);
        long heapKb = ProcessStats.readLiveHeapKb(pid);
        out.printf(
                "%s: RSS %d KiB, anonymous %d KiB, live heap %d KiB%n",
                description, stats.rssKb(), stats.anonymousKb(), heapKb);
    }

    private static long countProxyBytes(Deployment deployment) {
        long sum = 0;
        for (Deployment.EntryProcess entry : deployment.entries().values()) {
            JsonNode state = deployment.http().get(entry.proxyControl(), "/").json();
            for (JsonNode pair : state.findValues("upBytes")) {
                sum += pair.asLong();
            }
            for (JsonNode pair : state.findValues("downBytes")) {
                sum += pair.asLong();
            }
        }
        return sum;
    }

    /*
     * Latency
     */

    private void measureLatency() {
        DeploymentPlan plan = DeploymentPlan.small(2).withServiceMs(SERVICE_MS);
        int rate = SLOTS * 4 * 1_000 / SERVICE_MS / 2;
        try (Deployment deployment = Deployment.start(plan)) {
            deployment.publish(List.of(
                    "urgent bestellung/stock deadline=5s idempotent=yes # kreidekiste: Lena",
                    "urgent bestellung/checkout deadline=5s idempotent=no # kreidekiste: Lena"));
            out.println("half load: " + rate + " calls/s on 4 targets with 8 slots and 50 ms");
            out.println("direct:    " + runLoad(deployment, rate, MEASUREMENT_S, true));
            out.println("idempotent through entry and guard: " + runLoad(deployment, rate, MEASUREMENT_S, false));
            out.println("direct again: " + runLoad(deployment, rate, MEASUREMENT_S, true));
        }
    }

    private static String runLoad(Deployment deployment, int rate, int seconds, boolean direct) {
        List<String> args =
                new ArrayList<>(List.of("load", "--service", deployment.plan().service()));
        args.addAll(List.of("--service-path", "/stock", "--rate", Integer.toString(rate)));
        args.addAll(List.of("--duration", seconds + "s", "--warmup", "5s", "--concurrency", "400", "--idempotent"));
        if (direct) {
            args.add("--direct");
        }
        args.add("--entries");
        if (direct) {
            deployment.vms().values().forEach(vm -> args.add(vm.target()));
        } else {
            deployment.entries().values().forEach(entry -> args.add(entry.caller()));
        }
        String name = "load-" + System.nanoTime();
        ManagedProcess load = ManagedProcess.start(name, deployment.directory(), "standin", args, Map.of());
        int exitCode = load.awaitExit(seconds + 60L);
        try {
            List<String> lines = Files.readAllLines(deployment.directory().resolve(name + ".out"));
            return exitCode + " " + (lines.isEmpty() ? "no output" : lines.get(lines.size() - 1));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /*
     * Rules
     */

    private void measureRules() {
        DeploymentPlan plan = DeploymentPlan.kreidekiste()
                .withZones(List.of(
                        new DeploymentPlan.Zone("sued-a", "sued", 2, 1),
                        new DeploymentPlan.Zone("sued-b", "sued", 2, 1),
                        new DeploymentPlan.Zone("nord-a", "nord", 2, 1)));
        try (Deployment deployment = Deployment.start(plan)) {
            long[] timesMs = new long[PUBLISHES];
            String previous = "";
            for (int i = 0; i < PUBLISHES; i++) {
                String line = "urgent bestellung/path-" + i + " deadline=2s idempotent=yes # kreidekiste: Lena";
                long startNs = System.nanoTime();
                long revision = publish(deployment, i, previous, line);
                while (!isInForce(deployment, revision)) {
                    Thread.onSpinWait();
                }
                timesMs[i] = (System.nanoTime() - startNs) / 1_000_000;
                previous = line;
            }
            Arrays.sort(timesMs);
            out.printf(
                    "%d publishes, in force at all sites: median %d ms, p99 %d ms, largest %d ms%n",
                    PUBLISHES,
                    timesMs[PUBLISHES / 2],
                    timesMs[(int) Math.ceil(PUBLISHES * 0.99) - 1],
                    timesMs[PUBLISHES - 1]);
        }
    }

    private static long publish(Deployment deployment, int number, String removed, String added) {
        String operator = deployment.entry(number % deployment.entries().size()).operator();
        long base = deployment
                .http()
                .get(operator, "/v1/rules")
                .json()
                .path("revision")
                .asLong();
        String removedJson = removed.isEmpty() ? "" : "\"" + removed + "\"";
        String body = "{\"publishId\":\"measure-" + number + "\",\"baseRevision\":" + base + ",\"removed\":["
                + removedJson + "],\"added\":[\"" + added + "\"],\"operator\":\"measure\"}";
        Http.Answer answer = deployment.http().post(operator, "/v1/rules", body);
        if (answer.status() != 200) {
            throw new IllegalStateException("publish " + number + ": " + answer);
        }
        return answer.json().path("revision").asLong();
    }

    private static boolean isInForce(Deployment deployment, long revision) {
        for (Deployment.EntryProcess entry : deployment.entries().values()) {
            for (JsonNode site : deployment
                    .http()
                    .get(entry.operator(), "/v1/rules/sites")
                    .json()
                    .path("sites")) {
                if (site.path("revision").asLong() < revision) {
                    return false;
                }
            }
        }
        return true;
    }

    /*
     * Helpers
     */

    private static void awaitSteadyState() {
        sleepS(10);
    }

    private static void sleepS(int seconds) {
        try {
            Thread.sleep(seconds * 1_000L);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void join(Thread thread) {
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
