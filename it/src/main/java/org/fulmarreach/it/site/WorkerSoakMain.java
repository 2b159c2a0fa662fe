package org.fulmarreach.it.site;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.BiPredicate;

import org.fulmarreach.standin.site.StandingGaps;
import org.fulmarreach.standin.site.Workload;

import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;

/**
 * Runs jobs on the processes of the users' platform while workers start again under their id or another one, drain,
 * leave with their machine, refuse connections, and hold orders and polls back, while other writers send heartbeats,
 * while the store is silent, refuses calls or loses answers, and while guards and entries are paused and killed, also
 * leaders in a row. An operator changes the configuration all the time. After each burst of faults the deployment is
 * left alone. Checks, from what the workers ran, that no task runs twice and no standing task, and no job that ends by
 * itself, is without a run for longer than the platform's rules allow, and from what callers see, that every job is
 * completed and that a configuration is in force in time and never back. The faults of each burst, in their order,
 * depend only on the seed and the kinds of faults, and how many of them there are also on its time; faults overlap.
 */
public final class WorkerSoakMain {
    private static final int ENTRIES = 3;
    private static final int JOB_INTERVAL_MS = 150;

    /** Jobs must be completed this long after the last fault: a lease, and the time to run what is left. */
    private static final int COMPLETION_MS = 40_000;

    /** The platform's {@code cancel_ms} and {@code stop_grace_ms}. */
    private static final int CANCEL_MS = 3_900;

    /** The kinds of jobs in turn, so that they don't change the faults that a seed draws. */
    private static final List<Workload.Kind> JOB_KINDS = List.of(
            Workload.Kind.PLAIN,
            Workload.Kind.LONG_RUNNING,
            Workload.Kind.GANG,
            Workload.Kind.PLAIN,
            Workload.Kind.CHECKPOINTING,
            Workload.Kind.LONG_RUNNING,
            Workload.Kind.PLAIN,
            Workload.Kind.GANG,
            Workload.Kind.CHECKPOINTING,
            Workload.Kind.LONG_RUNNING);

    /** Longer than a machine stays away, and the time in which standing tasks must be at work again. */
    private static final int CALM_MS = 25_000;

    private final PlatformSite site;
    private final SplittableRandom random;
    private final SplittableRandom faultDraws;
    private final List<Workload.Kind> jobKinds;
    private final PrintStream out;
    private final Map<String, Workload> jobs = new LinkedHashMap<>();
    private final Map<String, Long> acceptedAtMs = new ConcurrentHashMap<>();
    private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
    private final FaultInjector faults;
    private final ConfigChecks configChecks;

    private WorkerSoakMain(
            PlatformSite site, long seed, FaultInjector.Fault[] kinds, List<Workload.Kind> jobKinds, PrintStream out) {
        this.site = site;
        this.jobKinds = jobKinds;
        this.random = new SplittableRandom(seed);
        this.faultDraws = random.split();
        this.out = out;
        this.faults = new FaultInjector(site, ENTRIES, kinds, out, executor);
        this.configChecks = new ConfigChecks(site, ENTRIES, faults.disruptions());
    }

