package org.fulmarreach.core.jobs;

import java.util.List;
import java.util.Map;

import org.fulmarreach.core.model.Resources;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Scheduling of single jobs on a pool of two workers under virtual time. */
class JobSchedulerTest {
    private static final JobConfig CONFIG = new JobConfig(
            1, List.of(new JobQueue("q", "h", "/q/", FakeWorker.SERVICE, 0, 2, 3_000, 400, 1.5)), 1_000_000);

    private PoolEmulator pool;

    @BeforeEach
    void start() {
        pool = new PoolEmulator(1, 0, 0, CONFIG);
        pool.addWorker(0, new Resources(4_000, 8_000, 0));
        pool.addWorker(1, new Resources(4_000, 8_000, 0));
        pool.run(1_000);
    }

    @Test
    void stepWaitsForItsPredecessor() {
        submit(
                "job",
                List.of(
                        step(2).build(),
                        TestSteps.of(1, size(), 500, List.of(0)).build()),
                500,
                900,
                500);
        pool.run(800);
        assertEquals(0, job("job").tasksOf(0, 1).get(0).state().run(), "started before both predecessors were done");
        pool.run(1_500);
        assertEquals(JobStatus.COMPLETED, job("job").acknowledgedStatus());
    }

    @Test
    void taskOfALostWorkerResumesFromItsCheckpoint() {
        submit("job", List.of(step(1).build()), 3_000);
        pool.run(1_500);
        FakeWorker first = workerOf("job");
        first.restart();
        pool.run(1_000);
        TaskState state = job("job").tasks().get(0).state();
        assertEquals(2, state.run());
        assertNotEquals("", state.checkpoint());
        pool.run(2_000);
        assertTrue(pool.latencyMs("job") > 0 && pool.latencyMs("job") < 4_200, "took " + pool.latencyMs("job"));
    }

    /** Until its lease has expired, a silent worker may still be running the task. */
    @Test
    void taskOfASilentWorkerIsNotRestartedBeforeItsLeaseIsOver() {
        submit("job", List.of(step(1).build()), 20_000);
        pool.run(1_500);
        pool.silence(workerOf("job"));
        pool.run(5_900);
        assertEquals(1, job("job").tasks().get(0).state().run(), "restarted before the lease of 6 s was over");
        pool.run(1_500);
        assertEquals(2, job("job").tasks().get(0).state().run(), "not restarted after the lease");
    }

    /** The append that precedes a start may take seconds, and the job may be cancelled in the meantime. */
    @Test
    void startOfACancelledJobIsNoLongerApplicable() {
        submit("job", List.of(step(1).build()), 5_000);
        JobTask task = job("job").tasks().get(0);
        JobOrder start = new JobOrder.Start(
                task.state().worker(), task.name(), task.state().run(), "", "");
        assertTrue(pool.isApplicable(start));
        pool.cancel("job");
        assertFalse(pool.isApplicable(start));
    }

    /** A job that is removed from the registry kept its place on a worker, and its progress was written again. */
    @Test
    void droppedJobTakesNoCapacityAndIsNotWritten() {
        submit(
                "dropped",
                List.of(TestSteps.of(2, new Resources(4_000, 8_000, 0), 500, List.of())
                        .build()),
                20_000,
                20_000);
        pool.run(1_500);
        JobTask task = job("dropped").tasks().get(0);
        assertTrue(task.isAssigned());
        Job dropped = job("dropped");
        pool.remove("dropped");
        task.setCrashes(1, 0);
        assertNull(dropped.takeChange(), "progress would be written");
        submit("next", List.of(step(1).build()), 500);
        pool.run(2_000);
        assertEquals(JobStatus.COMPLETED, job("next").acknowledgedStatus());
    }

