package org.fulmarreach.core.jobs;

import java.util.List;

import org.fulmarreach.core.model.Resources;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/**
 * Guards against serving tasks of several images on every worker, beside which hardly any best-effort image can run:
 * once no worker was left without another image, each task went to the one with the lowest load.
 */
class ServingGroupsTest {
    private static final Resources WORKER = new Resources(10_000, 100_000, 0);
    private static final JobConfig CONFIG = new JobConfig(
            1, List.of(new JobQueue("q", "h", "/q/", FakeWorker.SERVICE, 0, 2, 3_000, 400, 1.5)), 1_000_000);

    private final PoolEmulator pool = new PoolEmulator(1, 0, 0, CONFIG);

    /** One worker has tasks of the images a and c, the other one, with more room left, of b. */
    @BeforeEach
    void mixOneWorker() {
        pool.addWorker(0, WORKER);
        pool.addWorker(1, WORKER);
        pool.run(1_000);
        submit("first", "a", 4_000);
        submit("second", "b", 7_000);
        submit("third", "c", 5_000);
        assertEquals(guardOf("first"), guardOf("third"));
    }

    @Test
    void taskJoinsItsImageOnAMixedWorker() {
        submit("fourth", "c", 1_000);
        assertEquals(guardOf("first"), guardOf("fourth"));
    }

    @Test
    void furtherImageGoesToTheWorkerWithMostImages() {
        submit("fourth", "d", 1_000);
        assertEquals(guardOf("first"), guardOf("fourth"));
    }

    private void submit(String id, String image, int milliCores) {
        JobStep step = TestSteps.of(1, new Resources(milliCores, 1_000, 0), 0, List.of())
                .serving(image, 18)
                .build();
        pool.submit(new JobSpec(id, "q", "", List.of(step), 0, 0, 0, pool.nowMs), List.of(0L));
        pool.run(1_000);
    }

    private String guardOf(String id) {
        return pool.registry
                .find(id)
                .orElseThrow()
                .tasks()
                .get(0)
                .state()
                .worker()
                .guard();
    }
}
