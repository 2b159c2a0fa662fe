package org.fulmarreach.core.jobs;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import org.fulmarreach.core.model.Resources;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/**
 * Guards against jobs that have no run for long although workers have room for their tasks. Each seed gives another mix
 * of serving tasks, best-effort jobs and interference between their images.
 */
class WaitingJobsTest {
    private static final JobConfig CONFIG = new JobConfig(
            1, List.of(new JobQueue("q", "h", "/q/", FakeWorker.SERVICE, 0, 2, 3_000, 400, 1.5)), 1_000_000);
    private static final Resources WORKER = new Resources(64_000, 250_000, 0);
    private static final int WORKERS = 3;
    private static final int SEEDS = 30;

    /** Interference for 4 s on end is rare, so it takes more seeds to meet it. */
    private static final int SERVING_SEEDS = 300;

    private static final int LEADER_SEEDS = 600;

    private static final int POWER_SEEDS = 20;

    /** Callers expect each standing task to have a run within this time, however full a service is. */
    private static final int MAX_WITHOUT_STANDING_RUN_MS = 6_000;

    private static final int CHECK_MS = 100;
    private static final String OVER_TARGET = " was over its target for 4 s by interference";

    /** Callers expect a job to have a run within this time while less than half of the reservable room is taken. */
    private static final long MAX_WITHOUT_RUN_MS = 3_000;

    private final Map<String, Long> withoutRunSinceMs = new HashMap<>();
    private final Map<String, Long> longestMs = new HashMap<>();

    /**
     * More best-effort jobs than the idle processors can carry at a time, whose tasks hardly need memory. Guards
     * against a job that waits for as long as others use the idle processors of all workers, and against serving tasks
     * that are over their targets because it does not.
     */
    @Test
    void bestEffortJobsGetARunWhileOthersUseTheIdleProcessors() {
        List<String> waiting = new ArrayList<>();
        for (int seed = 1; seed <= SEEDS; seed++) {
            waiting.addAll(simulate(seed, false));
        }
        assertEquals(List.of(), waiting, "jobs without a run for more than 3 s, and serving tasks over their targets");
    }

    /**
     * Serving tasks on all workers, so that each best-effort task may interfere. Guards against a best-effort task that
     * is placed beside serving tasks near their targets because its job has no run.
     */
    @Test
    void servingTasksStayWithinTheirTargetsWhileBestEffortJobsWait() {
        List<String> overTarget = new ArrayList<>();
        for (int seed = 1; seed <= SERVING_SEEDS; seed++) {
            simulate(seed, true).stream()
                    .filter(problem -> problem.contains(OVER_TARGET))
                    .forEach(overTarget::add);
        }
        assertEquals(List.of(), overTarget, "serving tasks over their targets");
    }

    /**
     * The same with changes of the leader, the last of them 8 s before the check begins. Guards against a leader that
     * places the jobs which it finds without a run beside serving tasks of whose interference it knows too little.
     */
    @Test
    void servingTasksStayWithinTheirTargetsAfterChangesOfTheLeader() {
        List<String> overTarget = new ArrayList<>();
        for (int seed = 1; seed <= LEADER_SEEDS; seed++) {
            Random random = new Random(seed);
            PoolEmulator pool = new PoolEmulator(seed, random.nextDouble(), 1 + 4 * random.nextDouble(), CONFIG);
            for (int i = 0; i < WORKERS; i++) {
                pool.addWorker(i, WORKER);
            }
            pool.run(1_000);
            int standing = 1 + random.nextInt(2);
            for (int i = 0; i < standing; i++) {
                TestSteps serving = TestSteps.of(WORKERS, new Resources(13_000, 26_000, 0), 0, List.of())
                        .serving("serve-" + i, 18)
                        .atMostPerWorker(1);
                submit(pool, "standing-" + i, serving, 0);
            }
            pool.run(5_000);
            for (int i = 0; i < 25; i++) {
                submitBestEffort(pool, "batch-" + i, random, 1_000 + random.nextInt(6_000));
                pool.run(100 * random.nextInt(8));
                if (i % 6 == 5) {
                    pool.replaceLeader();
                }
            }
            pool.replaceLeader();
            pool.run(8_000);
            pool.overTargetTooLong.clear();
            for (int i = 0; i < 12; i++) {
                if (i < 6) {
                    submitBestEffort(pool, "late-" + i, random, 4_000);
                }
                pool.run(2_000);
            }
            if (!pool.overTargetTooLong.isEmpty()) {
                overTarget.add("seed " + seed + ": " + Set.copyOf(pool.overTargetTooLong) + OVER_TARGET);
            }
        }
        assertEquals(List.of(), overTarget, "serving tasks over their targets");
    }

