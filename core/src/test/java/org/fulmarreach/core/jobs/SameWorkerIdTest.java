package org.fulmarreach.core.jobs;

import java.util.ArrayList;
import java.util.List;

import org.fulmarreach.core.model.Resources;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * A worker that starts again under its id: an order names its worker by id, so the new lifetime may have carried out a
 * start that was meant for the former one. Played with explicit reports.
 */
class SameWorkerIdTest {
    private static final JobConfig CONFIG = new JobConfig(
            1, List.of(new JobQueue("q", "h", "/q/", FakeWorker.SERVICE, 0, 2, 3_000, 400, 1.5)), 1_000_000);
    private static final JobTimeLimits LIMITS = new JobTimeLimits(6_000, 120_000, 3_000, 900);
    private static final String TASK = "job.0.0.0";
    private static final long REPORT_MS = 500;

    private final JobRegistry registry = new JobRegistry();
    private final WorkerRef former = new WorkerRef("guard-0", "worker-0", 1_000);
    private final WorkerRef next = new WorkerRef("guard-0", "worker-0", 2_000);
    private final WorkerRef other = new WorkerRef("guard-1", "worker-1", 1_000);
    private final List<JobOrder> immediate = new ArrayList<>();
    private final List<JobOrder.Start> starts = new ArrayList<>();
    private JobScheduler scheduler;
    private long nowMs = 1_000_000;

    /** Fencing token of the reports; null for a guard that tells none. */
    private FencingToken token;

    @BeforeEach
    void startLeader() {
        scheduler = new JobScheduler(registry, CONFIG, LIMITS, OverdueCheck.LOG, nowMs);
    }

    /** The task ran on two workers: the new lifetime's run was taken for a stray one and started elsewhere. */
    @Test
    void runThatTheNextLifetimeListsIsNotStartedElsewhere() {
        submit();
        report(other, 1, List.of(), List.of());
        report(next, 1, List.of(running(1)), List.of());
        assertEquals(new TaskState(TaskPhase.ASSIGNED, 1, next, 0, ""), task().state());
        assertEquals(List.of(), immediate, "the run is not stopped");
        report(next, 2, List.of(), List.of(end(1, RunEnd.DONE)));
        assertEquals(new TaskState(TaskPhase.DONE, 1, next, 0, ""), task().state());
        assertEquals(1, starts.size());
    }

    /** A start after an end `done` that was taken note of: the end was listed by the next lifetime's first report. */
    @Test
    void endThatTheNextLifetimeListsCounts() {
        submit();
        report(other, 1, List.of(), List.of());
        report(next, 1, List.of(), List.of(end(1, RunEnd.DONE)));
        assertEquals(new TaskState(TaskPhase.DONE, 1, next, 0, ""), task().state());
        assertEquals(1, starts.size());
    }

    /** A run of the next lifetime is no suspect of the crash of the former one. */
    @Test
    void runThatTheNextLifetimeListsIsNotSuspectedOfTheCrash() {
        submit();
        report(next, 1, List.of(new WorkerReport.Running(TASK, 1, "", 0, 0)), List.of());
        assertEquals(0, task().state().crashes());
    }

    /**
     * A call without an answer may be carried out later, by the next lifetime as well. The task was started elsewhere
     * before that was ruled out.
     */
    @Test
    void startThatMayStillReachTheNextLifetimeIsWithdrawnThereFirst() {
        submit();
        report(other, 1, List.of(), List.of());
        report(next, 1, List.of(), List.of());
        assertEquals(1, starts.size(), "started elsewhere before the start was withdrawn");
        assertTrue(immediate.contains(new JobOrder.Stop(next, TASK, 1)), "not withdrawn at the next lifetime");
        scheduler.onOrderOutcome(next, TASK, 1, false, "done", nowMs);
        report(next, 1, List.of(), List.of());
        report(next, 2, List.of(), List.of());
        assertEquals(1, starts.size(), "one poll may have been answered before the stop");
        report(next, 3, List.of(), List.of());
        decide();
        assertEquals(2, starts.size());
        assertEquals(2, task().state().run());
    }

    /** The start of the former lifetime reaches the next one just before the stop; the run ends there as stopped. */
    @Test
    void withdrawnRunThatBeganAfterAllIsPlacedAgainOnceItHasEnded() {
        submit();
        report(other, 1, List.of(), List.of());
        report(next, 1, List.of(), List.of());
        report(next, 2, List.of(running(1)), List.of());
        scheduler.onOrderOutcome(next, TASK, 1, false, "done", nowMs);
        report(next, 3, List.of(running(1)), List.of());
        assertEquals(1, starts.size(), "started elsewhere while it is being stopped");
        report(next, 4, List.of(), List.of(end(1, RunEnd.STOPPED)));
        assertEquals(2, starts.size());
    }