    /** Partial work has no value until the whole job is done. */
    @Test
    void jobWithLessRemainingWorkIsRankedFirst() {
        QueuePolicy policy = CONFIG.findByName("q").orElseThrow().policy();
        submit("begun", List.of(step(2).build()), 500, 5_000);
        pool.run(1_000);
        submit("fresh", List.of(step(2).build()), 5_000, 5_000);
        JobUrgency.Rank begun = JobUrgency.rank(job("begun"), policy, pool.nowMs);
        JobUrgency.Rank fresh = JobUrgency.rank(job("fresh"), policy, pool.nowMs);
        assertTrue(begun.remainingPermille() < fresh.remainingPermille(), begun + " " + fresh);
        assertTrue(begun.prospect() != fresh.prospect() || begun.compareTo(fresh) < 0, begun + " " + fresh);
    }

    @Test
    void taskThatReachesItsMaximumAttemptsFailsItsJob() {
        pool.workers.values().forEach(worker -> worker.failing = true);
        submit("job", List.of(step(1).build()), 500);
        pool.run(20_000);
        assertEquals(JobStatus.FAILED, job("job").acknowledgedStatus());
        assertEquals(2, job("job").tasks().get(0).state().run(), "runs of a task that may fail twice");
    }

    @Test
    void secondAttemptAvoidsTheWorkerOfTheFirst() {
        pool.workers.get("guard-0").failing = true;
        for (int i = 0; i < 4; i++) {
            submit("job-" + i, List.of(step(1).build()), 500);
        }
        pool.run(6_000);
        for (int i = 0; i < 4; i++) {
            assertEquals(JobStatus.COMPLETED, job("job-" + i).acknowledgedStatus());
        }
    }

    @Test
    void stalledTaskIsMoved() {
        pool.workers.get("guard-0").stalled = true;
        for (int i = 0; i < 4; i++) {
            submit("job-" + i, List.of(step(1).build()), 500);
        }
        pool.run(8_000);
        for (int i = 0; i < 4; i++) {
            assertEquals(JobStatus.COMPLETED, job("job-" + i).acknowledgedStatus());
        }
    }

    @Test
    void cancelledJobStopsAndStartsNothing() {
        submit(
                "job",
                List.of(
                        step(2).build(),
                        TestSteps.of(4, size(), 500, List.of(0)).build()),
                500,
                500,
                1,
                1,
                1,
                1);
        pool.run(200);
        pool.cancel("job");
        pool.run(1_000);
        assertEquals(JobStatus.CANCELLED, job("job").acknowledgedStatus());
        pool.workers.values().forEach(worker -> assertEquals(0, worker.runningTasks()));
        assertEquals(0, job("job").tasksOf(0, 1).get(0).state().run());
    }

    @Test
    void workerNeverGetsMoreThanItsCapacity() {
        submit(
                "job",
                List.of(TestSteps.of(20, new Resources(1_500, 100, 0), 400, List.of())
                        .build()),
                times(20, 400));
        for (int i = 0; i < 100; i++) {
            pool.run(PoolEmulator.STEP_MS);
            pool.workers.values().forEach(worker -> assertTrue(worker.runningTasks() <= 2));
        }
        pool.workers.values().forEach(worker -> assertEquals(0, worker.roomRefusals, "starts that did not fit"));
        assertEquals(JobStatus.COMPLETED, job("job").acknowledgedStatus());
    }

    @Test
    void tasksPerWorkerStayWithinTheirBound() {
        submit("job", List.of(step(4).atMostPerWorker(1).build()), times(4, 700));
        for (int i = 0; i < 40; i++) {
            pool.run(PoolEmulator.STEP_MS);
            pool.workers.values().forEach(worker -> assertTrue(worker.runningTasks() <= 1));
        }
    }

    @Test
    void gangIsPlacedOnlyAsAWhole() {
        submit(
                "job",
                List.of(TestSteps.of(5, new Resources(2_000, 100, 0), 400, List.of())
                        .gang()
                        .build()),
                times(5, 400));
        pool.run(2_000);
        job("job").tasks().forEach(task -> assertEquals(0, task.state().run(), "only four of five members fit"));
        submit(
                "fits",
                List.of(TestSteps.of(4, new Resources(2_000, 100, 0), 400, List.of())
                        .gang()
                        .build()),
                times(4, 400));
        pool.run(1_500);
        assertEquals(JobStatus.COMPLETED, job("fits").acknowledgedStatus());
    }

