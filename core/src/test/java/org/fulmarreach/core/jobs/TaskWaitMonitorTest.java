package org.fulmarreach.core.jobs;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.fulmarreach.core.jobs.DecisionLog.Decision;
import org.fulmarreach.core.jobs.SchedulerHarness.Line;
import org.fulmarreach.core.jobs.SchedulerHarness.Worker;
import org.fulmarreach.core.model.Resources;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** The leader says why a standing task is not at work: exactly one reason for each cause, and not too many lines. */
class TaskWaitMonitorTest {
    private static final int WAIT_MS = 3_000;

    private final SchedulerHarness leader = new SchedulerHarness();

    /** A task of a job whose queue no configuration has waited without a line. */
    @Test
    void queueIsUnknown() {
        leader.addWorker(4_000);
        JobTask task = leader.submit("job", "nowhere", standing(1_000));
        leader.elapse(WAIT_MS);
        assertReason(task, WaitReason.QueueUnknown.class);
    }

    /** A leader that cannot read cancellations places nothing, which looked like a full pool. */
    @Test
    void startsAreHeld() {
        leader.addWorker(4_000);
        leader.placing = false;
        JobTask task = leader.submit("job", standing(1_000));
        leader.elapse(WAIT_MS);
        assertReason(task, WaitReason.StartsHeld.class);
    }

    /** Silent and draining workers looked like a full pool. */
    @Test
    void noWorkerIsAvailable() {
        leader.addWorker(4_000).draining = true;
        Worker silent = leader.addWorker(4_000);
        leader.elapse(1_000);
        silent.silent = true;
        leader.scheduler.onGuardLost(silent.ref.guard());
        JobTask task = leader.submit("job", standing(1_000));
        leader.elapse(WAIT_MS);
        WaitReason.NoWorker reason = assertReason(task, WaitReason.NoWorker.class);
        assertEquals(new WaitReason.NoWorker(FakeWorker.SERVICE, 2, 1, 1, 0), reason);
    }

    /** A label that no worker has looked like a full pool. */
    @Test
    void labelIsMissing() {
        leader.addWorker(4_000);
        JobTask task = leader.submit("job", standing(1_000).requiring("gpu"));
        leader.elapse(WAIT_MS);
        assertReason(task, WaitReason.NoLabel.class);
    }

    /** A limit of tasks per worker looked like a full pool. */
    @Test
    void workersWithRoomHaveTheirLimitOfTasks() {
        leader.addWorker(4_000);
        JobTask first = leader.submit("job", standing(2, 1_000).atMostPerWorker(1));
        leader.elapse(WAIT_MS);
        assertEquals(List.of(), leader.reasons(first));
        assertReason(first.job().tasks().get(1), WaitReason.AntiAffinity.class);
    }

    /** A full pool did not show who takes the room. */
    @Test
    void assignedTasksTakeTheRoom() {
        leader.addWorker(4_000);
        leader.submit("first", standing(3_000));
        leader.elapse(1_000);
        JobTask task = leader.submit("second", standing(2_000));
        leader.elapse(WAIT_MS);
        WaitReason.NoRoom reason = assertReason(task, WaitReason.NoRoom.class);
        assertEquals(WaitReason.Taker.ASSIGNED_TASKS, reason.taker());
        assertEquals(3_000, reason.assigned().milliCores());
        assertEquals(0, reason.stopping().milliCores());
    }

    /** Runs that are no longer assigned but not listed as ended take up room that no page showed. */
    @Test
    void runsBeingStoppedTakeTheRoom() {
        Worker worker = leader.addWorker(4_000);
        worker.percent = 0;
        worker.endsRuns = false;
        JobTask task = leader.submit("job", standing(3_000));
        leader.elapse(10_000);
        List<String> reasons = leader.reasons(task);
        WaitReason.NoRoom reason =
                assertInstanceOf(WaitReason.NoRoom.class, lastInputs(), () -> String.valueOf(reasons));
        assertEquals(WaitReason.Taker.STOPPING_RUNS, reason.taker());
        assertEquals(3_000, reason.stopping().milliCores());
        assertEquals(0, reason.assigned().milliCores());
    }

    /** A worker with room that gets no work after refused starts looked like a full one. */
    @Test
    void suspectedWorkersHaveTheRoom() {
        Worker worker = leader.addWorker(4_000);
        worker.refusal = "unhealthy";
        JobTask task = leader.submit("job", standing(1_000));
        leader.elapse(WAIT_MS);
        WaitReason.NoRoom reason = assertReason(task, WaitReason.NoRoom.class);
        assertEquals(WaitReason.Taker.SUSPECTED_WORKERS, reason.taker());
        assertEquals(1, reason.suspected());
    }

