package org.fulmarreach.it.site;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.BiPredicate;

import org.fulmarreach.standin.site.PlatformStore;
import org.fulmarreach.standin.site.PlatformWorker;
import org.fulmarreach.standin.site.StrangeHeartbeat;
import org.fulmarreach.standin.site.Workload;

import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;

/**
 * Runs jobs on the processes of the users' platform while workers start again under their id or another one, drain,
 * refuse connections, and hold orders and polls back, while other writers send heartbeats, while the store is silent,
 * refuses calls or loses answers, and while guards and entries are paused and killed. Checks, from what the workers
 * ran, that no task runs twice, and from what callers see, that every job is completed. The schedule of faults depends
 * only on the seed and on the kinds of faults; faults overlap.
 */
public final class WorkerSoakMain {
    private static final int ENTRIES = 3;
    private static final int JOB_INTERVAL_MS = 150;

    /** Jobs must be completed this long after the last fault: a lease, and the time to run what is left. */
    private static final int COMPLETION_MS = 40_000;

    /** Shorter than a lease, so that the worker is back while its runs go on. */
    private static final int MAX_REFUSAL_MS = 4_000;

    /** The platform's {@code drain_ms}. */
    private static final int DRAIN_MS = 2_500;

    /** The platform's {@code cancel_ms} and {@code stop_grace_ms}. */
    private static final int CANCEL_MS = 3_900;

    /** The kinds of jobs in turn, so that they don't change the faults that a seed draws. */
    private static final List<Workload.Kind> JOB_KINDS = List.of(
            Workload.Kind.PLAIN,
            Workload.Kind.GANG,
            Workload.Kind.PLAIN,
            Workload.Kind.CHECKPOINTING,
            Workload.Kind.PLAIN,
            Workload.Kind.GANG,
            Workload.Kind.CHECKPOINTING,
            Workload.Kind.LONG_RUNNING);

    private static final int STRANGE_HEARTBEATS = 3;
    private static final int STRANGE_INTERVAL_MS = 700;

    private final PlatformSite site;
    private final SplittableRandom random;
    private final Fault[] kinds;
    private final List<Workload.Kind> jobKinds;
    private final PrintStream out;
    private final Map<String, Workload> jobs = new LinkedHashMap<>();
    private final ExecutorService faults = Executors.newVirtualThreadPerTaskExecutor();

    /** Kinds of faults. */
    private enum Fault {
        RESTART_WORKER,
        RESTART_WORKER_LATE,
        REFUSE_CONNECTIONS,
        HOLD_ORDERS,
        HOLD_POLLS,
        PAUSE_GUARD,
        KILL_GUARD,
        PAUSE_ENTRY,
        KILL_ENTRY,
        STRANGE_HEARTBEATS,
        DRAIN_WORKER,
        RENAME_WORKER,
        STORE_SILENT,
        STORE_REFUSES,
        STORE_REFUSES_ENTRY,
        STORE_LOSES_ANSWERS
    }

    private WorkerSoakMain(PlatformSite site, long seed, Fault[] kinds, List<Workload.Kind> jobKinds, PrintStream out) {
        this.site = site;
        this.kinds = kinds;
        this.jobKinds = jobKinds;
        this.random = new SplittableRandom(seed);
        this.out = out;
    }

    /** Parses the arguments and runs the soak. */
    public static void main(String[] args) {
        ArgumentParser parser = ArgumentParsers.newFor("worker-soak")
                .build()
                .description("Runs jobs while workers, guards and entries fail, and checks that no task runs twice.");
        parser.addArgument("--seed").type(Long.class).setDefault(1L).help("seed of the schedule of faults");
        parser.addArgument("--seconds").type(Integer.class).setDefault(30).help("time in which faults are injected");
        parser.addArgument("--workers").type(Integer.class).setDefault(6).help("number of workers and guards");
        parser.addArgument("--faults")
                .type(Fault.class)
                .nargs("+")
                .setDefault(List.of(Fault.values()))
                .help("kinds of faults to inject; all if left out");
        parser.addArgument("--jobs")
                .type(Workload.Kind.class)
                .nargs("+")
                .setDefault(JOB_KINDS)
                .help("kinds of jobs, in turn; a mix of all if left out");
        try {
            Namespace options = parser.parseArgs(args);
            List<Fault> kinds = options.getList("faults");
            System.exit(run(
                    System.out,
                    options.getLong("seed"),
                    options.getInt("seconds") * 1_000,
                    options.getInt("workers"),
                    kinds.toArray(new Fault[0]),
                    options.getList("jobs")));
        } catch (ArgumentParserException e) {
            parser.handleError(e);
            System.exit(2);
        }
    }

