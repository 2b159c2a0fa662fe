package org.fulmarreach.core.jobs;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import org.fulmarreach.core.model.Resources;

/**
 * A pool of 32-core workers under virtual time on which standing tasks of 3 to 6 cores request nearly all processors or
 * more, while short jobs of 10 to 16 tasks with 0.4 to 0.8 cores for about 0.8 s, and best-effort jobs, arrive. All
 * loads scale with the number of workers; with 68 they are those of the deployment.
 */
final class FullPool {
    static final int DEPLOYED_WORKERS = 68;
    static final Resources WORKER = new Resources(32_000, 125_000, 0);
    private static final int STANDING_TASKS = 14;
    private static final JobConfig CONFIG = new JobConfig(
            1,
            List.of(
                    new JobQueue("short", "h", "/b/", FakeWorker.SERVICE, 0, 2, 3_000, 400, 1.5),
                    new JobQueue("long", "h", "/p/", FakeWorker.SERVICE, 2, 2, 3_000, 1_000, 2.0),
                    new JobQueue("standing", "h", "/s/", FakeWorker.SERVICE, 0, 3, 3_000, 2_500, 2.2)),
            1_000_000);

    final PoolEmulator pool;
    final int workers;
    final Map<String, List<String>> submitted = new HashMap<>();
    double shortPerSecond = 10;
    double longPerSecond;

    /** Factor by which estimates are off at most, either way. */
    double estimateError = 1;

    /** Share of the tasks of long jobs that take 7 times as long. */
    double stragglers;

    private final Random random;
    private final Map<String, Long> trueTargetMs = new HashMap<>();
    private final Map<String, Long> freeSinceMs = new HashMap<>();

    /** Longest time for which a standing task has waited although there was room for it twice over. */
    long longestGapMs;

    /** Work of all short jobs so far, in core-milliseconds. */
    double shortCoreMs;

    private double standingMilliCores;
    private double shortDue;
    private double longDue;
    private int jobs;

    FullPool(long seed, int workers) {
        this.workers = workers;
        random = new Random(seed);
        pool = new PoolEmulator(seed, 0, 0, CONFIG);
        for (int i = 0; i < workers; i++) {
            pool.addWorker(i, WORKER);
        }
        pool.workers.values().forEach(worker -> worker.beginMs = 150);
        pool.run(1_000);
    }

    /** Submits standing jobs until they request a share of the pool. */
    void submitStanding(double share) {
        while (standingMilliCores < share * workers * WORKER.milliCores()) {
            submitStandingJob();
        }
    }

    void submitStandingJob() {
        Resources demand = new Resources(3_000 + random.nextInt(3_000), 500, 0);
        standingMilliCores += STANDING_TASKS * demand.milliCores();
        submit(
                "standing",
                List.of(TestSteps.of(STANDING_TASKS, demand, 0, List.of())
                        .longRunning()
                        .build()),
                List.of(0L));
    }

    /** Runs the usual traffic; standing jobs go on arriving until they request {@code share} of the pool. */
    void runTraffic(int seconds, double share) {
        for (int part = 0; part < seconds * 10; part++) {
            double size = (double) workers / DEPLOYED_WORKERS / 10;
            for (shortDue += shortPerSecond * size; shortDue >= 1; shortDue--) {
                submitSteps("short", random.nextDouble() < 0.6 ? 2 : 1);
            }
            for (longDue += longPerSecond * size; longDue >= 1; longDue--) {
                submitSteps("long", 2);
            }
            if (part % 10 == 0 && standingMilliCores < share * workers * WORKER.milliCores()) {
                submitStandingJob();
            }
            pool.run(100);
            observeGaps();
        }
    }

