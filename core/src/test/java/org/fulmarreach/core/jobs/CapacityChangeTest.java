package org.fulmarreach.core.jobs;

import java.util.Collections;
import java.util.List;

import org.fulmarreach.core.model.Resources;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Starts on a worker that does not guard its capacity, while this capacity changes. */
class CapacityChangeTest {
    private static final JobConfig CONFIG = new JobConfig(
            1, List.of(new JobQueue("q", "h", "/q/", FakeWorker.SERVICE, 0, 2, 3_000, 400, 1.5)), 1_000_000);
    private static final Resources FULL = new Resources(4_000, 8_000, 0);
    private static final Resources HALF = new Resources(2_000, 4_000, 0);

    private PoolEmulator pool;
    private FakeWorker worker;

    @BeforeEach
    void start() {
        pool = new PoolEmulator(1, 0, 0, CONFIG);
        pool.addWorker(0, FULL);
        worker = pool.workers.get("guard-0");
        worker.guardsCapacity = false;
        pool.run(1_000);
    }

    /** Guards against starts by the former capacity while the runs that exceed the new one have not ended. */
    @Test
    void nothingStartsUntilItFitsTheReducedCapacity() {
        submit("job", 40, 600);
        pool.run(800);
        worker.setCapacity(HALF);
        pool.run(600);
        worker.startsOverCapacity = 0;
        for (int i = 0; i < 60; i++) {
            pool.run(PoolEmulator.STEP_MS);
            assertTrue(worker.runningTasks() <= 2, "running " + worker.runningTasks());
        }
        assertEquals(0, worker.startsOverCapacity);
    }

    /** Guards against a capacity that is lost for good once it has shrunk. */
    @Test
    void capacityThatGrowsAgainIsUsed() {
        submit("job", 40, 600);
        worker.setCapacity(HALF);
        pool.run(3_000);
        assertEquals(2, worker.runningTasks());
        worker.setCapacity(FULL);
        pool.run(600);
        assertEquals(4, worker.runningTasks());
    }

    /** The append that precedes a start, or a lost path to the store, may hold it until the capacity has shrunk. */
    @Test
    void startThatNoLongerFitsIsNotApplicable() {
        submit("job", 4, 5_000);
        JobTask task = pool.registry.find("job").orElseThrow().tasks().get(0);
        JobOrder start = new JobOrder.Start(
                task.state().worker(), task.name(), task.state().run(), "", "");
        assertTrue(pool.isApplicable(start));
        worker.setCapacity(HALF);
        pool.deliver(worker.report());
        assertFalse(pool.isApplicable(start), "sent although it exceeds the reported capacity");
    }

    private void submit(String id, int count, long ms) {
        JobStep step = TestSteps.of(count, new Resources(1_000, 1_000, 0), ms, List.of())
                .build();
        pool.submit(new JobSpec(id, "q", "", List.of(step), 0, 0, 0, pool.nowMs), Collections.nCopies(count, ms));
    }
}
