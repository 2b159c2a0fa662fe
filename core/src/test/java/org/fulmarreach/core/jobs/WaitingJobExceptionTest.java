package org.fulmarreach.core.jobs;

import java.util.List;
import java.util.Set;

import org.fulmarreach.core.model.Resources;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Jobs that have had no run for a while, beside workers with room for them, after events that are not only load. */
class WaitingJobExceptionTest {
    /** Callers expect a job to have a run within this time. */
    private static final int MAX_WITHOUT_RUN_MS = 3_000;

    /** A waiting job was sent to the worker that refuses it in each pass, and never to the other one. */
    @Test
    void jobWhoseStartIsRefusedGoesToAnotherWorker() {
        SchedulerHarness leader = new SchedulerHarness();
        SchedulerHarness.Worker refusing = leader.addWorker(10_000);
        SchedulerHarness.Worker other = leader.addWorker(10_000);
        leader.elapse(500);
        leader.submit("fill", bestEffort(6, 60_000));
        leader.elapse(1_000);
        assertEquals(3, SchedulerHarness.runningOn(refusing).size());
        refusing.refusal = "room";
        leader.submit("job", bestEffort(1, 60_000));
        leader.elapse(MAX_WITHOUT_RUN_MS);
        Set<String> running = SchedulerHarness.runningOn(other);
        assertTrue(
                running.contains("job.0.0.0"),
                () -> "no run after " + MAX_WITHOUT_RUN_MS + " ms and " + (leader.starts.size() - 6) + " starts");
    }

    /** A new leader took a job that had just become due for one that has waited since its submission. */
    @Test
    void waitOfATimedJobBeginsWhenItIsDue() {
        long nowMs = 1_000_000;
        JobStep step = bestEffort(1, 1_000).build();
        JobRegistry registry = new JobRegistry();
        registry.submit(new JobSpec("timed", "q", "", List.of(step), nowMs, 0, 1, nowMs - 60_000));
        JobWaits waits = new JobWaits();
        waits.review(registry.jobs(), nowMs + 100, nowMs + 100);
        assertEquals(100, waits.waitedMs(registry.find("timed").orElseThrow(), nowMs + 100));
    }

    private static TestSteps bestEffort(int count, long taskMs) {
        return TestSteps.of(count, new Resources(4_000, 500, 0), taskMs, List.of())
                .bestEffort("fill");
    }
}
