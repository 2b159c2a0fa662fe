package org.fulmarreach.core.jobs;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import org.fulmarreach.core.model.Resources;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Load of a pool in which standing tasks reserve nearly all processors, and many of their images tolerate few of the
 * batch images: batch tasks are throttled most of the time. Three tasks in a hundred take seven times as long. Guards
 * against jobs that never end because their last tasks are paused, stopped shortly before they end, or wait behind
 * tasks of jobs that have just begun.
 */
class ThrottledBatchLoadTest {
    private static final int WORKERS = 17;
    private static final int SECONDS = 34;
    private static final int SEEDS = 6;

    /** Highest minimum score required of any single kind of request on the deployments' standard days. */
    private static final double CLASS_FLOOR = 0.17;

    private static final double INTERFERING_SHARE = 0.4;
    private static final double INTERFERENCE_FACTOR = 3.0;

    /** Rate of batch jobs, and its multiple in the seconds of the burst. */
    private static final double BATCH_PER_SECOND = 0.3;

    private static final double BURST_FACTOR = 2.4;

    private static final JobConfig CONFIG = new JobConfig(
            1,
            List.of(
                    new JobQueue("quick", "h", "/b/", FakeWorker.SERVICE, 0, 2, 3_000, 400, 1.5),
                    new JobQueue("batch", "h", "/p/", FakeWorker.SERVICE, 2, 2, 3_000, 1_000, 2.0),
                    new JobQueue("standing", "h", "/s/", FakeWorker.SERVICE, 0, 3, 3_000, 2_500, 2.2)),
            1_000_000);

    private final Map<String, List<String>> submitted = new HashMap<>();
    private int jobs;

    @Test
    void batchJobsAreOnTimeWhileTheirTasksAreThrottled() {
        double onTime = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            ThrottledBatchLoadTest load = new ThrottledBatchLoadTest();
            PoolEmulator pool = load.simulate(seed, INTERFERING_SHARE, INTERFERENCE_FACTOR);
            assertEquals(List.of(), pool.overTargetTooLong, "serving tasks over target for 4 s");
            assertEquals(Set.of(), pool.duplicateRuns);
            onTime += load.onTimeShare(pool, "batch") / SEEDS;
        }
        assertTrue(onTime >= CLASS_FLOOR, "batch work on time " + onTime);
    }

    private PoolEmulator simulate(long seed, double interferingShare, double interferenceFactor) {
        PoolEmulator pool = new PoolEmulator(seed, interferingShare, interferenceFactor, CONFIG);
        Random random = new Random(seed);
        for (int i = 0; i < WORKERS; i++) {
            int cores = i % 3 == 2 ? 48_000 : 32_000;
            pool.addWorker(i, new Resources(cores, 4 * cores, 0));
        }
        pool.workers.values().forEach(worker -> {
            worker.beginMs = 300;
            worker.checkpointMs = 2_000;
        });
        pool.run(1_000);
        for (int i = 0; i < 6; i++) {
            submit(pool, random, "standing");
            pool.run(100);
        }
        for (int second = 0; second < SECONDS; second++) {
            double batch = BATCH_PER_SECOND * (second >= 5 && second < 11 ? BURST_FACTOR : 1);
            for (int part = 0; part < 10; part++) {
                if (random.nextDouble() < 0.25) {
                    submit(pool, random, "quick");
                }
                if (random.nextDouble() < batch / 10) {
                    submit(pool, random, "batch");
                }
                pool.run(100);
            }
        }
        pool.run(14_000);
        return pool;
    }

    private void submit(PoolEmulator pool, Random random, String queue) {
        int steps = queue.equals("standing") ? 1 : 1 + random.nextInt(queue.equals("quick") ? 2 : 3);
        List<JobStep> made = new ArrayList<>();
        List<Long> work = new ArrayList<>();
        for (int i = 0; i < steps; i++) {
            JobStep step = step(random, queue, i);
            made.add(step);
            double mean = step.estimatedMs() * (0.6 + 0.8 * random.nextDouble());
            for (int task = 0; task < step.taskCount(); task++) {
                double tail = random.nextDouble() < 0.03 ? 7 : 1;
                work.add((long) (mean * tail * (0.85 + 0.3 * random.nextDouble())));
            }
        }
        String id = queue + "-" + jobs++;
        submitted.computeIfAbsent(queue, unused -> new ArrayList<>()).add(id);
        pool.submit(new JobSpec(id, queue, "", made, 0, 0, 0, pool.nowMs), work);
    }

    private static JobStep step(Random random, String queue, int number) {
        List<Integer> predecessors = number == 0 ? List.of() : List.of(number - 1);
        return switch (queue) {
            case "quick" ->
                TestSteps.of(3 + random.nextInt(13), new Resources(790, 1_600, 0), 600, predecessors)
                        .build();
            case "batch" ->
                TestSteps.of(
                                5 + random.nextInt(30),
                                new Resources(2_500 + random.nextInt(2_000), 6_400, 0),
                                2_600,
                                predecessors)
                        .bestEffort("fill-" + random.nextInt(18))
                        .build();
            default ->
                TestSteps.of(14, new Resources(5_000 + random.nextInt(2_800), 13_000, 0), 0, predecessors)
                        .serving("serve-" + random.nextInt(10), 18)
                        .build();
        };
    }

    /** Returns the share of jobs that are completed within their target, by their work. */
    private double onTimeShare(PoolEmulator pool, String queue) {
        double all = 0;
        double onTime = 0;
        JobQueue config = CONFIG.findByName(queue).orElseThrow();
        for (String id : submitted.get(queue)) {
            Job job = pool.registry.find(id).orElseThrow();
            double work = 0;
            long chain = 0;
            for (int step = 0; step < job.spec().steps().size(); step++) {
                long longest = 0;
                for (JobTask task : job.tasksOf(0, step)) {
                    longest = Math.max(longest, pool.workMs(task.name(), task.step()));
                    work += (double) pool.workMs(task.name(), task.step())
                            * task.step().demand().milliCores();
                }
                chain += longest;
            }
            long latencyMs = pool.latencyMs(id);
            double targetMs = config.criticalPathFactor() * chain + config.targetLatencyMs();
            all += work;
            onTime += latencyMs >= 0 && latencyMs <= targetMs ? work : 0;
        }
        return onTime / all;
    }
}