    /** Until a poll has told what the next lifetime runs, its empty lists say nothing. */
    @Test
    void listsOfALifetimeThatHasAnsweredNoPollDoNotCount() {
        submit();
        report(other, 1, List.of(), List.of());
        report(next, 2, false, List.of(), List.of());
        assertEquals(1, starts.size());
        report(next, 3, List.of(running(1)), List.of());
        assertEquals(new TaskState(TaskPhase.ASSIGNED, 1, next, 0, ""), task().state());
    }

    /** Guards against work that waits although no start for the former lifetime can be carried out any more. */
    @Test
    void runIsStartedElsewhereAtOnceIfTheNextLifetimeRefusesTheOrdersForTheFormerOne() {
        submit();
        token = new FencingToken(1, 1);
        report(former, 2, List.of(running(1)), List.of());
        report(other, 1, List.of(), List.of());
        token = new FencingToken(1, 2);
        report(next, 1, List.of(), List.of());
        assertEquals(2, starts.size());
    }

    /** The next lifetime has carried out the start before it saw the token, and lists its end behind others. */
    @Test
    void runIsNotStartedElsewhereWhileTheNextLifetimeHasEndsToList() {
        submit();
        token = new FencingToken(1, 1);
        report(former, 2, List.of(), List.of());
        report(other, 1, List.of(), List.of());
        token = new FencingToken(1, 2);
        List<WorkerReport.Ended> ends = new ArrayList<>();
        for (int i = 1; i <= 500; i++) {
            ends.add(new WorkerReport.Ended(i, "removed.0.0." + i, 1, RunEnd.DONE, ""));
        }
        report(next, 1, List.of(), ends);
        assertEquals(1, starts.size());
        report(next, 2, List.of(), List.of(new WorkerReport.Ended(501, TASK, 1, RunEnd.DONE, "")));
        assertEquals(1, starts.size());
        assertEquals(TaskPhase.DONE, task().state().phase());
    }

    /**
     * The guard had repeated an unanswered start with success, so the worker listed the run. Its next lifetime carried
     * out the first attempt while the task ran elsewhere.
     */
    @Test
    void runThatTheFormerLifetimeListedIsWithdrawnFirstIfTheNextOneTakesOrdersForIt() {
        submit();
        token = new FencingToken(1, 1);
        report(former, 2, List.of(running(1)), List.of());
        report(other, 1, List.of(), List.of());
        report(next, 1, List.of(), List.of());
        assertEquals(1, starts.size(), "started elsewhere before the start was ruled out");
        assertTrue(immediate.contains(new JobOrder.Stop(next, TASK, 1)), "not withdrawn at the next lifetime");
    }

    /** A worker with another id refuses the orders for the former one, so nothing needs to be withdrawn there. */
    @Test
    void runOfAReplacedWorkerIsStartedElsewhereAtOnce() {
        submit();
        report(other, 1, List.of(), List.of());
        report(new WorkerRef(former.guard(), "worker-9", 2_000), 1, List.of(), List.of());
        assertEquals(2, starts.size());
    }

    /** A start that still waits for its append when the worker has started again must not be sent. */
    @Test
    void startThatWaitsForItsAppendIsNotSentToTheNextLifetime() {
        report(former, 1, List.of(), List.of());
        registry.submit(new JobSpec(
                "job",
                "q",
                "",
                List.of(TestSteps.of(1, new Resources(1_000, 1_000, 0), 500, List.of())
                        .build()),
                0,
                0,
                0,
                nowMs));
        scheduler.activate(registry.find("job").orElseThrow(), nowMs);
        scheduler.tick(nowMs, nowMs, true);
        JobOrder.Start start = (JobOrder.Start) scheduler.takeBatch().orders().get(0);
        report(next, 1, List.of(), List.of());
        assertFalse(scheduler.isApplicable(start));
    }

    /** The new leader knows the runs from the log only; those that the next lifetime runs go on. */
    @Test
    void newLeaderTakesUpTheRunsOfTheNextLifetime() {
        submit();
        replaceLeader();
        report(other, 1, List.of(), List.of());
        report(next, 1, List.of(running(1)), List.of());
        assertEquals(new TaskState(TaskPhase.ASSIGNED, 1, next, 0, ""), task().state());
        assertEquals(1, starts.size());
    }

