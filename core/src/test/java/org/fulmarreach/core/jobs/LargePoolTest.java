package org.fulmarreach.core.jobs;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * A deployment of 72 workers on which long-running tasks reserve 93% of the processors. Guards against a leader whose
 * work grows faster than the deployment, and against standing tasks or small jobs that are not placed. Does not depend
 * on the speed of the machine.
 */
class LargePoolTest {
    private static final long SEED = 5;

    /** Highest minimum score required of a whole day on the deployments' standard days. */
    private static final double DAY_FLOOR = 0.44;

    /** Callers expect their tasks to start within this time. */
    private static final long BEGIN_WITHIN_MS = 3_000;

    /** Twice the longest critical path, so that jobs waiting at the end of the traffic can finish. */
    private static final int FINISH_MS = 20_000;

    /** Lease of 6 s with its margins and the report timeout, plus the time within which tasks must start. */
    private static final int REPLACED_WITHIN_S = 11;

    /** Number of task classes in placement: tasks with reserved processors, and one class per best-effort image. */
    private static final int TASK_CLASSES = 1 + LargePool.BEST_EFFORT_IMAGES;

    /**
     * Small jobs need slightly more capacity than is left, so many wait. Guards against passes that search all workers
     * again for each waiting job, whose cost grows with jobs x workers.
     */
    @Test
    void passSearchesInVainAtMostOncePerTaskClass() {
        LargePool large = new LargePool(SEED, LargePool.WORKERS, 0);
        PoolEmulator pool = large.pool;
        large.submitStandingJobs();
        large.runTraffic(20);
        long inVain = pool.placement().candidates() / LargePool.WORKERS - pool.startedRuns;
        assertTrue(
                inVain <= (long) TASK_CLASSES * pool.passes,
                inVain + " searches without a placement in " + pool.passes + " passes over " + TASK_CLASSES
                        + " task classes");
    }

    /**
     * A burst of batch jobs. Guards against predictions that iterate over the tasks on a worker, or that are made for
     * workers without capacity: their cost grows with jobs x workers x tasks on a worker.
     */
    @Test
    void predictionsTakeLessThanOnePairForEachStandingTaskOnAWorker() {
        LargePool large = new LargePool(SEED, LargePool.WORKERS, 0.25);
        PoolEmulator pool = large.pool;
        large.submitStandingJobs();
        large.burst = 2;
        large.runTraffic(20);
        long candidates = pool.placement().candidates();
        long pairs = pool.placement().comparedPairs();
        int standing = large.countStandingTasks()[1];
        assertTrue(
                pairs * LargePool.WORKERS <= candidates * standing,
                pairs + " pairs of images for " + candidates + " candidates, " + standing + " standing tasks");
    }

    /** Guards against counts of tasks by phase that miss a change, including one that a new leader rolls back. */
    @Test
    void statusOfJobsFollowsFromTheirTasks() {
        LargePool large = new LargePool(SEED, LargePool.WORKERS, 0.25);
        large.submitStandingJobs();
        large.runTraffic(4);
        large.pool.replaceLeader();
        large.pool.cancel(large.submitted.get("batch").get(0));
        large.runTraffic(2);
        for (Job job : large.pool.registry.jobs()) {
            assertEquals(
                    job.snapshot().status(job.isCancelled()),
                    job.status(),
                    job.spec().id());
            boolean waits = job.tasks().stream().anyMatch(task -> task.state().phase() == TaskPhase.PENDING);
            assertEquals(waits, job.hasWaitingTasks(), job.spec().id());
            boolean assigned = job.tasks().stream().anyMatch(JobTask::isAssigned);
            assertEquals(assigned, job.hasAssignedTasks(), job.spec().id());
        }
    }

    /** Guards against standing tasks that are placed late or only in part, and against starvation of other jobs. */
    @Test
    void standingTasksRunAtOnceAndOtherJobsArePlaced() {
        LargePool large = new LargePool(SEED, LargePool.WORKERS, 0);
        large.submitStandingJobs();
        large.pool.run(BEGIN_WITHIN_MS);
        for (int second = 0; second < 20; second++) {
            int[] standing = large.countStandingTasks();
            assertEquals(standing[0], standing[1], "standing tasks running in second " + second);
            large.runTraffic(1);
        }
        PoolEmulator pool = large.pool;
        assertTrue(pool.servingScore / pool.maxServingScore >= DAY_FLOOR, large.report());
        assertTrue(large.onTimeShare("small", pool.nowMs - BEGIN_WITHIN_MS) >= DAY_FLOOR, large.report());
        // Small jobs need slightly more capacity than is left, so some are late, but all must be completed.
        pool.run(FINISH_MS);
        for (String queue : List.of("small", "batch")) {
            assertEquals(1, large.doneShare(queue, pool.nowMs), queue + " jobs done after the end of the traffic");
        }
    }

    /** Guards against standing tasks of a lost worker that are not placed again while small jobs keep arriving. */
    @Test
    void standingTasksOfALostWorkerArePlacedAgain() {
        LargePool large = new LargePool(SEED, LargePool.WORKERS, 0);
        large.submitStandingJobs();
        large.runTraffic(5);
        large.pool.silence(large.pool.workers.get("guard-20"));
        large.runTraffic(REPLACED_WITHIN_S);
        int[] standing = large.countStandingTasks();
        assertEquals(standing[0], standing[1], "standing tasks running");
    }
}