    @Test
    void occurrenceDoesNotStartBeforeItIsDue() {
        JobSpec spec = new JobSpec("job", "q", "", List.of(step(1).build()), pool.nowMs + 1_000, 1_000, 2, pool.nowMs);
        pool.submit(spec, List.of(200L, 200L));
        pool.run(900);
        assertEquals(0, job("job").tasks().get(0).state().run());
        pool.run(600);
        assertEquals(JobStatus.RUNNING, job("job").acknowledgedStatus());
        assertEquals(0, job("job").tasks().get(1).state().run(), "second occurrence started before it was due");
        pool.run(1_500);
        assertEquals(JobStatus.COMPLETED, job("job").acknowledgedStatus());
    }

    /**
     * The end of a run that was lost with a silent worker may be listed after the retention of its job. The progress
     * that was written then had no request any more and stayed in the log until the next leader.
     */
    @Test
    void noProgressIsWrittenForAJobThatIsBeingRemoved() {
        pool.submit(new JobSpec("job", "q", "", List.of(step(1).build()), 0, 0, 0, pool.nowMs), List.of(100_000L));
        WorkerRef worker = job("job").tasks().get(0).state().worker();
        pool.silence(pool.workers.get(worker.guard()));
        pool.run(20_000);
        pool.cancel("job");
        pool.run(500);
        JobScheduler leader = new JobScheduler(
                pool.registry, CONFIG, new JobTimeLimits(6_000, 100, 3_000, 900), OverdueCheck.LOG, pool.nowMs);
        leader.tick(pool.nowMs, pool.nowMs + 10_000, true);
        JobBatch removal = leader.takeBatch();
        assertEquals(List.of(new StoredProgress("job", List.of())), removal.removed());
        leader.onReport(
                new WorkerReport(
                        worker,
                        FakeWorker.SERVICE,
                        "z",
                        new Resources(1_000, 1_000, 0),
                        List.of("a", "rack-0"),
                        false,
                        true,
                        false,
                        List.of(),
                        List.of(new WorkerReport.Ended(1, "job.0.0.0", 1, RunEnd.DONE, "")),
                        1),
                pool.nowMs);
        assertEquals(Map.of(), leader.takeBatch().progress());
    }

    @Test
    void drainingWorkerGetsNoNewTasks() {
        pool.workers.get("guard-0").draining = true;
        pool.run(600);
        submit("job", List.of(step(4).build()), times(4, 300));
        pool.run(200);
        assertEquals(0, pool.workers.get("guard-0").runningTasks());
        assertFalse(job("job").tasks().get(0).state().worker().guard().equals("guard-0"));
    }

    /** A repeated start is refused as old if the same run has already ended; the task must not run twice. */
    @Test
    void startThatIsRefusedAsOldIsNotPlacedAgain() {
        submit("job", List.of(step(1).build()), 300);
        TaskState state = job("job").tasks().get(0).state();
        pool.answerStart(job("job").tasks().get(0), "old");
        pool.run(2_000);
        assertEquals(1, job("job").tasks().get(0).state().run());
        assertEquals(state.worker(), job("job").tasks().get(0).state().worker());
        assertEquals(JobStatus.COMPLETED, job("job").acknowledgedStatus());
    }

    /** The leader's process ended when the first message of a guard to a new leader contained two refused starts. */
    @Test
    void refusalsBeforeTheFirstReportToANewLeaderAreHandled() {
        pool.workers.get("guard-1").draining = true;
        pool.run(600);
        submit("job", List.of(step(2).build()), times(2, 2_000));
        pool.replaceLeader();
        job("job").tasks().forEach(task -> pool.answerStart(task, "status 503"));
        pool.run(JobTimeLimits.SUSPICION_MS + 4_000);
        assertEquals(JobStatus.COMPLETED, job("job").acknowledgedStatus());
    }

