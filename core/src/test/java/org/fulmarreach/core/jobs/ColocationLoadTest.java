package org.fulmarreach.core.jobs;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

import org.fulmarreach.core.model.Resources;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Emulates the load of the order service: long-running serving tasks reserve nearly all processors and use less than
 * half of them, short tasks need a quick answer, and batch jobs use the idle processors. Guards against starvation of
 * batch jobs because reserved processors count as used, and against interference of batch jobs with serving tasks.
 */
class ColocationLoadTest {
    private static final int WORKERS = 11;

    /** Highest minimum score required of any single kind of request on the deployments' standard days. */
    private static final double CLASS_FLOOR = 0.17;

    /** Highest minimum score required of a whole day there. */
    private static final double DAY_FLOOR = 0.44;

    private static final int SEEDS = 8;

    /** On the deployments, orders take 100 to 200 ms, and restoring a checkpoint takes up to 100 ms. */
    private static final int BEGIN_MS = 300;

    /** The deployments save a checkpoint after every 0.5 s of work. */
    private static final int CHECKPOINT_MS = 500;

    /** Arrival rate of batch jobs: 1.4 times the usual rate, as in bursts on the deployments. */
    private static final double BURST_PER_SECOND = 1.2;

    private static final JobConfig CONFIG = new JobConfig(
            1,
            List.of(
                    new JobQueue("basket", "h", "/b/", FakeWorker.SERVICE, 0, 2, 3_000, 400, 1.5),
                    new JobQueue("batch", "h", "/p/", FakeWorker.SERVICE, 2, 2, 3_000, 1_000, 2.0),
                    new JobQueue("standing", "h", "/s/", FakeWorker.SERVICE, 0, 3, 3_000, 2_500, 2.2)),
            1_000_000);

    final Map<String, List<String>> submitted = new HashMap<>();
    private final Map<Integer, Consumer<PoolEmulator>> events = new HashMap<>();
    private BiConsumer<PoolEmulator, String> beforeSubmission = (pool, id) -> {};
    private Consumer<PoolEmulator> preparation = pool -> {};
    double batchPerSecond = 0.84;
    private int jobs;

    @Test
    void batchWorkUsesIdleProcessorsWithoutInterference() {
        PoolEmulator pool = simulate(7, 0.65, 5.0);
        assertEquals(
                List.of(), pool.overTargetTooLong, "serving tasks over target for 4 s because of best-effort tasks");
        assertTrue(onTimeShare(pool, "basket") >= CLASS_FLOOR, report(pool));
        assertTrue(onTimeShare(pool, "batch") >= CLASS_FLOOR, report(pool));
        assertTrue(pool.servingScore / pool.maxServingScore >= CLASS_FLOOR, report(pool));
    }