    /**
     * Runs the soak once.
     *
     * @param out stream for the faults and the summary
     * @param seed seed of the schedule of faults
     * @param runMs time in which faults are injected, in milliseconds
     * @param workers number of workers, each with a guard
     * @param kinds kinds of faults
     * @param jobKinds kinds of jobs, in turn
     * @return 0 without violations, otherwise 1
     */
    private static int run(
            PrintStream out, long seed, int runMs, int workers, Fault[] kinds, List<Workload.Kind> jobKinds) {
        try (PlatformSite site = new PlatformSite(ENTRIES, workers)) {
            out.println("seed " + seed + ", output in " + site.directory());
            return new WorkerSoakMain(site, seed, kinds, jobKinds, out).run(runMs);
        }
    }

    private int run(int runMs) {
        // A leader that has just been elected learns of the workers from their guards.
        submitFor(4_000, false);
        submitFor(runMs, true);
        awaitFaults();
        List<String> unfinished = awaitJobs();
        List<String> violations = new ArrayList<>(cancelJobs());
        violations.addAll(site.history.findViolations());
        violations.forEach(out::println);
        unfinished.forEach(job -> out.println("NOT COMPLETED " + job));
        out.println("jobs " + jobs.size() + ", starts " + site.history.starts() + ", violations " + violations.size()
                + ", not completed " + unfinished.size());
        return violations.isEmpty() && unfinished.isEmpty() ? 0 : 1;
    }

    /*
     * Jobs
     */

    private void submitFor(int forMs, boolean withFaults) {
        long untilMs = System.currentTimeMillis() + forMs;
        long nextFaultMs = 0;
        while (System.currentTimeMillis() < untilMs) {
            if (withFaults && System.currentTimeMillis() >= nextFaultMs) {
                nextFaultMs = System.currentTimeMillis() + random.nextInt(200, 1_500);
                inject();
            }
            String id = String.format("%016x", 1 + jobs.size());
            int tasks = random.nextInt(1, 4);
            int workMs = random.nextInt(100, 2_500);
            Workload workload = new Workload(jobKinds.get(jobs.size() % jobKinds.size()), workMs, tasks);
            jobs.put(id, workload);
            faults.submit(() -> submit(id, workload));
            PlatformSite.sleep(JOB_INTERVAL_MS);
        }
    }

    /** Submits a job until an entry has accepted it. */
    private void submit(String id, Workload workload) {
        for (int attempt = 0; site.submit(attempt % ENTRIES, id, workload) / 100 != 2; attempt++) {
            PlatformSite.sleep(200);
        }
    }

    /** Returns the jobs that are neither completed nor, if they last, at work in time. */
    private List<String> awaitJobs() {
        return awaitAll(
                jobs.keySet(),
                (entry, id) -> isLasting(id)
                        ? site.history.findRunning(id).size() == jobs.get(id).count()
                        : site.state(entry, id).equals("completed"));
    }

    /** Cancels the jobs that last; returns what is wrong afterwards. */
    private List<String> cancelJobs() {
        List<String> lasting = jobs.keySet().stream().filter(this::isLasting).toList();
        List<String> wrong = new ArrayList<>();
        awaitAll(lasting, (entry, id) -> {
                    int status = site.cancel(entry, id);
                    return status / 100 == 2 || status == 410;
                })
                .forEach(id -> wrong.add("CANCEL not acknowledged: " + id));
        PlatformSite.sleep(CANCEL_MS);
        lasting.forEach(id ->
                site.history.findRunning(id).forEach(run -> wrong.add("UNASKED runs though it is cancelled: " + run)));
        awaitAll(lasting, (entry, id) -> site.state(entry, id).equals("cancelled"))
                .forEach(id -> wrong.add("CANCEL not shown: " + id));
        return wrong;
    }

    private boolean isLasting(String id) {
        return jobs.get(id).kind() == Workload.Kind.LONG_RUNNING;
    }

    private static List<String> awaitAll(Collection<String> ids, BiPredicate<Integer, String> condition) {
        long untilMs = System.currentTimeMillis() + COMPLETION_MS;
        List<String> open = new ArrayList<>(ids);
        for (int attempt = 0; !open.isEmpty() && System.currentTimeMillis() < untilMs; attempt++) {
            int entry = attempt % ENTRIES;
            open.removeIf(id -> condition.test(entry, id));
            PlatformSite.sleep(100);
        }
        return open;
    }

    /*
     * Faults
     */

