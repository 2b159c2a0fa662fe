package org.fulmarreach.core.jobs;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

import org.fulmarreach.core.jobs.DecisionLog.Decision;
import org.fulmarreach.core.model.Resources;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Short jobs and standing tasks in a pool that has no room for all of them. */
class HeadroomTest {
    private static final long SEED = 11;
    private static final int WORKERS = 30;

    /** The day's floor for each kind of request is far lower; in a pool with a headroom nearly none has to be late. */
    private static final double ON_TIME_FLOOR = 0.95;

    /** The highest share of their benefit that callers on days with trouble set as a goal is 0.57. */
    private static final double SHARE_OF_BOUND = 0.57;

    /** Callers allow 3 s without a run; the start of one takes some of it. */
    private static final long MAX_GAP_MS = 2_500;

    private static final Resources WORKER = new Resources(10_000, 100_000, 0);
    private static final JobConfig CONFIG = new JobConfig(
            1, List.of(new JobQueue("q", "h", "/q/", FakeWorker.SERVICE, 0, 2, 3_000, 400, 1.5)), 1_000_000);

    /** Standing tasks request nearly all at the start and more than the pool later; short jobs found no room then. */
    @ParameterizedTest
    @ValueSource(longs = {11, 12, 13})
    void shortJobsAreOnTimeWhileStandingTasksRequestMoreThanThePool(long seed) {
        FullPool full = new FullPool(seed, WORKERS);
        full.submitStanding(0.81);
        full.runTraffic(5, 0.81);
        long fromMs = full.pool.nowMs;
        full.runTraffic(25, 1.15);
        long toMs = full.pool.nowMs;
        full.pool.run(5_000);
        String report = "short on time " + full.onTimeShare("short", fromMs, toMs) + ", standing "
                + full.standingShare() + ", longest gap " + full.longestGapMs;
        assertTrue(full.onTimeShare("short", fromMs, toMs) >= ON_TIME_FLOOR, report);
        assertTrue(full.standingShare() >= 1 - Headroom.MAX_SHARE, report);
        assertTrue(full.longestGapMs <= MAX_GAP_MS, report);
    }

    /**
     * A burst of long work at 2.4 times for 6 s, then one of urgent short work at 1.9 times, in the same full pool. The
     * room that standing tasks leave bounds what can be on time: without it, the room itself was too small for most.
     */
    @Test
    void shortJobsUseTheirRoomInABurstOfUrgentWorkAfterOneOfLongWork() {
        FullPool full = new FullPool(SEED, WORKERS);
        full.submitStanding(0.81);
        full.longPerSecond = 1.5;
        full.runTraffic(5, 0.81);
        full.runTraffic(10, 1.15);
        full.longPerSecond *= 2.4;
        full.runTraffic(6, 1.15);
        full.longPerSecond /= 2.4;
        full.shortPerSecond *= 1.9;
        long fromMs = full.pool.nowMs;
        double workBefore = full.shortCoreMs;
        full.runTraffic(6, 1.15);
        double arrivedCoreMs = full.shortCoreMs - workBefore;
        long toMs = full.pool.nowMs;
        double room = (1 - full.standingShare()) * WORKERS * FullPool.WORKER.milliCores() / 1_000 * 6_000;
        full.pool.run(5_000);
        double bound = Math.min(1, room / arrivedCoreMs);
        double onTime = full.onTimeShare("short", fromMs, toMs);
        assertTrue(
                onTime >= SHARE_OF_BOUND * bound, "short on time " + onTime + ", bound with full knowledge " + bound);
    }

    /** Guards against an order or a headroom that changes anything while there is room for all. */
    @Test
    void nothingIsShortOrKeptOutWhileThereIsRoomForAll() {
        FullPool full = new FullPool(SEED, WORKERS);
        full.submitStanding(0.4);
        full.runTraffic(15, 0.6);
        Headroom headroom = full.pool.placement().headroom();
        assertTrue(headroom.milliCores() > 0, "short jobs have run");
        assertEquals(0, headroom.shortages());
        assertFalse(headroom.isShortOfRoom(FakeWorker.SERVICE, full.pool.nowMs));
    }

    /** Guards against a headroom that is free and keeps a standing task waiting for longer than callers allow. */
    @Test
    void givesWayToAStandingTaskIfThereIsRoomTwiceOver() {
        PoolEmulator pool = pool(2);
        streamShortJobs(pool, 4);
        submitStanding(pool, "first", 4, 4_000);
        pool.run(1_000);
        assertEquals(4, assigned(pool, "first"));
        submitStanding(pool, "second", 1, 2_000);
        pool.run(500);
        assertEquals(0, assigned(pool, "second"), "kept out");
        pool.run(1_000);
        assertEquals(1, assigned(pool, "second"), "given way");
    }

