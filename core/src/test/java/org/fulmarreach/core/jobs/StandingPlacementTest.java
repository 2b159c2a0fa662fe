package org.fulmarreach.core.jobs;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

import org.fulmarreach.core.model.Resources;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Placement of long-running tasks while a stream of small tasks uses all capacity that is freed. */
class StandingPlacementTest {
    private static final Resources WORKER = new Resources(10_000, 100_000, 0);
    private static final Resources SMALL = new Resources(1_000, 1_000, 0);
    private static final JobConfig CONFIG = new JobConfig(
            1, List.of(new JobQueue("q", "h", "/q/", FakeWorker.SERVICE, 0, 2, 3_000, 400, 1.5)), 1_000_000);

    /** A worker starts a task within a second, and a small task occupies its capacity for another one. */
    private static final int PLACED_WITHIN_MS = 3_000;

    private final PoolEmulator pool = new PoolEmulator(1, 0, 0, CONFIG);
    private final List<String> smallJobs = new ArrayList<>();

    /** Guards against starvation of standing tasks because small tasks use all capacity that is freed. */
    @Test
    void standingTaskIsPlacedDespiteAStreamOfSmallTasks() {
        pool.addWorker(0, WORKER);
        pool.addWorker(1, WORKER);
        pool.run(1_000);
        stream(3_000);
        submit(
                "standing",
                TestSteps.of(2, new Resources(4_000, 1_000, 0), 0, List.of()).serving("serve", 18),
                0);
        stream(PLACED_WITHIN_MS);
        assertEquals(2, assigned("standing"));
    }

    /** Guards against capacity that is held for a standing task that fits on no worker. */
    @Test
    void standingTaskThatFitsNowhereHoldsNoCapacity() {
        pool.addWorker(0, WORKER);
        pool.run(1_000);
        submit(
                "first",
                TestSteps.of(1, new Resources(7_000, 1_000, 0), 0, List.of()).serving("serve", 18),
                0);
        submit(
                "second",
                TestSteps.of(1, new Resources(4_000, 1_000, 0), 0, List.of()).serving("serve", 18),
                0);
        stream(5_000);
        assertEquals(0, assigned("second"));
        long done = smallJobs.stream().filter(id -> pool.latencyMs(id) >= 0).count();
        assertTrue(done >= 9, "only " + done + " small tasks were done in 5 s on 3 cores");
    }

    private void stream(int forMs) {
        for (int ms = 0; ms < forMs; ms += 50) {
            String id = "small-" + smallJobs.size();
            smallJobs.add(id);
            submit(id, TestSteps.of(1, SMALL, 1_000, List.of()), 1_000);
            pool.run(50);
        }
    }

    private void submit(String id, TestSteps steps, long taskMs) {
        JobStep step = steps.build();
        JobSpec spec = new JobSpec(id, "q", "", List.of(step), 0, 0, 0, pool.nowMs);
        pool.submit(spec, Collections.nCopies(step.taskCount(), taskMs));
    }

    private long assigned(String id) {
        return pool.registry.find(id).orElseThrow().tasks().stream()
                .filter(JobTask::isAssigned)
                .count();
    }
}