    private void inject() {
        Fault fault = draw(kinds, random);
        int index = random.nextInt(site.workers.size());
        PlatformWorker worker = site.workers.get(index);
        String guard = site.guardName(index);
        int entryIndex = random.nextInt(ENTRIES);
        String entry = site.entryName(entryIndex);
        String entryStore = site.storeHosts().get(1 + entryIndex);
        int shortMs = random.nextInt(50, 900);
        int longMs = random.nextInt(900, 8_000);
        int heartbeatMs = random.nextInt(0, 1_100);
        out.println(fault + " worker " + index + " " + entry + " " + shortMs + " " + longMs + " " + heartbeatMs);
        Runnable action = switch (fault) {
            case RESTART_WORKER -> () -> restart(worker, shortMs, () -> worker.start(heartbeatMs));
            case RESTART_WORKER_LATE -> () -> restart(worker, longMs, () -> worker.start(heartbeatMs));
            case REFUSE_CONNECTIONS -> () -> refuse(worker, Math.min(longMs, MAX_REFUSAL_MS));
            case HOLD_ORDERS -> () -> worker.holdOrders(longMs);
            case HOLD_POLLS -> () -> worker.holdPolls(longMs);
            case PAUSE_GUARD -> () -> pause(guard, longMs);
            case KILL_GUARD -> () -> kill(guard, shortMs);
            case PAUSE_ENTRY -> () -> pause(entry, longMs);
            case KILL_ENTRY -> () -> kill(entry, shortMs);
            case STRANGE_HEARTBEATS -> {
                SplittableRandom draws = random.split();
                StrangeHeartbeat strange = draw(StrangeHeartbeat.values(), draws);
                out.println(strange);
                yield () -> sendStrange(worker, strange, draws);
            }
            case DRAIN_WORKER -> () -> drain(worker, DRAIN_MS + longMs, shortMs, heartbeatMs);
            case RENAME_WORKER -> () -> restart(worker, shortMs, () -> worker.startRenamed(heartbeatMs));
            case STORE_SILENT -> () -> failStore(PlatformStore.Fault.SILENT, site.storeHosts(), longMs);
            case STORE_REFUSES -> () -> failStore(PlatformStore.Fault.REFUSING, site.storeHosts(), longMs);
            case STORE_REFUSES_ENTRY -> () -> failStore(PlatformStore.Fault.REFUSING, List.of(entryStore), longMs);
            case STORE_LOSES_ANSWERS -> () -> failStore(PlatformStore.Fault.LOSING_ANSWERS, site.storeHosts(), longMs);
        };
        faults.submit(action);
    }

    private static <T> T draw(T[] values, SplittableRandom random) {
        return values[random.nextInt(values.length)];
    }

    /** Sends the same a few times, between the worker's own heartbeats. */
    private static void sendStrange(PlatformWorker worker, StrangeHeartbeat strange, SplittableRandom random) {
        for (int i = 0; i < STRANGE_HEARTBEATS; i++) {
            worker.sendStrange(strange, random);
            PlatformSite.sleep(STRANGE_INTERVAL_MS);
        }
    }

    private void awaitFaults() {
        faults.shutdown();
        try {
            if (!faults.awaitTermination(COMPLETION_MS, TimeUnit.MILLISECONDS)) {
                out.println("A job was not accepted, or a fault did not end, within " + COMPLETION_MS + " ms.");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void restart(PlatformWorker worker, int downMs, Runnable start) {
        synchronized (worker) {
            if (!worker.isUp()) {
                return;
            }
            worker.crash();
        }
        PlatformSite.sleep(downMs);
        start.run();
    }

    /** A worker that has left comes back under its id or, as often, under another one. */
    private static void drain(PlatformWorker worker, int serveOnMs, int downMs, int heartbeatMs) {
        if (worker.drain(serveOnMs)) {
            PlatformSite.sleep(downMs);
            if (heartbeatMs % 2 == 0) {
                worker.start(heartbeatMs);
            } else {
                worker.startRenamed(heartbeatMs);
            }
        }
    }

    private static void refuse(PlatformWorker worker, int forMs) {
        worker.refuse();
        PlatformSite.sleep(forMs);
        worker.accept();
    }

    private void failStore(PlatformStore.Fault fault, List<String> hosts, int forMs) {
        hosts.forEach(host -> site.store.fail(host, fault, forMs));
        PlatformSite.sleep(forMs);
    }

    private void pause(String name, int forMs) {
        synchronized (site.process(name)) {
            site.process(name).pause();
            PlatformSite.sleep(forMs);
            site.process(name).resume();
        }
    }

    private void kill(String name, int downMs) {
        synchronized (site.process(name)) {
            site.process(name).close();
            PlatformSite.sleep(downMs);
            site.startProcess(name);
        }
    }
}