    /**
     * A burst of batch jobs where a quarter of the pairs of images interfere, as measured on the deployments. Guards
     * against throttling or moving all tasks because of a tail latency that one pair causes, and against throttled
     * tasks that keep others from being placed.
     */
    @Test
    void batchWorkIsOnTimeInABurstWhereFewPairsInterfere() {
        double onTime = 0;
        double serving = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            ColocationLoadTest load = new ColocationLoadTest();
            load.batchPerSecond = BURST_PER_SECOND;
            PoolEmulator pool = load.simulate(seed, 0.25, 1.7);
            assertEquals(
                    List.of(),
                    pool.overTargetTooLong,
                    "serving tasks over target for 4 s because of best-effort tasks");
            onTime += load.onTimeShare(pool, "batch") / SEEDS;
            serving += pool.servingScore / pool.maxServingScore / SEEDS;
        }
        assertTrue(onTime >= DAY_FLOOR, "batch on time " + onTime);
        assertTrue(serving >= DAY_FLOOR, "serving " + serving);
    }

    @Test
    void batchWorkIsOnTimeWhereNothingInterferes() {
        PoolEmulator pool = simulate(7, 0, 0);
        assertTrue(onTimeShare(pool, "batch") >= DAY_FLOOR, report(pool));
    }

    /** Sets an action with the id of each job that is submitted from now on. */
    void beforeEachSubmission(BiConsumer<PoolEmulator, String> action) {
        beforeSubmission = action;
    }

    /** Sets an action for the pool before its leader decides anything. */
    void prepare(Consumer<PoolEmulator> action) {
        preparation = action;
    }

    /** Schedules an event at a second of the load. */
    void at(int second, Consumer<PoolEmulator> event) {
        events.put(second, event);
    }

    PoolEmulator simulate(long seed, double interferingShare, double interferenceFactor) {
        PoolEmulator pool = new PoolEmulator(seed, interferingShare, interferenceFactor, CONFIG);
        Random random = new Random(seed);
        for (int i = 0; i < WORKERS; i++) {
            int cores = i % 3 == 2 ? 96_000 : 64_000;
            pool.addWorker(i, new Resources(cores, 4L * cores, 0));
        }
        pool.workers.values().forEach(worker -> {
            worker.beginMs = BEGIN_MS;
            worker.checkpointMs = CHECKPOINT_MS;
        });
        preparation.accept(pool);
        pool.run(1_000);
        for (int i = 0; i < 10; i++) {
            submit(pool, random, "standing");
            pool.run(100);
        }
        for (int second = 0; second < 40; second++) {
            events.getOrDefault(second, unused -> {}).accept(pool);
            for (int part = 0; part < 10; part++) {
                if (random.nextDouble() < 0.312) {
                    submit(pool, random, "basket");
                }
                if (random.nextDouble() < batchPerSecond / 10) {
                    submit(pool, random, "batch");
                }
                pool.run(100);
            }
        }
        pool.run(12_000);
        return pool;
    }

    void submit(PoolEmulator pool, Random random, String queue) {
        int steps = queue.equals("standing") ? 1 : 1 + random.nextInt(queue.equals("basket") ? 2 : 3);
        List<JobStep> made = new ArrayList<>();
        List<Long> work = new ArrayList<>();
        for (int i = 0; i < steps; i++) {
            JobStep step = step(random, queue, i);
            made.add(step);
            double mean = step.estimatedMs() * (0.6 + 0.8 * random.nextDouble());
            for (int task = 0; task < step.taskCount(); task++) {
                work.add((long) (mean * (0.85 + 0.3 * random.nextDouble())));
            }
        }
        String id = queue + "-" + jobs++;
        submitted.computeIfAbsent(queue, unused -> new ArrayList<>()).add(id);
        beforeSubmission.accept(pool, id);
        pool.submit(new JobSpec(id, queue, "", made, 0, 0, 0, pool.nowMs), work);
    }

    private static JobStep step(Random random, String queue, int number) {
        List<Integer> predecessors = number == 0 ? List.of() : List.of(number - 1);
        return switch (queue) {
            case "basket" ->
                TestSteps.of(1 + random.nextInt(11), new Resources(960, 1_900, 0), 1_430, predecessors)
                        .build();
            case "batch" ->
                TestSteps.of(
                                2 + random.nextInt(13),
                                new Resources(5_000 + random.nextInt(4_000), 13_000, 0),
                                3_140,
                                predecessors)
                        .bestEffort("fill-" + random.nextInt(9))
                        .build();
            default ->
                TestSteps.of(
                                4 + random.nextInt(5),
                                new Resources(9_000 + random.nextInt(8_000), 26_000, 0),
                                0,
                                predecessors)
                        .serving("serve-" + random.nextInt(5), 18)
                        .build();
        };
    }

    double onTimeShare(PoolEmulator pool, String queue) {
        int onTime = 0;
        for (String id : submitted.get(queue)) {
            JobQueue config = CONFIG.findByName(queue).orElseThrow();
            long latencyMs = pool.latencyMs(id);
            long targetMs = trueTargetMs(pool, id, config);
            onTime += latencyMs >= 0 && latencyMs <= targetMs ? 1 : 0;
        }
        return (double) onTime / submitted.get(queue).size();
    }

    /** Returns the target of a batch job by its true work, in milliseconds after its submission. */
    static long batchTargetMs(PoolEmulator pool, String id) {
        return trueTargetMs(pool, id, CONFIG.findByName("batch").orElseThrow());
    }

    private static long trueTargetMs(PoolEmulator pool, String id, JobQueue queue) {
        Job job = pool.registry.find(id).orElseThrow();
        long chain = 0;
        for (int step = 0; step < job.spec().steps().size(); step++) {
            long longest = 0;
            for (JobTask task : job.tasksOf(0, step)) {
                longest = Math.max(longest, pool.workMs(task.name(), task.step()));
            }
            chain += longest;
        }
        return (long) (queue.criticalPathFactor() * chain) + queue.targetLatencyMs();
    }

    double doneShare(PoolEmulator pool, String queue) {
        long done = submitted.get(queue).stream()
                .filter(id -> pool.latencyMs(id) >= 0)
                .count();
        return (double) done / submitted.get(queue).size();
    }

    String report(PoolEmulator pool) {
        return "basket on time " + onTimeShare(pool, "basket") + ", batch on time " + onTimeShare(pool, "batch")
                + " done " + doneShare(pool, "batch") + ", serving " + pool.servingScore / pool.maxServingScore;
    }
}