    /** Measures for how long standing tasks have waited while their workers had room for such a task twice over. */
    private void observeGaps() {
        Map<FakeWorker, Long> free = new HashMap<>();
        for (FakeWorker worker : pool.workers.values()) {
            long taken = 0;
            for (String name : worker.runningNames()) {
                taken += pool.registry.findTask(name).step().reserved().milliCores();
            }
            free.put(worker, worker.capacity().milliCores() - taken);
        }
        for (String id : submitted.getOrDefault("standing", List.of())) {
            Job job = pool.registry.find(id).orElseThrow();
            int demand = job.spec().steps().get(0).demand().milliCores();
            long slots = free.values().stream()
                    .mapToLong(milliCores -> milliCores / demand)
                    .sum();
            boolean waits = job.tasks().stream().anyMatch(task -> !task.isAssigned());
            long sinceMs = waits && slots >= 2 ? freeSinceMs.getOrDefault(id, pool.nowMs) : pool.nowMs;
            freeSinceMs.put(id, sinceMs);
            longestGapMs = Math.max(longestGapMs, pool.nowMs - sinceMs);
        }
    }

    /** Returns the share of jobs completed within their target by the work on sound workers, submitted in a time. */
    double onTimeShare(String queue, long fromMs, long toMs) {
        int all = 0;
        int onTime = 0;
        for (String id : submitted.getOrDefault(queue, List.of())) {
            long acceptedAtMs = pool.registry.find(id).orElseThrow().spec().acceptedAtMs();
            if (acceptedAtMs >= fromMs && acceptedAtMs < toMs) {
                all++;
                long latencyMs = pool.latencyMs(id);
                onTime += latencyMs >= 0 && latencyMs <= trueTargetMs.get(id) ? 1 : 0;
            }
        }
        return (double) onTime / all;
    }

    /** Returns the processors that standing tasks at work reserve, as a share of the pool. */
    double standingShare() {
        long milliCores = 0;
        for (String id : submitted.get("standing")) {
            for (JobTask task : pool.registry.find(id).orElseThrow().tasks()) {
                milliCores += task.isAssigned() ? task.step().demand().milliCores() : 0;
            }
        }
        return (double) milliCores / workers / WORKER.milliCores();
    }

    private void submitSteps(String queue, int steps) {
        boolean best = queue.equals("long");
        List<JobStep> made = new ArrayList<>();
        List<Long> means = new ArrayList<>();
        for (int i = 0; i < steps; i++) {
            int tasks = best ? 15 + random.nextInt(11) : 10 + random.nextInt(7);
            int milliCores = best ? 3_500 : 400 + random.nextInt(400);
            long meanMs = (long) ((best ? 3_286 : 771) * (0.7 + 0.6 * random.nextDouble()));
            double error = Math.pow(estimateError, 2 * random.nextDouble() - 1);
            TestSteps step = TestSteps.of(
                    tasks,
                    new Resources(milliCores, 200, 0),
                    (long) (meanMs * error),
                    i == 0 ? List.of() : List.of(i - 1));
            made.add((best ? step.bestEffort("fill") : step).build());
            means.add(meanMs);
            shortCoreMs += best ? 0 : tasks * meanMs * milliCores / 1_000.0;
        }
        submit(queue, made, means);
    }

    private void submit(String queue, List<JobStep> steps, List<Long> meanMs) {
        List<Long> workMs = new ArrayList<>();
        long chainMs = 0;
        for (int i = 0; i < steps.size(); i++) {
            long longestMs = 0;
            for (int task = 0; task < steps.get(i).taskCount(); task++) {
                boolean straggles = queue.equals("long") && random.nextDouble() < stragglers;
                workMs.add(meanMs.get(i) * (straggles ? 7 : 1));
                longestMs = Math.max(longestMs, meanMs.get(i));
            }
            chainMs += longestMs;
        }
        String id = queue + "-" + jobs++;
        QueuePolicy policy = CONFIG.findByName(queue).orElseThrow().policy();
        trueTargetMs.put(id, (long) (policy.criticalPathFactor() * chainMs) + policy.targetLatencyMs());
        submitted.computeIfAbsent(queue, unused -> new ArrayList<>()).add(id);
        pool.submit(new JobSpec(id, queue, "", steps, 0, 0, 0, pool.nowMs), Collections.unmodifiableList(workMs));
    }
}
