package org.fulmarreach.core.jobs;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import org.fulmarreach.core.model.Resources;

/**
 * A large deployment under virtual time: workers with 16 cores, long-running serving tasks that reserve 93% of the
 * processors before any traffic, then small jobs that reserve their processors, and best-effort batch jobs. With 72
 * workers the rates are those of the deployment; for another number of workers all loads scale in proportion.
 */
final class LargePool {
    static final int WORKERS = 72;
    private static final Resources WORKER = new Resources(16_000, 64_000, 0);

    private static final int STANDING_JOBS = 24;
    static final int SERVING_IMAGES = 8;
    static final int BEST_EFFORT_IMAGES = 12;

    /** Share of the processors that long-running tasks reserve, as measured on the deployment. */
    private static final double RESERVED = 0.93;

    private static final double SMALL_PER_SECOND = 9.2;
    private static final double BATCH_PER_SECOND = 2.8;

    /** On the deployments, orders take 100 to 200 ms. */
    private static final int BEGIN_MS = 150;

    /** The deployments save a checkpoint after every 0.5 s of work. */
    private static final int CHECKPOINT_MS = 500;

    /** Share of the pairs of images that interfere, as measured on the deployments. */
    private static final double INTERFERING_SHARE = 0.25;

    /** Interference factor of these pairs, as measured on the deployments. */
    private static final double INTERFERENCE_FACTOR = 1.7;

    private static final JobConfig CONFIG = new JobConfig(
            1,
            List.of(
                    new JobQueue("small", "h", "/b/", FakeWorker.SERVICE, 0, 2, 3_000, 400, 1.5),
                    new JobQueue("batch", "h", "/p/", FakeWorker.SERVICE, 2, 2, 3_000, 1_000, 2.0),
                    new JobQueue("standing", "h", "/s/", FakeWorker.SERVICE, 0, 3, 3_000, 2_500, 2.2)),
            1_000_000);

    final PoolEmulator pool;
    final Map<String, List<String>> submitted = new HashMap<>();
    private final Random random;
    private final double size;
    private final double spread;
    private int jobs;

    /** Factor on the rate of batch jobs. */
    double burst = 1;

    /** Constructs a pool whose standing tasks request the mean demand plus or minus up to a share {@code spread}. */
    LargePool(long seed, int workers, double spread) {
        this.spread = spread;
        random = new Random(seed);
        size = (double) workers / WORKERS;
        pool = new PoolEmulator(seed, INTERFERING_SHARE, INTERFERENCE_FACTOR, CONFIG);
        for (int i = 0; i < workers; i++) {
            pool.addWorker(i, WORKER);
        }
        pool.workers.values().forEach(worker -> {
            worker.beginMs = BEGIN_MS;
            worker.checkpointMs = CHECKPOINT_MS;
        });
        pool.run(1_000);
    }

    /** Submits all standing jobs. */
    void submitStandingJobs() {
        int count = (int) Math.round(STANDING_JOBS * size);
        int[] tasks = new int[count];
        double[] weights = new double[count];
        double sum = 0;
        for (int i = 0; i < count; i++) {
            tasks[i] = 12 + random.nextInt(5);
            weights[i] = 1 + spread * (2 * random.nextDouble() - 1);
            sum += tasks[i] * weights[i];
        }
        double reserved = RESERVED * WORKERS * size * WORKER.milliCores();
        for (int i = 0; i < count; i++) {
            Resources demand = new Resources((int) (reserved * weights[i] / sum), 6_400, 0);
            TestSteps step = TestSteps.of(tasks[i], demand, 0, List.of()).serving("serve-" + i % SERVING_IMAGES, 18);
            submit("standing", List.of(step.build()), List.of(0L));
        }
    }

    /** Submits small and batch jobs at their usual rates for a time. */
    void runTraffic(int seconds) {
        for (int part = 0; part < seconds * 10; part++) {
            for (int due = arrivals(SMALL_PER_SECOND); due > 0; due--) {
                submitSteps("small", random.nextDouble() < 0.6 ? 2 : 1);
            }
            for (int due = arrivals(BATCH_PER_SECOND * burst); due > 0; due--) {
                submitSteps("batch", 1 + random.nextInt(3));
            }
            pool.run(100);
        }
    }