    /** A delayed report of a former lifetime must not mark the tasks of the current one as lost. */
    @Test
    void reportOfAFormerLifetimeIsIgnored() {
        WorkerReport former = pool.workers.get("guard-0").report();
        pool.workers.values().forEach(FakeWorker::restart);
        pool.run(600);
        submit("job", List.of(step(4).build()), times(4, 3_000));
        pool.run(1_000);
        pool.deliver(former);
        pool.run(500);
        job("job").tasks().forEach(task -> assertEquals(1, task.state().run()));
    }

    @Test
    void jobContinuesAfterItsQueueIsRemoved() {
        submit(
                "job",
                List.of(
                        step(1).build(),
                        TestSteps.of(1, size(), 500, List.of(0)).build()),
                500,
                500);
        pool.configure(new JobConfig(2, List.of(), 1_000_000));
        pool.run(2_500);
        assertEquals(JobStatus.COMPLETED, job("job").acknowledgedStatus());
    }

    /** Ends that are never acknowledged would stay in the worker's lists for ever. */
    @Test
    void endsAreAcknowledged() {
        submit("job", List.of(step(4).build()), times(4, 300));
        pool.run(2_000);
        pool.workers.values().forEach(worker -> assertFalse(worker.hasUnacknowledgedEnds()));
    }

    /** Ends may be listed late; the end of an earlier run must not affect the current one. */
    @Test
    void endOfAnEarlierRunDoesNotEndTheCurrentOne() {
        FakeWorker worker = pool.workers.get("guard-0");
        pool.workers.get("guard-1").draining = true;
        pool.run(600);
        submit("job", List.of(step(1).build()), 5_000);
        worker.failing = true;
        pool.run(PoolEmulator.STEP_MS);
        worker.failing = false;
        pool.run(1_000);
        assertEquals(2, job("job").tasks().get(0).state().run());
        WorkerReport current = worker.report();
        pool.deliver(new WorkerReport(
                current.ref(),
                current.service(),
                current.zone(),
                current.capacity(),
                current.labels(),
                false,
                true,
                false,
                current.running(),
                List.of(new WorkerReport.Ended(99, "job.0.0.0", 1, RunEnd.STOPPED, "")),
                current.pollNumber()));
        assertEquals(TaskPhase.ASSIGNED, job("job").tasks().get(0).state().phase());
        assertEquals(2, job("job").tasks().get(0).state().run());
    }

    @Test
    void newLeaderAdoptsRunningTasks() {
        submit("job", List.of(step(1).build()), 4_000);
        pool.run(1_000);
        pool.replaceLeader();
        pool.run(5_000);
        assertEquals(1, job("job").tasks().get(0).state().run(), "the new leader did not adopt the run in progress");
        assertEquals(JobStatus.COMPLETED, job("job").acknowledgedStatus());
    }

    /*
     * Helpers
     */

    private static Resources size() {
        return new Resources(1_000, 1_000, 0);
    }

    private static TestSteps step(int count) {
        return TestSteps.of(count, size(), 500, List.of());
    }

    private static long[] times(int count, long ms) {
        long[] work = new long[count];
        java.util.Arrays.fill(work, ms);
        return work;
    }

    private void submit(String id, List<JobStep> steps, long... workMs) {
        List<Long> work = java.util.Arrays.stream(workMs).boxed().toList();
        pool.submit(new JobSpec(id, "q", "", steps, 0, 0, 0, pool.nowMs), work);
    }

    private Job job(String id) {
        return pool.registry.find(id).orElseThrow();
    }

    private FakeWorker workerOf(String id) {
        return pool.workers.get(job(id).tasks().get(0).state().worker().guard());
    }
}
