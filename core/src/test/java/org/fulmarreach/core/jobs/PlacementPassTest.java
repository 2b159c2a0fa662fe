package org.fulmarreach.core.jobs;

import java.util.Collections;
import java.util.List;

import org.fulmarreach.core.model.Resources;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Effect of a task that cannot be placed on the placement of other tasks in the same scheduling pass. */
class PlacementPassTest {
    private static final Resources WORKER = new Resources(10_000, 100_000, 0);
    private static final JobConfig CONFIG = new JobConfig(
            1,
            List.of(
                    new JobQueue("first", "h", "/f/", FakeWorker.SERVICE, 0, 2, 3_000, 400, 1.5),
                    new JobQueue("second", "h", "/s/", FakeWorker.SERVICE, 1, 2, 3_000, 400, 1.5)),
            1_000_000);

    private final PoolEmulator pool = new PoolEmulator(1, 0, 0, CONFIG);

    @BeforeEach
    void addWorkers() {
        pool.addWorker(0, WORKER);
        pool.addWorker(1, WORKER);
        pool.run(1_000);
    }

    /** Guards against a gang that is too large blocking all jobs of its image, although it is not placed. */
    @Test
    void gangThatDoesNotFitBlocksNoOtherJob() {
        Resources demand = new Resources(10_000, 1_000, 0);
        submit("gang", "first", bestEffortSteps(3, demand).gang());
        submit("other", "second", bestEffortSteps(2, demand));
        pool.run(500);
        assertEquals(0, countAssigned("gang"));
        assertEquals(2, countAssigned("other"));
    }

    /** Guards against one job's limit per worker being treated as a lack of capacity for all jobs of its image. */
    @Test
    void limitPerWorkerOfOneJobBlocksNoOtherJob() {
        Resources demand = new Resources(3_000, 1_000, 0);
        submit("bounded", "first", bestEffortSteps(3, demand).atMostPerWorker(1));
        submit("other", "second", bestEffortSteps(4, demand));
        pool.run(500);
        assertEquals(2, countAssigned("bounded"));
        assertEquals(4, countAssigned("other"));
    }

    /** Guards against a job that needs much memory blocking jobs of the same image that need little. */
    @Test
    void jobThatNeedsMuchMemoryBlocksNoOtherJob() {
        submit("large", "first", bestEffortSteps(3, new Resources(1_000, 80_000, 0)));
        submit("small", "second", bestEffortSteps(4, new Resources(2_000, 5_000, 0)));
        pool.run(500);
        assertEquals(2, countAssigned("large"));
        assertEquals(4, countAssigned("small"));
    }

    private static TestSteps bestEffortSteps(int count, Resources demand) {
        return TestSteps.of(count, demand, 5_000, List.of()).bestEffort("fill");
    }

    private void submit(String id, String queue, TestSteps steps) {
        JobStep step = steps.build();
        JobSpec spec = new JobSpec(id, queue, "", List.of(step), 0, 0, 0, pool.nowMs);
        pool.submit(spec, Collections.nCopies(step.taskCount(), 5_000L));
    }

    private long countAssigned(String id) {
        return pool.registry.find(id).orElseThrow().tasks().stream()
                .filter(JobTask::isAssigned)
                .count();
    }
}
