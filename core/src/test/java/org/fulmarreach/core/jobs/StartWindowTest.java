package org.fulmarreach.core.jobs;

import java.util.List;

import org.fulmarreach.core.model.Resources;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class StartWindowTest {
    private final StartWindow window = new StartWindow();

    @Test
    void startsOfOneJobLeaveRoomForOthers() {
        assertEquals(StartWindow.MAX_STARTS / 2, fill(job("large", 1_000, 1)));
        assertTrue(window.admits(job("small", 1, 1)));
    }

    @Test
    void bytesOfOneJobLeaveRoomForOthers() {
        int taken = fill(job("large", 1_000, 4_000));
        assertTrue(taken < StartWindow.MAX_STARTS / 2 && taken * 4_000L >= StartWindow.MAX_BYTES / 2, "taken " + taken);
        assertTrue(window.admits(job("small", 1, 4_000)));
    }

    @Test
    void startsOfManyJobsAreBounded() {
        int taken = 0;
        for (int i = 0; i < 1_000; i++) {
            taken += fill(job("j" + i, 10, 1));
        }
        assertEquals(StartWindow.MAX_STARTS, taken);
        window.clear();
        assertTrue(window.admits(job("next", 1, 1)));
    }

    /** Tasks that reserve nothing would fill a worker's list of runs without end. */
    @Test
    void runsOfAWorkerAreBounded() {
        SchedulerHarness harness = new SchedulerHarness();
        harness.addWorker(1_000);
        Job job = harness.submit("job", TestSteps.of(JobSpec.MAX_TASKS, Resources.NONE, 100, List.of()))
                .job();
        harness.elapse(60_000);
        assertEquals(
                WorkerView.MAX_RUNS,
                job.presentTasks().stream().filter(JobTask::isAssigned).count());
    }

    private int fill(Job job) {
        int taken = 0;
        for (JobTask task : job.tasks()) {
            if (window.admits(job)) {
                window.add(task);
                taken++;
            }
        }
        return taken;
    }

    private static Job job(String id, int tasks, int payloadBytes) {
        JobRegistry registry = new JobRegistry();
        JobStep step = TestSteps.of(tasks, Resources.NONE, 100, List.of()).build();
        registry.submit(new JobSpec(id, "q", "p".repeat(payloadBytes), List.of(step), 0, 0, 0, 0, null));
        return registry.find(id).orElseThrow();
    }
}
