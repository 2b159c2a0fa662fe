package org.fulmarreach.core.jobs;

import java.util.Collections;
import java.util.List;

import org.fulmarreach.core.model.Resources;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** What one task that finds no room tells about others in the same pass over the waiting tasks. */
class RefusalTest {
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

    /** Guards against a gang that is too large keeping all jobs of its image out, though it gives its room back. */
    @Test
    void gangThatFindsNoRoomLeavesItToOthers() {
        Resources demand = new Resources(10_000, 1_000, 0);
        submit("gang", "first", fill(3, demand).gang());
        submit("other", "second", fill(2, demand));
        pool.run(500);
        assertEquals(0, atWork("gang"));
        assertEquals(2, atWork("other"));
    }

    /** Guards against a bound per worker of one job being taken for want of room by all jobs of its image. */
    @Test
    void boundPerWorkerOfOneJobKeepsNoOtherOut() {
        Resources demand = new Resources(3_000, 1_000, 0);
        submit("bounded", "first", fill(3, demand).atMostPerWorker(1));
        submit("other", "second", fill(4, demand));
        pool.run(500);
        assertEquals(2, atWork("bounded"));
        assertEquals(4, atWork("other"));
    }

    /** Guards against a job that needs much memory keeping those of its image out that need little. */
    @Test
    void jobThatNeedsMuchMemoryKeepsNoOtherOut() {
        submit("large", "first", fill(3, new Resources(1_000, 80_000, 0)));
        submit("small", "second", fill(4, new Resources(2_000, 5_000, 0)));
        pool.run(500);
        assertEquals(2, atWork("large"));
        assertEquals(4, atWork("small"));
    }

    private static TestSteps fill(int count, Resources demand) {
        return TestSteps.of(count, demand, 5_000, List.of()).filling("fill");
    }

    private void submit(String id, String queue, TestSteps steps) {
        JobStep step = steps.build();
        JobSpec spec = new JobSpec(id, queue, "", List.of(step), 0, 0, 0, pool.nowMs);
        pool.submit(spec, Collections.nCopies(step.taskCount(), 5_000L));
    }

    private long atWork(String id) {
        return pool.book.find(id).orElseThrow().tasks().stream()
                .filter(JobTask::isAssigned)
                .count();
    }
}
