package org.fulmarreach.core.jobs;

import java.util.List;

import org.fulmarreach.core.model.Resources;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against a stop of the system's own that takes a standing task from work while as many others of its step are
 * away as may be, for whatever cause these are.
 */
class UnavailabilityBudgetTest {
    private static final int TASKS = 3;

    private final SchedulerHarness pool = new SchedulerHarness();
    private final UnavailabilityBudget budget = new UnavailabilityBudget();

    @Test
    void taskMayBeStoppedWhileAllOthersAreAtWork() {
        assertTrue(mayStop(start(1)));
    }

    @Test
    void anotherTaskThatIsBeingStoppedCounts() {
        Job job = start(1);
        stop(job.tasks().get(1));
        assertFalse(mayStop(job));
    }

    @Test
    void eachStopIsCountedBeforeTheNext() {
        Job job = start(2);
        stop(job.tasks().get(1));
        assertTrue(mayStop(job));
        stop(job.tasks().get(2));
        assertFalse(mayStop(job));
    }

    @Test
    void anotherTaskThatHasNotStartedUpCounts() {
        Job job = start(1);
        JobTask other = job.tasks().get(1);
        other.updateProgress(other.progress().withListing(99, 0, "", pool.nowMs));
        assertFalse(mayStop(job));
    }

    @Test
    void anotherTaskOnASilentWorkerCounts() {
        Job job = start(1);
        workerOf(job.tasks().get(1)).silent = true;
        pool.elapse(JobTimeLimits.REPORT_TIMEOUT_MS + 500);
        assertFalse(mayStop(job));
    }

    @Test
    void anotherTaskWithoutARunCounts() {
        pool.addWorker(1_000);
        pool.addWorker(1_000);
        Job job = submit(1);
        assertFalse(mayStop(job));
    }

    /** A new leader knows of no task that it is at work until its worker has listed it. */
    @Test
    void tasksThatANewLeaderHasNotSeenCount() {
        Job job = start(1);
        pool.replaceLeader(EvacuatedZones.NONE);
        pool.elapse(500);
        assertTrue(mayStop(job));
        pool.workers.get("guard-1").silent = true;
        pool.replaceLeader(EvacuatedZones.NONE);
        pool.elapse(500);
        assertFalse(mayStop(job));
    }

    @Test
    void taskThatDoesNotStartUpMayBeStopped() {
        Job job = start(1);
        stop(job.tasks().get(1));
        listHalfStarted(job.tasks().get(0), pool.nowMs - JobTimeLimits.STARTUP_TIMEOUT_MS - 1);
        assertTrue(mayStop(job));
    }

    /** It may be at work by the time the stop arrives, as the leader's view is as old as the last report. */
    @Test
    void taskThatStartsUpIsCountedAsOneAtWork() {
        Job job = start(1);
        stop(job.tasks().get(1));
        listHalfStarted(job.tasks().get(0), pool.nowMs);
        assertFalse(mayStop(job));
    }

    /** It may be at work, which the leader can't see. */
    @Test
    void taskOnASilentWorkerIsCountedAsOneAtWork() {
        Job job = start(1);
        stop(job.tasks().get(1));
        workerOf(job.tasks().get(0)).silent = true;
        pool.elapse(JobTimeLimits.REPORT_TIMEOUT_MS + 500);
        stop(job.tasks().get(1));
        assertFalse(mayStop(job));
    }

    @Test
    void taskWithoutARunMayBeStopped() {
        assertTrue(mayStop(submit(1)));
    }

    @Test
    void taskOnADrainingWorkerMayBeStopped() {
        Job job = start(1);
        stop(job.tasks().get(1));
        JobTask first = job.tasks().get(0);
        workerOf(first).draining = true;
        workerOf(first).endsRuns = false;
        pool.scheduler.onReport(draining(first), pool.nowMs);
        // The mover has ordered the stop by now; before it did, the same question was answered for this progress.
        first.updateProgress(
                RunProgress.firstOrderedAt(pool.nowMs).withSent(pool.nowMs).withListing(100, 0, "", pool.nowMs));
        assertTrue(mayStop(job));
    }

    @Test
    void taskOfACancelledJobMayBeStopped() {
        Job job = start(1);
        stop(job.tasks().get(1));
        pool.registry.cancel("job", pool.nowMs);
        assertTrue(mayStop(job));
    }

    @Test
    void stepWithoutALimitMayBeStopped() {
        Job job = start(0);
        stop(job.tasks().get(1));
        stop(job.tasks().get(2));
        assertTrue(mayStop(job));
    }

    /** A worker whose tasks do not get ready loses them to others, also where a limit holds: they are not at work. */
    @Test
    void tasksThatDoNotStartUpAreMovedDespiteTheLimit() {
        for (int i = 0; i < TASKS; i++) {
            pool.addWorker(1_000).percent = 50;
        }
        submit(1);
        pool.elapse(JobTimeLimits.STARTUP_TIMEOUT_MS + 1_000);
        assertEquals(
                TASKS,
                pool.workers.values().stream().mapToInt(worker -> worker.stops).sum());
    }

    private Job start(int maxUnavailable) {
        for (int i = 0; i < TASKS; i++) {
            pool.addWorker(1_000);
        }
        return submit(maxUnavailable);
    }

    private Job submit(int maxUnavailable) {
        Job job = pool.submit(
                        "job",
                        TestSteps.of(TASKS, new Resources(1_000, 100, 0), 0, List.of())
                                .longRunning()
                                .atMostUnavailable(maxUnavailable))
                .job();
        pool.elapse(2_000);
        return job;
    }

    private static void listHalfStarted(JobTask task, long atMs) {
        task.updateProgress(task.progress().withListing(50, 0, "", atMs));
    }

    private boolean mayStop(Job job) {
        return budget.mayStop(job.tasks().get(0), pool.nowMs);
    }

    private void stop(JobTask task) {
        task.updateProgress(task.progress().withStopOrdered(pool.nowMs));
    }

    private SchedulerHarness.Worker workerOf(JobTask task) {
        return pool.workers.get(task.state().worker().guard());
    }

    private WorkerReport draining(JobTask task) {
        WorkerReport.Running running =
                new WorkerReport.Running(task.name().toString(), task.state().run(), "", 100, 5);
        return new WorkerReport(
                task.state().worker(),
                FakeWorker.SERVICE,
                "zone",
                workerOf(task).capacity,
                List.of("a", "rack"),
                true,
                true,
                false,
                List.of(running),
                List.of(),
                1_000);
    }
}