    /** Returns the share of completed jobs among those of a queue that were submitted before a time. */
    double doneShare(String queue, long submittedBeforeMs) {
        int done = 0;
        int all = 0;
        for (String id : submitted.get(queue)) {
            if (pool.registry.find(id).orElseThrow().spec().acceptedAtMs() < submittedBeforeMs) {
                all++;
                done += pool.latencyMs(id) >= 0 ? 1 : 0;
            }
        }
        return (double) done / all;
    }

    /** Returns the share of jobs completed within their target among those of a queue submitted before a time. */
    double onTimeShare(String queue, long submittedBeforeMs) {
        int onTime = 0;
        int all = 0;
        for (String id : submitted.get(queue)) {
            Job job = pool.registry.find(id).orElseThrow();
            if (job.spec().acceptedAtMs() < submittedBeforeMs) {
                all++;
                long targetMs = JobUrgency.targetMs(
                        job.spec(), CONFIG.findByName(queue).orElseThrow().policy());
                long latencyMs = pool.latencyMs(id);
                onTime += latencyMs >= 0 && latencyMs <= targetMs ? 1 : 0;
            }
        }
        return (double) onTime / all;
    }

    /** Returns the jobs of a queue that never had a run. */
    List<String> neverStarted(String queue) {
        return submitted.get(queue).stream()
                .filter(id -> pool.registry.find(id).orElseThrow().tasks().stream()
                        .allMatch(task -> task.state().run() == 0))
                .toList();
    }

    /** Returns the number of tasks of standing jobs, and how many of them are running. */
    int[] countStandingTasks() {
        int all = 0;
        int running = 0;
        for (String id : submitted.get("standing")) {
            for (JobTask task : pool.registry.find(id).orElseThrow().tasks()) {
                all++;
                running += task.isAssigned() && task.progress().isListed() ? 1 : 0;
            }
        }
        return new int[] {all, running};
    }

    String report() {
        long beforeMs = pool.nowMs - 5_000;
        return "small on time " + onTimeShare("small", beforeMs) + ", batch on time " + onTimeShare("batch", beforeMs)
                + ", serving " + pool.servingScore / pool.maxServingScore;
    }

    private int arrivals(double perSecond) {
        double left = perSecond * size / 10;
        int count = 0;
        while (left > 0) {
            count += random.nextDouble() < Math.min(1, left) ? 1 : 0;
            left -= 1;
        }
        return count;
    }

    private void submitSteps(String queue, int steps) {
        boolean batch = queue.equals("batch");
        List<JobStep> made = new ArrayList<>();
        List<Long> means = new ArrayList<>();
        String image = "fill-" + random.nextInt(BEST_EFFORT_IMAGES);
        for (int i = 0; i < steps; i++) {
            List<Integer> predecessors = i == 0 ? List.of() : List.of(i - 1);
            int tasks = batch ? 10 + random.nextInt(21) : 5 + random.nextInt(11);
            int milliCores = batch ? 1_400 + random.nextInt(800) : 320 + random.nextInt(200);
            TestSteps step = TestSteps.of(
                    tasks, new Resources(milliCores, 2L * milliCores, 0), batch ? 2_400 : 1_140, predecessors);
            made.add((batch ? step.bestEffort(image) : step).build());
            means.add((long) (made.get(i).estimatedMs() * (0.6 + 0.8 * random.nextDouble())));
        }
        submit(queue, made, means);
    }

    private void submit(String queue, List<JobStep> steps, List<Long> meanMs) {
        List<Long> workMs = new ArrayList<>();
        for (int i = 0; i < steps.size(); i++) {
            for (int task = 0; task < steps.get(i).taskCount(); task++) {
                workMs.add((long) (meanMs.get(i) * (0.85 + 0.3 * random.nextDouble())));
            }
        }
        String id = queue + "-" + jobs++;
        submitted.computeIfAbsent(queue, unused -> new ArrayList<>()).add(id);
        pool.submit(new JobSpec(id, queue, "", steps, 0, 0, 0, pool.nowMs), workMs);
    }
}