    /** An operator must see why the task waits; the room suffices for it once, not twice over. */
    @Test
    void logsThatAStandingTaskIsKeptOut() {
        PoolEmulator pool = pool(1);
        List<String> reasons = new ArrayList<>();
        pool.observer = (decision, subject, fields) -> {
            if (decision == Decision.TASK_WAITING) {
                reasons.add(fields[1] + " " + fields[11]);
            }
        };
        streamShortJobs(pool, 1);
        submitStanding(pool, "first", 2, 4_000);
        pool.run(1_500);
        submitStanding(pool, "second", 1, 1_500);
        pool.run(3_000);
        assertEquals(0, assigned(pool, "second"));
        assertTrue(
                reasons.stream().anyMatch(reason -> reason.startsWith("room is kept free for short jobs")),
                reasons.toString());
        assertTrue(reasons.get(0).contains("withRoom=1") && reasons.get(0).contains("capacityMilliCores=10000"));
    }

    /** A standing task that has lost its run goes into the headroom at once: callers count its time without a run. */
    @Test
    void standingTaskThatLostItsRunIsPlacedIntoTheHeadroom() {
        PoolEmulator pool = pool(1);
        streamShortJobs(pool, 1);
        submitStanding(pool, "first", 2, 4_000);
        pool.run(1_500);
        JobTask lost = pool.registry.find("first").orElseThrow().tasks().get(0);
        submitStanding(pool, "second", 1, 1_500);
        FakeWorker worker = pool.workers.get("guard-0");
        worker.execute(
                new JobOrder.Stop(
                        worker.ref(), lost.name().toString(), lost.state().run()),
                pool.registry);
        pool.run(2_500);
        assertTrue(lost.isAssigned() && lost.state().run() == 2, lost.state().toString());
    }

    /** Callers count the room of suspected workers too, where standing tasks are placed once they have waited. */
    @Test
    void givesWayIfOnlyASuspectedWorkerHasRoomTwiceOver() {
        PoolEmulator pool = pool(2);
        submitStanding(pool, "full", 1, 10_000);
        submitStanding(pool, "part", 1, 7_000);
        pool.run(500);
        pool.faultyJobs.add("faulty");
        List<Decision> suspicions = new ArrayList<>();
        pool.observer = (decision, subject, fields) -> {
            if (decision == Decision.WORKER_SUSPECTED) {
                suspicions.add(decision);
            }
        };
        submit(pool, "faulty", TestSteps.of(3, new Resources(1_000, 1_000, 0), 100, List.of()), 100);
        for (int ms = 0; ms < 5_000 && suspicions.isEmpty(); ms += PoolEmulator.STEP_MS) {
            pool.run(PoolEmulator.STEP_MS);
        }
        assertFalse(suspicions.isEmpty(), "the failures make the only worker with room a suspect");
        for (int i = 0; i < 8; i++) {
            submit(pool, "short-" + i, TestSteps.of(1, new Resources(1_000, 1_000, 0), 1_000, List.of()), 1_000);
        }
        pool.run(500);
        assertEquals(0, assigned(pool, "short-0"), "the only worker with room is suspected");
        submitStanding(pool, "second", 1, 1_500);
        pool.run(1_000);
        assertEquals(0, assigned(pool, "second"), "waits for a sound worker");
        pool.run(1_000);
        assertEquals(1, assigned(pool, "second"), "given way");
        assertEquals(0, assigned(pool, "short-0"), "the worker is still suspected");
    }

    private static PoolEmulator pool(int workers) {
        PoolEmulator pool = new PoolEmulator(SEED, 0, 0, CONFIG);
        for (int i = 0; i < workers; i++) {
            pool.addWorker(i, WORKER);
        }
        pool.run(1_000);
        return pool;
    }

    /** Keeps a number of cores busy with short jobs for 5 s. */
    private static void streamShortJobs(PoolEmulator pool, int cores) {
        for (int i = 0; i < 5 * cores; i++) {
            submit(pool, "short-" + i, TestSteps.of(1, new Resources(1_000, 1_000, 0), 1_000, List.of()), 1_000);
            pool.run(1_000 / cores);
        }
        pool.run(1_500);
    }

    private static void submitStanding(PoolEmulator pool, String id, int tasks, int milliCores) {
        submit(
                pool,
                id,
                TestSteps.of(tasks, new Resources(milliCores, 1_000, 0), 0, List.of())
                        .longRunning(),
                0);
    }

    private static void submit(PoolEmulator pool, String id, TestSteps steps, long taskMs) {
        JobStep step = steps.build();
        JobSpec spec = new JobSpec(id, "q", "", List.of(step), 0, 0, 0, pool.nowMs);
        pool.submit(spec, Collections.nCopies(step.taskCount(), taskMs));
    }

    private static long assigned(PoolEmulator pool, String id) {
        return pool.registry.find(id).orElseThrow().tasks().stream()
                .filter(JobTask::isAssigned)
                .count();
    }
}