    /**
     * Standing tasks that are submitted after a loss of power, among many best-effort jobs without a run. Guards
     * against a new leader that gives all these jobs a run at once, although the idle processors are taken: their
     * memory is what the standing tasks need then.
     */
    @Test
    void standingTasksFindMemoryAmongBestEffortJobsWithoutARun() {
        List<String> waiting = new ArrayList<>();
        for (int seed = 1; seed <= POWER_SEEDS; seed++) {
            Random random = new Random(seed);
            PoolEmulator pool = new PoolEmulator(seed, 0.3, 2, CONFIG);
            for (int i = 0; i < 4; i++) {
                pool.addWorker(i, WORKER);
            }
            pool.workers.values().forEach(worker -> {
                worker.beginMs = 150;
                worker.checkpointMs = 1_000;
            });
            pool.run(1_000);
            for (int i = 0; i < 80; i++) {
                int taskMs = 2_000 + random.nextInt(6_000);
                int count = 4 + random.nextInt(20);
                Resources demand = new Resources(4_000 + random.nextInt(6_000), 10_000 + random.nextInt(10_000), 0);
                submit(
                        pool,
                        "batch-" + i,
                        TestSteps.of(count, demand, taskMs, List.of()).bestEffort("fill-" + i % 6),
                        taskMs);
                pool.run(100);
            }
            pool.losePower(1_600);
            pool.run(1_000);
            submit(
                    pool,
                    "standing",
                    TestSteps.of(4, new Resources(13_000, 40_000, 0), 0, List.of())
                            .serving("serve", 18),
                    0);
            pool.run(MAX_WITHOUT_STANDING_RUN_MS);
            Job standing = pool.registry.find("standing").orElseThrow();
            long running = standing.tasks().stream()
                    .filter(task -> pool.workers.values().stream()
                            .anyMatch(worker -> worker.runs(task.name().toString())))
                    .count();
            if (running < standing.tasks().size()) {
                waiting.add("seed " + seed + ": " + running + " of 4");
            }
        }
        assertEquals(List.of(), waiting, "standing tasks at work after " + MAX_WITHOUT_STANDING_RUN_MS + " ms");
    }

    /**
     * Jobs whose tasks always fail. Guards against a job that waits because two runs in a row failed on every worker,
     * so that none of them gets new work for a while.
     */
    @Test
    void jobsGetARunWhileOthersFailOnAllWorkers() {
        PoolEmulator pool = new PoolEmulator(1, 0, 0, CONFIG);
        for (int i = 0; i < WORKERS; i++) {
            pool.addWorker(i, WORKER);
        }
        pool.run(1_000);
        for (int i = 0; i < 8; i++) {
            pool.faultyJobs.add("poison-" + i);
            submit(pool, "poison-" + i, TestSteps.of(6, new Resources(1_000, 1_000, 0), 200, List.of()), 200);
            submit(pool, "sound-" + i, TestSteps.of(1, new Resources(1_000, 1_000, 0), 400, List.of()), 400);
            run(pool, 700);
        }
        run(pool, 10_000);
        assertEquals(List.of(), findLongWaiting(1), "jobs without a run for more than 3 s");
    }