    /** A worker that is reserved for a trial looked like a full one. */
    @Test
    void workersReservedForTrialsHaveTheRoom() {
        WorkerView worker = view();
        worker.setReservedForTrial(true);
        WaitReason.NoRoom reason = assertInstanceOf(WaitReason.NoRoom.class, explain(worker));
        assertEquals(WaitReason.Taker.TRIALS, reason.taker());
        assertEquals(1, reason.reservedForTrial());
    }

    /** A task that passes leave out although a worker accepts it must not look like one without room. */
    @Test
    void workerAcceptsTheTask() {
        assertInstanceOf(WaitReason.NotPlaced.class, explain(view()));
    }

    /** Best-effort tasks wait for idle processors on a worker with room. */
    @Test
    void bestEffortTaskWouldInterfere() {
        leader.addWorker(4_000);
        leader.submit("reserved", standing(3_000));
        leader.submit("fill", standing(1_000).bestEffort("fill"));
        leader.elapse(1_000);
        JobTask task = leader.submit("job", standing(4_000).bestEffort("fill"));
        leader.elapse(WAIT_MS);
        assertReason(task, WaitReason.Interference.class);
    }

    /** Each member of a gang fits alone, so the pool looked free. */
    @Test
    void gangIsNotComplete() {
        leader.addWorker(4_000);
        JobTask task = leader.submit("job", standing(2, 3_000).gang());
        leader.elapse(WAIT_MS);
        assertReason(task, WaitReason.GangIncomplete.class);
    }

    /** A start that waits for its append was not told apart from one that is on the way. */
    @Test
    void startIsNotStored() {
        leader.addWorker(4_000);
        leader.elapse(1_000);
        leader.storing = false;
        JobTask task = leader.submit("job", standing(1_000));
        leader.elapse(2_600);
        assertReason(task, WaitReason.StartNotStored.class);
    }

    /** A start that is lost on its way to the worker. */
    @Test
    void startIsNotListed() {
        Worker worker = leader.addWorker(4_000);
        worker.lists = false;
        JobTask task = leader.submit("job", standing(1_000));
        leader.elapse(2_600);
        assertReason(task, WaitReason.StartNotListed.class);
    }

    /** A stop that its worker neither confirms nor carries out. */
    @Test
    void runIsBeingStopped() {
        Worker worker = leader.addWorker(4_000);
        JobTask task = leader.submit("job", standing(1_000));
        leader.elapse(1_000);
        worker.draining = true;
        worker.confirmsStops = false;
        worker.endsRuns = false;
        leader.elapse(WAIT_MS);
        assertReason(task, WaitReason.BeingStopped.class);
    }

    /** The time until the lease of a silent worker is over was nowhere to be seen. */
    @Test
    void leaseOfASilentWorkerIsNotOver() {
        Worker worker = leader.addWorker(4_000);
        JobTask task = leader.submit("job", standing(1_000));
        leader.elapse(1_000);
        worker.silent = true;
        leader.elapse(WAIT_MS);
        WaitReason.LeaseNotOver reason = assertReason(task, WaitReason.LeaseNotOver.class);
        long leaseMs = SchedulerHarness.LIMITS.leaseExpiryMs();
        assertEquals(leaseMs, reason.remainingMs() + reason.answeredForMs());
    }

    /** A task whose assignment is in no worker's view. */
    @Test
    void assignedTaskIsInNoWorkersTasks() {
        leader.addWorker(4_000);
        JobTask task = leader.submit("job", standing(1_000));
        leader.elapse(1_000);
        task.release();
        leader.elapse(WAIT_MS);
        assertReason(task, WaitReason.NoWorkerView.class);
    }

    /** The same reason was to be said once, and another one no sooner than 2 s after the last. */
    @Test
    void changedReasonIsSaidAgain() {
        JobTask task = leader.submit("job", standing(1_000));
        leader.elapse(10_000);
        leader.placing = false;
        leader.elapse(10_000);
        assertEquals(
                List.of(
                        new WaitReason.NoWorker(FakeWorker.SERVICE, 0, 0, 0, 0).label(),
                        new WaitReason.StartsHeld().label()),
                leader.reasons(task));
    }

    /** Reasons that alternate must not fill the log. */
    @Test
    void taskHasAtMostOneLineInTwoSeconds() {
        leader.submit("job", standing(1_000));
        for (int i = 0; i < 100; i++) {
            leader.placing = !leader.placing;
            leader.elapse(550);
        }
        List<Line> lines = leader.of(Decision.TASK_WAITING);
        assertTrue(lines.size() > 10, lines.size() + " lines");
        for (int i = 1; i < lines.size(); i++) {
            long apartMs = lines.get(i).atMs() - lines.get(i - 1).atMs();
            assertTrue(apartMs >= 2_000, apartMs + " ms between two lines");
        }
    }

