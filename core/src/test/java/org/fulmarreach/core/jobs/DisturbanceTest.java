package org.fulmarreach.core.jobs;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

import org.fulmarreach.core.model.Resources;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * The load of the order service under faults and load spikes: service levels that callers must still get. Each test
 * names its disturbance. The bounds are the highest minimum scores that the standard days require of a whole day and of
 * a single kind of request.
 */
class DisturbanceTest {
    private static final double DAY_FLOOR = 0.44;
    private static final double CLASS_FLOOR = 0.17;

    /** Share of the pairs of images that interfere, as measured on the deployments. */
    private static final double INTERFERING_SHARE = 0.25;

    /** Interference factor of these pairs, as measured on the deployments. */
    private static final double INTERFERENCE_FACTOR = 1.7;

    private static final long SEED = 3;

    private final ColocationLoadTest load = new ColocationLoadTest();

    /** Poison jobs: many jobs whose tasks always fail. Guards against failing runs that take the capacity of others. */
    @Test
    void jobsThatAlwaysFailEndAsFailedAndLeaveCapacityForOthers() {
        List<String> poison = new ArrayList<>();
        for (int second = 8; second < 14; second++) {
            load.at(second, pool -> {
                int before = load.submitted.get("batch").size();
                load.submit(pool, new Random(SEED), "batch");
                List<String> batch = load.submitted.get("batch");
                String id = batch.remove(before);
                poison.add(id);
                pool.faultyJobs.add(id);
            });
        }
        PoolEmulator pool = simulate();
        for (String id : poison) {
            assertEquals(JobStatus.FAILED, pool.registry.find(id).orElseThrow().acknowledgedStatus(), id);
        }
        assertServiceLevels(pool, DAY_FLOOR);
    }

    /** Mass cancellation: half of the open batch jobs at once. Guards against runs that continue after cancellation. */
    @Test
    void cancelledJobsStopAndFreeTheirCapacity() {
        List<String> cancelled = new ArrayList<>();
        load.at(15, pool -> {
            List<String> batch = load.submitted.get("batch");
            for (int i = batch.size() - 1; i >= 0; i -= 2) {
                if (pool.latencyMs(batch.get(i)) < 0) {
                    cancelled.add(batch.get(i));
                    pool.cancel(batch.remove(i));
                }
            }
        });
        load.at(17, pool -> {
            for (String id : cancelled) {
                for (JobTask task : pool.registry.find(id).orElseThrow().tasks()) {
                    String name = task.name().toString();
                    assertTrue(
                            pool.workers.values().stream().noneMatch(worker -> worker.runs(name)),
                            name + " still runs 2 s after its job was cancelled");
                }
            }
        });
        PoolEmulator pool = simulate();
        assertTrue(!cancelled.isEmpty(), "there was no open job to cancel");
        assertServiceLevels(pool, DAY_FLOOR);
    }

    /** All workers restart and lose their runs at once, and the leader is replaced. */
    @Test
    void lossOfAllWorkersAndTheLeaderCostsOnlyTheWorkSinceTheLastCheckpoint() {
        load.at(18, pool -> {
            pool.workers.values().forEach(FakeWorker::restart);
            pool.replaceLeader();
        });
        assertServiceLevels(simulate(), CLASS_FLOOR);
    }

    /** The leader is replaced three times: runs continue, and no task runs twice. */
    @Test
    void newLeaderTakesOverRunningTasks() {
        for (int second : new int[] {10, 16, 22}) {
            load.at(second, PoolEmulator::replaceLeader);
        }
        assertServiceLevels(simulate(), CLASS_FLOOR);
    }

    /** A third of the workers drain at the same time, as in a rolling replacement. */
    @Test
    void tasksOfDrainingWorkersAreMoved() {
        load.at(12, pool -> drain(pool, true));
        load.at(20, pool -> drain(pool, false));
        assertServiceLevels(simulate(), CLASS_FLOOR);
    }

    /**
     * A best-effort image that is known to interfere with the serving image on every worker. Its jobs may be slow, but
     * each must eventually be placed.
     */
    @Test
    void jobThatInterferesEverywhereIsStillPlaced() {
        JobQueue queue = new JobQueue("q", "h", "/q/", FakeWorker.SERVICE, 0, 2, 3_000, 400, 1.5);
        PoolEmulator pool = new PoolEmulator(SEED, 1, 6, new JobConfig(1, List.of(queue), 1_000_000));
        Resources size = new Resources(64_000, 256_000, 0);
        pool.addWorker(0, size);
        pool.addWorker(1, size);
        pool.run(1_000);
        Resources half = new Resources(13_000, 26_000, 0);
        submit(pool, "standing", TestSteps.of(8, half, 0, List.of()).serving("serve", 18), 1);
        pool.run(3_000);
        Resources demand = new Resources(7_000, 13_000, 0);
        submit(pool, "first", TestSteps.of(2, demand, 2_000, List.of()).bestEffort("fill"), 2_000);
        pool.run(20_000);
        submit(pool, "second", TestSteps.of(2, demand, 2_000, List.of()).bestEffort("fill"), 2_000);
        pool.run(20_000);
        for (String id : List.of("first", "second")) {
            int run =
                    pool.registry.find(id).orElseThrow().tasks().get(0).state().run();
            assertTrue(run > 0, id + " was never placed");
        }
    }

    private static void submit(PoolEmulator pool, String id, TestSteps steps, long taskMs) {
        JobStep step = steps.build();
        JobSpec spec = new JobSpec(id, "q", "", List.of(step), 0, 0, 0, pool.nowMs);
        pool.submit(spec, Collections.nCopies(step.taskCount(), taskMs));
    }

    private static void drain(PoolEmulator pool, boolean draining) {
        int number = 0;
        for (FakeWorker worker : pool.workers.values()) {
            worker.draining = draining && number++ % 3 == 0;
        }
    }

    private PoolEmulator simulate() {
        return load.simulate(SEED, INTERFERING_SHARE, INTERFERENCE_FACTOR);
    }

    private void assertServiceLevels(PoolEmulator pool, double batchFloor) {
        assertEquals(List.of(), List.copyOf(pool.duplicateRuns), "tasks that ran on two workers at once");
        assertEquals(
                List.of(), pool.overTargetTooLong, "serving tasks over target for 4 s because of best-effort tasks");
        assertTrue(load.onTimeShare(pool, "basket") >= DAY_FLOOR, load.report(pool));
        assertTrue(load.onTimeShare(pool, "batch") >= batchFloor, load.report(pool));
        assertTrue(pool.servingScore / pool.maxServingScore >= DAY_FLOOR, load.report(pool));
    }
}