    /**
     * A task that had never run was given up: its only start was counted as the cause of each crash of the worker at
     * which it was being withdrawn (worker-soak, seed 12).
     */
    @Test
    void startThatIsBeingWithdrawnCrashesNoFurtherWorker() {
        submit();
        for (int lifetime = 2; lifetime <= 6; lifetime++) {
            report(new WorkerRef(former.guard(), former.id(), 1_000L * lifetime), 1, List.of(), List.of());
        }
        assertEquals(1, task().state().crashes());
    }

    /** As before, but each lifetime has a new leader, which does not know that the start is being withdrawn. */
    @Test
    void startCountsForOneCrashAlsoIfLeadersChange() {
        submit();
        for (int lifetime = 2; lifetime <= 6; lifetime++) {
            replaceLeader();
            report(new WorkerRef(former.guard(), former.id(), 1_000L * lifetime), 1, List.of(), List.of());
        }
        assertEquals(1, task().state().crashes());
    }

    /**
     * The leader was replaced while the start of a task that had crashed its workers was withdrawn. The next leader
     * neither started the task again nor gave it up.
     */
    @Test
    void convictedTaskThatIsBeingWithdrawnIsGivenUpByTheNextLeader() {
        submit();
        task().assign(former, "", 3, nowMs);
        scheduler.onStartSent(new JobOrder.Start(former, task().name(), 3, "", ""), nowMs);
        task().setCrashes(2, 1);
        report(next, 1, List.of(), List.of());
        assertTrue(task().isAssigned(), "not withdrawn first");
        replaceLeader();
        report(next, 2, List.of(), List.of());
        nowMs += 2_000;
        report(next, 3, List.of(), List.of());
        scheduler.onOrderOutcome(next, TASK, 3, false, "done", nowMs);
        for (int poll = 4; poll <= 8; poll++) {
            report(next, poll, List.of(), List.of());
        }
        assertEquals(TaskPhase.FAILED, task().state().phase());
    }

    /*
     * Helpers
     */

    private void replaceLeader() {
        registry.rollBack();
        scheduler = new JobScheduler(registry, CONFIG, LIMITS, OverdueCheck.LOG, nowMs);
    }

    /** Submits a job with one task while only one worker has reported, so that it is placed there. */
    private void submit() {
        report(former, 1, List.of(), List.of());
        registry.submit(new JobSpec(
                "job",
                "q",
                "",
                List.of(TestSteps.of(1, new Resources(1_000, 1_000, 0), 500, List.of())
                        .build()),
                0,
                0,
                0,
                nowMs));
        scheduler.activate(registry.find("job").orElseThrow(), nowMs);
        decide();
        assertEquals(former, task().state().worker());
    }

    private static WorkerReport.Running running(int run) {
        return new WorkerReport.Running(TASK, run, "", 10, 1_000);
    }

    private static WorkerReport.Ended end(int run, RunEnd runEnd) {
        return new WorkerReport.Ended(1, TASK, run, runEnd, "");
    }

    private void report(
            WorkerRef ref, long pollNumber, List<WorkerReport.Running> running, List<WorkerReport.Ended> ended) {
        report(ref, pollNumber, true, running, ended);
    }

    private void report(
            WorkerRef ref,
            long pollNumber,
            boolean reachable,
            List<WorkerReport.Running> running,
            List<WorkerReport.Ended> ended) {
        nowMs += REPORT_MS;
        scheduler.onReport(
                new WorkerReport(
                        ref,
                        FakeWorker.SERVICE,
                        "zone",
                        new Resources(4_000, 8_000, 0),
                        List.of("a", "rack-" + ref.guard()),
                        false,
                        reachable,
                        false,
                        running,
                        ended,
                        pollNumber,
                        false,
                        token),
                nowMs);
        scheduler.onGrantSent(ref.guard(), nowMs);
        decide();
    }

    private void decide() {
        scheduler.tick(nowMs, nowMs, true);
        immediate.addAll(scheduler.takeImmediateOrders());
        JobBatch batch = scheduler.takeBatch();
        scheduler.onCommitted(batch);
        for (JobOrder order : batch.orders()) {
            if (order instanceof JobOrder.Start start) {
                starts.add(start);
                scheduler.onStartSent(start, nowMs);
            }
        }
    }

    private JobTask task() {
        return registry.find("job").orElseThrow().tasks().get(0);
    }
}