    /** A pool that loses all its workers must not fill the log, and must not hide that tasks are left out. */
    @Test
    void volumeIsBoundedAndTheNextLineHasTheNumberLeftOut() {
        leader.submit("job", standing(100, 1_000));
        leader.elapse(60_000);
        List<Line> lines = leader.of(Decision.TASK_WAITING);
        assertEquals(100, lines.size(), "one line for each task in the end");
        for (Line line : lines) {
            long within = lines.stream()
                    .filter(other -> other.atMs() >= line.atMs() && other.atMs() < line.atMs() + 1_000)
                    .count();
            assertTrue(within <= 10, within + " lines in a second");
        }
        List<Object> omitted = new ArrayList<>();
        lines.forEach(line -> {
            if (line.fields().containsKey("omittedLines")) {
                omitted.add(line.fields().get("omittedLines"));
            }
        });
        assertEquals(List.of(95, 90, 85), omitted.subList(0, 3));
    }

    /** Tasks at work, tasks that end, and tasks whose turn has not come must not be reported. */
    @Test
    void nothingIsSaidOfOtherTasks() {
        leader.addWorker(4_000);
        leader.submit("standing", standing(1_000));
        leader.submit("large", TestSteps.of(1, new Resources(5_000, 100, 0), 500, List.of()));
        leader.submit(
                "chain",
                TestSteps.of(1, new Resources(5_000, 100, 0), 500, List.of()),
                TestSteps.of(1, new Resources(100, 100, 0), 0, List.of(0)).longRunning());
        leader.elapse(20_000);
        assertEquals(List.of(), leader.of(Decision.TASK_WAITING));
        assertEquals(0, leader.scheduler.longestStandingWaitMs(leader.nowMs));
    }

    /** The wait must be told from its beginning on, and must end with it. */
    @Test
    void longestWaitIsMeasured() {
        Worker worker = leader.addWorker(4_000);
        leader.submit("job", standing(1_000));
        leader.elapse(2_000);
        assertEquals(0, leader.scheduler.longestStandingWaitMs(leader.nowMs));
        worker.silent = true;
        leader.elapse(5_000);
        assertEquals(5_000, leader.scheduler.longestStandingWaitMs(leader.nowMs));
        worker.silent = false;
        leader.elapse(1_000);
        assertEquals(0, leader.scheduler.longestStandingWaitMs(leader.nowMs));
    }

    private static TestSteps standing(int milliCores) {
        return standing(1, milliCores);
    }

    private static TestSteps standing(int count, int milliCores) {
        return TestSteps.of(count, new Resources(milliCores, 100, 0), 0, List.of())
                .longRunning();
    }

    /** Checks that the only line of a task has a reason of this type; returns the reason. */
    private <T extends WaitReason> T assertReason(JobTask task, Class<T> type) {
        List<Line> lines = leader.of(Decision.TASK_WAITING).stream()
                .filter(line -> line.subject().equals(task.name().toString()))
                .toList();
        assertEquals(1, lines.size(), () -> String.valueOf(lines));
        Line line = lines.get(0);
        T reason = assertInstanceOf(type, line.fields().get("inputs"));
        assertEquals(reason.label(), line.fields().get("reason"));
        long waitingMs = (long) line.fields().get("waitingMs");
        assertTrue(waitingMs >= 2_000 && waitingMs <= 2_500, "line after " + waitingMs + " ms");
        assertEquals(line.atMs() - waitingMs, line.fields().get("sinceUnixMs"));
        return reason;
    }

    private Object lastInputs() {
        List<Line> lines = leader.of(Decision.TASK_WAITING);
        return lines.get(lines.size() - 1).fields().get("inputs");
    }

    /** Returns the view of an empty worker that reports. */
    private WorkerView view() {
        WorkerView worker = new WorkerView("guard", 0, 0);
        worker.recordReport(SchedulerHarness.emptyReport("guard", leader.nowMs), leader.nowMs);
        return worker;
    }

    private WaitReason explain(WorkerView worker) {
        JobTask task = leader.submit("job", standing(1_000));
        QueuePolicy policy = new JobQueue("q", "h", "/q/", FakeWorker.SERVICE, 0, 2, 3_000, 400, 1.5).policy();
        Placement placement = new Placement(new InterferenceModel());
        return new WaitDiagnosis(Map.of("guard", worker).values(), placement, SchedulerHarness.LIMITS)
                .explainPending(task, policy, true, leader.nowMs);
    }
}
