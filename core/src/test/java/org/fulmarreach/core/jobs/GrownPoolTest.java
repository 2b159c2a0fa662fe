package org.fulmarreach.core.jobs;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * A deployment of 72 workers of which standing tasks reserve 93%. Guards against a leader whose work grows faster than
 * the deployment, and against standing tasks or small jobs that find no room there. Nothing here depends on the speed
 * of the machine.
 */
class GrownPoolTest {
    private static final long SEED = 5;

    /** Highest floor of a whole day on the standard days of the deployments. */
    private static final double DAY_FLOOR = 0.44;

    /** Callers expect their work to begin within this time. */
    private static final long BEGIN_WITHIN_MS = 3_000;

    /** Twice the longest chain of steps, for what still waits when the traffic ends. */
    private static final int FINISH_MS = 20_000;

    /** A lease of 6 s with its margins and the silence before it, and then the time in which work is to begin. */
    private static final int REPLACED_WITHIN_S = 11;

    /** Kinds of tasks between which only their demands decide whether they find room: firm ones and each image. */
    private static final int KINDS = 1 + GrownPool.FILLING_IMAGES;

    /**
     * Small jobs need slightly more than the room that is left, so many wait. Guards against passes that look at all
     * workers again for each waiting job: then the work grows with jobs x workers.
     */
    @Test
    void passLooksForRoomInVainAtMostOnceForEachKindOfTasks() {
        GrownPool grown = new GrownPool(SEED, GrownPool.WORKERS, 0);
        PoolEmulator pool = grown.pool;
        grown.stand();
        grown.load(20);
        long inVain = pool.placement().candidates() / GrownPool.WORKERS - pool.startedRuns;
        assertTrue(
                inVain <= (long) KINDS * pool.passes,
                inVain + " searches without a run in " + pool.passes + " passes over " + KINDS + " kinds");
    }

    /**
     * A burst of batch jobs. Guards against predictions that go over the tasks on a worker, or that are made where
     * there is no room anyway: then the work grows with jobs x workers x tasks on a worker.
     */
    @Test
    void predictionsTakeLessThanOnePairForEachStandingTaskOnAWorker() {
        GrownPool grown = new GrownPool(SEED, GrownPool.WORKERS, 0.25);
        PoolEmulator pool = grown.pool;
        grown.stand();
        grown.burst = 2;
        grown.load(20);
        long candidates = pool.placement().candidates();
        long pairs = pool.placement().comparedPairs();
        int standing = grown.standingAtWork()[1];
        assertTrue(
                pairs * GrownPool.WORKERS <= candidates * standing,
                pairs + " pairs of images for " + candidates + " candidates, " + standing + " standing tasks");
    }

    /** Guards against counts of tasks by phase that miss a change, also one that a new leader takes back. */
    @Test
    void statusOfJobsFollowsFromTheirTasks() {
        GrownPool grown = new GrownPool(SEED, GrownPool.WORKERS, 0.25);
        grown.stand();
        grown.load(4);
        grown.pool.replaceLeader();
        grown.pool.cancel(grown.submitted.get("batch").get(0));
        grown.load(2);
        for (Job job : grown.pool.book.jobs()) {
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

    /** Guards against standing work that is placed late or in part, and against other jobs that starve beside it. */
    @Test
    void standingWorkIsAtWorkAtOnceAndOtherJobsFindRoom() {
        GrownPool grown = new GrownPool(SEED, GrownPool.WORKERS, 0);
        grown.stand();
        grown.pool.run(BEGIN_WITHIN_MS);
        for (int second = 0; second < 20; second++) {
            int[] standing = grown.standingAtWork();
            assertEquals(standing[0], standing[1], "standing tasks at work in second " + second);
            grown.load(1);
        }
        PoolEmulator pool = grown.pool;
        assertTrue(pool.servingEarned / pool.servingOwed >= DAY_FLOOR, grown.report());
        assertTrue(grown.onTimeShare("small", pool.nowMs - BEGIN_WITHIN_MS) >= DAY_FLOOR, grown.report());
        // Small jobs need slightly more than the room that is left, so some are late; none may stay behind for good.
        pool.run(FINISH_MS);
        for (String queue : List.of("small", "batch")) {
            assertEquals(1, grown.doneShare(queue, pool.nowMs), queue + " jobs done after the end of the traffic");
        }
    }

    /** Guards against standing tasks of a lost worker that wait for as long as small jobs arrive. */
    @Test
    void standingWorkOfALostWorkerGoesOnElsewhere() {
        GrownPool grown = new GrownPool(SEED, GrownPool.WORKERS, 0);
        grown.stand();
        grown.load(5);
        grown.pool.silence(grown.pool.workers.get("guard-20"));
        grown.load(REPLACED_WITHIN_S);
        int[] standing = grown.standingAtWork();
        assertEquals(standing[0], standing[1], "standing tasks at work");
    }
}