    /** Guards against a job whose attempts are used up at once by the only worker that is available, and faulty. */
    @Test
    void onlyAvailableWorkerGetsNothingNewForAWhileAfterFailures() {
        PoolEmulator pool = new PoolEmulator(1, 0, 0, CONFIG);
        pool.addWorker(0, WORKER);
        pool.run(1_000);
        pool.faultyJobs.add("failing");
        submit(pool, "failing", TestSteps.of(2, new Resources(1_000, 1_000, 0), 200, List.of()), 200);
        pool.run(700);
        submit(pool, "next", TestSteps.of(1, new Resources(1_000, 1_000, 0), 400, List.of()), 400);
        pool.run(1_000);
        assertEquals(JobStatus.QUEUED, pool.registry.find("next").orElseThrow().acknowledgedStatus());
    }

    private List<String> simulate(int seed, boolean servingOnAllWorkers) {
        withoutRunSinceMs.clear();
        longestMs.clear();
        Random random = new Random(seed);
        PoolEmulator pool = new PoolEmulator(seed, random.nextDouble(), 1 + 4 * random.nextDouble(), CONFIG);
        for (int i = 0; i < WORKERS; i++) {
            pool.addWorker(i, WORKER);
        }
        pool.run(1_000);
        int standing = random.nextInt(3);
        for (int i = 0; i < standing; i++) {
            submit(
                    pool,
                    "standing-" + i,
                    TestSteps.of(
                                    servingOnAllWorkers ? WORKERS : 1 + random.nextInt(3),
                                    new Resources(13_000, 26_000, 0),
                                    0,
                                    List.of())
                            .serving("serve-" + i, 18)
                            .atMostPerWorker(servingOnAllWorkers ? 1 : 0),
                    0);
        }
        run(pool, 5_000);
        for (int i = 0; i < 10; i++) {
            int workMs = 1_000 + random.nextInt(6_000);
            submit(
                    pool,
                    "batch-" + i,
                    TestSteps.of(
                                    2 + random.nextInt(12),
                                    new Resources(5_000 + random.nextInt(4_000), 2_000, 0),
                                    workMs,
                                    List.of())
                            .bestEffort("fill-" + random.nextInt(5)),
                    workMs);
            run(pool, 100 * random.nextInt(8));
        }
        run(pool, 20_000);
        List<String> waiting = new ArrayList<>();
        pool.overTargetTooLong.forEach(task -> waiting.add("seed " + seed + ": " + task + OVER_TARGET));
        waiting.addAll(findLongWaiting(seed));
        return waiting;
    }

    private List<String> findLongWaiting(int seed) {
        List<String> waiting = new ArrayList<>();
        longestMs.forEach((id, ms) -> {
            if (ms > MAX_WITHOUT_RUN_MS) {
                waiting.add("seed " + seed + ": " + id + " had no run for " + ms + " ms");
            }
        });
        return waiting;
    }

    private void run(PoolEmulator pool, int forMs) {
        for (int ms = 0; ms < forMs; ms += CHECK_MS) {
            pool.run(CHECK_MS);
            for (Job job : pool.registry.jobs()) {
                String id = job.spec().id();
                if (job.status().isFinal() || job.hasAssignedTasks()) {
                    withoutRunSinceMs.remove(id);
                } else {
                    long sinceMs = withoutRunSinceMs.computeIfAbsent(id, unused -> pool.nowMs);
                    longestMs.merge(id, pool.nowMs - sinceMs, Math::max);
                }
            }
        }
    }

    private static void submit(PoolEmulator pool, String id, TestSteps steps, long taskMs) {
        JobStep step = steps.build();
        JobSpec spec = new JobSpec(id, "q", "", List.of(step), 0, 0, 0, pool.nowMs);
        pool.submit(spec, Collections.nCopies(step.taskCount(), taskMs));
    }

    private static void submitBestEffort(PoolEmulator pool, String id, Random random, int taskMs) {
        TestSteps steps = TestSteps.of(
                        2 + random.nextInt(12),
                        new Resources(5_000 + random.nextInt(4_000), 2_000, 0),
                        taskMs,
                        List.of())
                .bestEffort("fill-" + random.nextInt(5));
        submit(pool, id, steps, taskMs);
    }
}
