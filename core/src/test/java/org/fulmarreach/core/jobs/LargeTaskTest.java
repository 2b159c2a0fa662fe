package org.fulmarreach.core.jobs;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.fulmarreach.core.model.Resources;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Best-effort jobs with tasks of different sizes on workers whose idle processors are all taken. Guards against a job
 * with larger tasks that is passed by later ones with smaller tasks: what a small task frees never sufficed for it.
 */
class LargeTaskTest {
    private static final Resources WORKER = new Resources(64_000, 250_000, 0);
    private static final JobConfig CONFIG = new JobConfig(
            1, List.of(new JobQueue("q", "h", "/q/", FakeWorker.SERVICE, 2, 3, 3_000, 1_000, 2.0)), 1_000_000);
    private static final int TASKS = 12;
    private static final int TASK_MS = 4_000;
    private static final int LATER_JOBS = 20;

    private final Random random = new Random(1);
    private final PoolEmulator pool = new PoolEmulator(1, 0, 0, CONFIG);

    @Test
    void jobWithLargeTasksIsDoneBeforeMuchLaterOnes() {
        assertFewPass(9_000, 5_000, TASKS);
    }

    /** Half of a large task is more than many small ones free together. */
    @Test
    void jobWithMuchLargerTasksIsDoneBeforeMuchLaterOnes() {
        assertFewPass(20_000, 1_000, 5 * TASKS);
    }

    private void assertFewPass(int largeMilliCores, int smallMilliCores, int smallTasks) {
        Resources large = new Resources(largeMilliCores, 1_000, 0);
        Resources small = new Resources(smallMilliCores, 1_000, 0);
        for (int i = 0; i < 2; i++) {
            pool.addWorker(i, WORKER);
        }
        pool.run(1_000);
        submit("first", small, 4 * smallTasks);
        pool.run(500);
        submit("large", large, TASKS);
        for (int i = 0; i < LATER_JOBS; i++) {
            pool.run(50);
            submit("small-" + i, small, smallTasks);
        }
        for (int ms = 0; ms < 120_000 && pool.latencyMs("large") < 0; ms += 100) {
            pool.run(100);
        }
        long passed = pool.registry.jobs().stream()
                .filter(job -> job.spec().id().startsWith("small")
                        && pool.latencyMs(job.spec().id()) >= 0)
                .count();
        assertTrue(passed <= 4, () -> passed + " of " + LATER_JOBS + " later jobs were done before it");
    }

    /** Submits a job whose result is too late to be of use, so that the order of submission counts. */
    private void submit(String id, Resources demand, int count) {
        JobStep step = TestSteps.of(count, demand, TASK_MS, List.of())
                .bestEffort("fill")
                .build();
        long acceptedAtMs = pool.nowMs - 100_000;
        List<Long> taskMs = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            taskMs.add(TASK_MS / 2 + (long) random.nextInt(TASK_MS));
        }
        pool.submit(new JobSpec(id, "q", "", List.of(step), 0, 0, 0, acceptedAtMs), taskMs);
    }
}
