package org.fulmarreach.core.jobs;

import java.util.List;

import org.fulmarreach.core.jobs.DecisionLog.Decision;
import org.fulmarreach.core.jobs.SchedulerHarness.Line;
import org.fulmarreach.core.jobs.SchedulerHarness.Worker;
import org.fulmarreach.core.model.Resources;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** The leader says why a job that ends by itself has no run. Without it, a job that waits for ever shows no line. */
class JobWaitMonitorTest {
    private final SchedulerHarness leader = new SchedulerHarness();

    /** A job that no worker has room for showed no line at all. */
    @Test
    void fullPoolIsNamedWithItsInputs() {
        leader.addWorker(4_000);
        leader.submit("first", task(1, 3_000));
        leader.elapse(500);
        leader.submit("second", task(1, 2_000));
        leader.elapse(3_000);
        Line line = only("second.0.0.0");
        WaitReason.NoRoom reason =
                assertInstanceOf(WaitReason.NoRoom.class, line.fields().get("inputs"));
        assertEquals(WaitReason.Taker.ASSIGNED_TASKS, reason.taker());
        assertEquals(1, line.fields().get("waitingJobs"));
        assertEquals("q", line.fields().get("queue"));
    }

    /** A job whose start is refused again and again looked like one that runs. */
    @Test
    void refusedStartsDoNotEndAWait() {
        Worker worker = leader.addWorker(4_000);
        worker.refusal = "room";
        leader.submit("job", task(1, 1_000));
        leader.elapse(3_000);
        long waitedMs = (long) only("job.0.0.0").fields().get("waitingMs");
        assertTrue(waitedMs >= JobWaitMonitor.REPORT_AFTER_MS, () -> "waited " + waitedMs + " ms");
    }

    /** The wait of a job began again with each leader, so that no leader named it. */
    @Test
    void nextLeaderCountsFromTheSubmission() {
        leader.addWorker(1_000);
        leader.submit("job", task(1, 2_000));
        leader.elapse(1_500);
        leader.replaceLeader(EvacuatedZones.NONE);
        leader.elapse(1_000);
        long waitedMs = (long) only("job.0.0.0").fields().get("waitingMs");
        assertTrue(waitedMs >= 2_000, () -> "waited " + waitedMs + " ms");
    }

    /** Jobs that run, and those that have ended, must not be named. */
    @Test
    void jobsAtWorkAreNotNamed() {
        Worker worker = leader.addWorker(4_000);
        leader.submit("job", task(3, 1_000));
        leader.elapse(4_000);
        worker.endRuns(RunEnd.DONE);
        leader.elapse(4_000);
        assertEquals(List.of(), leader.of(Decision.JOB_WAITING));
    }

    /** Many waiting jobs must not fill the log. */
    @Test
    void linesAreBounded() {
        leader.addWorker(1_000);
        leader.elapse(500);
        for (int i = 0; i < 200; i++) {
            leader.submit("job-" + i, task(1, 2_000));
        }
        int seconds = 6;
        leader.elapse(seconds * 1_000);
        long checks = seconds * 1_000 / JobWaitMonitor.CHECK_INTERVAL_MS;
        int lines = leader.of(Decision.JOB_WAITING).size();
        assertTrue(lines > 0 && lines <= checks * JobWaitMonitor.MAX_REASONS_PER_CHECK, () -> lines + " lines");
    }

    private Line only(String task) {
        List<Line> lines = leader.of(Decision.JOB_WAITING).stream()
                .filter(line -> line.subject().equals(task))
                .toList();
        assertEquals(1, lines.size(), () -> "lines of " + task + ": " + lines);
        return lines.get(0);
    }

    private static TestSteps task(int count, int milliCores) {
        return TestSteps.of(count, new Resources(milliCores, 1_000, 0), 10_000, List.of());
    }
}
