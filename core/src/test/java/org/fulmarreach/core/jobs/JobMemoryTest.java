package org.fulmarreach.core.jobs;

import java.util.ArrayList;
import java.util.List;

import org.fulmarreach.core.model.Resources;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Memory that large jobs take: while they wait, while they run and after they have ended. */
class JobMemoryTest {
    private static final int JOBS = 40;
    private static final int TASKS = JobSpec.MAX_TASKS;
    private static final Resources SMALL = new Resources(100, 20, 0);
    private static final long FUTURE_MS = 4_000_000_000_000L;

    private final JobRegistry registry = new JobRegistry();

    /** Guards against tasks of all occurrences in the memory of each entry. */
    @Test
    void occurrencesThatAreNotDueTakeLessThanTheEstimate() {
        long beforeBytes = usedBytes();
        for (int i = 0; i < JOBS; i++) {
            registry.submit(timed("timed-" + i, TASKS / 2, step(2)));
        }
        assertWithinEstimate(beforeBytes);
    }

    @Test
    void manyStepsTakeLessThanTheEstimate() {
        long beforeBytes = usedBytes();
        for (int i = 0; i < JOBS; i++) {
            List<JobStep> steps = new ArrayList<>();
            for (int step = 0; step < 1_000; step++) {
                List<Integer> predecessors = step == 0 ? List.of() : List.of(step - 1);
                steps.add(TestSteps.of(20, new Resources(100, 20, 0), 400, predecessors)
                        .build());
            }
            registry.submit(new JobSpec("steps-" + i, "q", "", steps, 0, 0, 0, 0));
        }
        assertWithinEstimate(beforeBytes);
    }

    /** Records are decoded one by one, so each has workers of its own. */
    @Test
    void tasksThatAreDoneTakeLessThanTheEstimate() {
        long beforeBytes = usedBytes();
        for (int i = 0; i < JOBS; i++) {
            registry.submit(timed("done-" + i, TASKS / 2, step(2)));
            List<TaskState> states = new ArrayList<>();
            for (int task = 0; task < TASKS; task++) {
                WorkerRef worker = new WorkerRef("guard-" + task % 3, "worker-" + task % 3, 1_000);
                // Others of the part are still to run.
                states.add(task % 100 == 0 ? TaskState.INITIAL : new TaskState(TaskPhase.DONE, 1, worker, 0, ""));
            }
            registry.restore("done-" + i, new JobSnapshot(states, 0, true));
        }
        assertWithinEstimate(beforeBytes);
    }

    /** Tasks are constructed as workers have room for them, and dropped when their ends are stored. */
    @Test
    void leaderKeepsOnlyTasksThatRun() {
        SchedulerHarness harness = new SchedulerHarness();
        SchedulerHarness.Worker worker = harness.addWorker(10_000);
        Job job = harness.submit("large", TestSteps.of(TASKS, SMALL, 400, List.of()))
                .job();
        int most = 0;
        for (int i = 0; i < 20; i++) {
            harness.elapse(1_000);
            most = Math.max(most, job.presentTasks().size());
            worker.endRuns(RunEnd.DONE);
        }
        assertTrue(job.doneTasks() > 1_000, "done " + job.doneTasks());
        assertTrue(most <= 300, "constructed " + most);
        assertEquals(TASKS, job.snapshot().tasks().size());
    }

    @Test
    void largeJobsLeaveRoomForSmallOnes() {
        JobMemory memory = new JobMemory(64 << 20);
        int accepted = 0;
        while (memory.admits(timed("large-" + accepted, TASKS / 2, step(2)))) {
            memory.add(timed("large-" + accepted, TASKS / 2, step(2)));
            accepted++;
        }
        assertTrue(accepted >= 50, "accepted " + accepted);
        for (int i = 0; i < 1_000; i++) {
            JobSpec small = timed("small-" + i, 1, step(2));
            assertTrue(memory.admits(small), "small " + i);
            memory.add(small);
        }
    }

    @Test
    void jobCountsUntilItIsRemoved() {
        JobSpec spec = timed("large", TASKS / 2, step(2));
        JobRegistry bounded = new JobRegistry(new JobMemory(5 * JobMemory.bytesOf(spec)));
        bounded.submit(spec);
        bounded.submit(spec);
        assertTrue(bounded.memory().admits(spec));
        bounded.submit(timed("other", TASKS / 2, step(2)));
        assertFalse(bounded.memory().admits(spec));
        bounded.remove("other");
        bounded.remove("other");
        assertTrue(bounded.memory().admits(spec));
    }

    private static JobStep step(int tasks) {
        return TestSteps.of(tasks, SMALL, 400, List.of()).build();
    }

    private static JobSpec timed(String id, int occurrences, JobStep step) {
        return new JobSpec(id, "q", "w=400", List.of(step), FUTURE_MS, 3_600_000, occurrences, 0);
    }

    private void assertWithinEstimate(long beforeBytes) {
        long growthBytes = usedBytes() - beforeBytes;
        long estimateBytes = registry.jobs().stream()
                .mapToLong(job -> JobMemory.bytesOf(job.spec()))
                .sum();
        assertTrue(growthBytes <= estimateBytes, growthBytes + " bytes, estimated " + estimateBytes);
    }

    private static long usedBytes() {
        System.gc();
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }
}