    /** Parses the arguments and runs the soak. */
    public static void main(String[] args) {
        ArgumentParser parser = ArgumentParsers.newFor("worker-soak")
                .build()
                .description(
                        "Runs jobs while workers, guards and entries fail; checks that no task runs twice or is lost.");
        parser.addArgument("--seed").type(Long.class).setDefault(1L).help("seed of the schedule of faults");
        parser.addArgument("--seconds").type(Integer.class).setDefault(30).help("time in which faults are injected");
        parser.addArgument("--burst-seconds")
                .type(Integer.class)
                .setDefault(5)
                .help("faults are injected for so long at a time; calm follows until standing tasks are at work");
        parser.addArgument("--workers").type(Integer.class).setDefault(6).help("number of workers and guards");
        parser.addArgument("--faults")
                .type(FaultInjector.Fault.class)
                .nargs("+")
                .setDefault(List.of(FaultInjector.Fault.values()))
                .help("kinds of faults to inject; all if left out");
        parser.addArgument("--jobs")
                .type(Workload.Kind.class)
                .nargs("+")
                .setDefault(JOB_KINDS)
                .help("kinds of jobs, in turn; a mix of all if left out");
        try {
            Namespace options = parser.parseArgs(args);
            List<FaultInjector.Fault> kinds = options.getList("faults");
            System.exit(run(
                    System.out,
                    options.getLong("seed"),
                    options.getInt("seconds") * 1_000,
                    options.getInt("burst_seconds") * 1_000,
                    options.getInt("workers"),
                    kinds.toArray(new FaultInjector.Fault[0]),
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
     * @param burstMs time in which faults are injected before calm, in milliseconds
     * @param workers number of workers, each with a guard
     * @param kinds kinds of faults
     * @param jobKinds kinds of jobs, in turn
     * @return 0 without violations, otherwise 1
     */
    private static int run(
            PrintStream out,
            long seed,
            int runMs,
            int burstMs,
            int workers,
            FaultInjector.Fault[] kinds,
            List<Workload.Kind> jobKinds) {
        try (PlatformSite site = new PlatformSite(ENTRIES, workers)) {
            out.println("seed " + seed + ", output in " + site.directory());
            return new WorkerSoakMain(site, seed, kinds, jobKinds, out).run(runMs, burstMs);
        }
    }

    private int run(int runMs, int burstMs) {
        // A leader that has just been elected learns of the workers from their guards.
        configChecks.start();
        submitFor(4_000, false);
        for (int leftMs = runMs; leftMs > 0; leftMs -= burstMs) {
            submitFor(Math.min(leftMs, burstMs), true);
            if (leftMs > burstMs) {
                awaitStandingTasks();
            }
        }
        awaitFaults();
        List<String> unfinished = awaitJobs();
        long cancelledAtMs = System.currentTimeMillis();
        List<String> violations = new ArrayList<>(cancelJobs());
        violations.addAll(site.history.findViolations());
        violations.addAll(findGaps(cancelledAtMs));
        violations.addAll(stopConfigChecks());
        violations.forEach(out::println);
        unfinished.forEach(job -> out.println("NOT COMPLETED " + job));
        out.println("jobs " + jobs.size() + ", starts " + site.history.starts() + ", violations " + violations.size()
                + ", not completed " + unfinished.size());
        return violations.isEmpty() && unfinished.isEmpty() ? 0 : 1;
    }

    private List<String> stopConfigChecks() {
        try {
            List<String> found = configChecks.stop();
            out.println("answers checked against the configuration " + configChecks.answers());
            return found;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return List.of("CONFIG not checked: the soak was interrupted");
        }
    }

    /*
     * Jobs
     */

    private void submitFor(int forMs, boolean withFaults) {
        long untilMs = System.currentTimeMillis() + forMs;
        long nextFaultMs = 0;
        // Draws of their own, so that the load of the machine does not change the faults of a seed.
        SplittableRandom draws = faultDraws.split();
        while (System.currentTimeMillis() < untilMs) {
            if (withFaults && System.currentTimeMillis() >= nextFaultMs) {
                nextFaultMs = System.currentTimeMillis() + draws.nextInt(200, 1_500);
                faults.inject(draws);
            }
            String id = String.format("%016x", 1 + jobs.size());
            int tasks = random.nextInt(1, 4);
            int workMs = random.nextInt(100, 2_500);
            Workload workload = new Workload(jobKinds.get(jobs.size() % jobKinds.size()), workMs, tasks);
            jobs.put(id, workload);
            executor.submit(() -> submit(id, workload));
            PlatformSite.sleep(JOB_INTERVAL_MS);
        }
    }

    /** Submits a job until an entry has accepted it. */
    private void submit(String id, Workload workload) {
        for (int attempt = 0; site.submit(attempt % ENTRIES, id, workload) / 100 != 2; attempt++) {
            PlatformSite.sleep(200);
        }
        acceptedAtMs.put(id, System.currentTimeMillis());
    }

    /** Leaves the deployment alone until the faults are over and the standing tasks at work; not for ever. */
    private void awaitStandingTasks() {
        long fromMs = System.currentTimeMillis();
        boolean atWork = false;
        while (!atWork && System.currentTimeMillis() < fromMs + CALM_MS) {
            PlatformSite.sleep(100);
            atWork = faults.disruptions().isQuiet()
                    && acceptedAtMs.keySet().stream().filter(this::isLasting).allMatch(this::isAtWork);
        }
        out.println("calm for " + (System.currentTimeMillis() - fromMs) + " ms, standing tasks "
                + (atWork ? "at work" : "not all at work"));
    }

    /** Returns the times in which a standing task, or a whole job, was without a run for longer than allowed. */
    private List<String> findGaps(long cancelledAtMs) {
        StandingGaps gaps = new StandingGaps(
                faults.disruptions().list(),
                site.allWorkers().stream()
                        .flatMap(worker -> worker.listServices().stream())
                        .toList(),
                site.history.listRuns());
        List<String> found = new ArrayList<>();
        acceptedAtMs.forEach((id, fromMs) -> {
            for (int i = 0; isLasting(id) && i < jobs.get(id).count(); i++) {
                String task = id + ".0.0." + i;
                StandingGaps.Span owed = new StandingGaps.Span(fromMs, cancelledAtMs);
                gaps.find(new StandingGaps.Task(task, Workload.MILLI_CORES, owed, site.history.findSpans(task)))
                        .forEach(gap -> found.add(gap.describe(site.history.beganAtMs())));
            }
            if (!isLasting(id) && jobs.get(id).kind() != Workload.Kind.GANG) {
                findGapsOfJob(gaps, id, fromMs)
                        .forEach(gap -> found.add("JOB " + gap.describe(site.history.beganAtMs())));
            }
        });
        return found;
    }

    /** A job is owed a run until its last one ends; whether it is completed then is checked by itself. */
    private List<StandingGaps.Gap> findGapsOfJob(StandingGaps gaps, String id, long fromMs) {
        List<StandingGaps.Span> spans = site.history.findSpansOfJob(id);
        long lastMs = spans.stream().mapToLong(StandingGaps.Span::fromMs).max().orElse(fromMs);
        StandingGaps.Span owed = new StandingGaps.Span(fromMs, Math.max(fromMs, lastMs));
        return gaps.findOfJob(new StandingGaps.Task(id, Workload.MILLI_CORES, owed, spans));
    }

    /** Returns the jobs that are neither completed nor, if they last, at work in time. */
    private List<String> awaitJobs() {
        return awaitAll(
                jobs.keySet(),
                (entry, id) ->
                        isLasting(id) ? isAtWork(id) : site.state(entry, id).equals("completed"));
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
        faults.cancelledJobs()
                .forEach(id -> site.history
                        .findRunning(id)
                        .forEach(run -> wrong.add("UNASKED runs, and its caller was told that it does not: " + run)));
        awaitAll(lasting, (entry, id) -> site.state(entry, id).equals("cancelled"))
                .forEach(id -> wrong.add("CANCEL not shown: " + id));
        return wrong;
    }

    private boolean isAtWork(String id) {
        return site.history.findRunning(id).size() == jobs.get(id).count();
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

    private void awaitFaults() {
        executor.shutdown();
        try {
            if (!executor.awaitTermination(COMPLETION_MS, TimeUnit.MILLISECONDS)) {
                out.println("A job was not accepted, or a fault did not end, within " + COMPLETION_MS + " ms.");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
