package org.fulmarreach.core.jobs;

import java.util.Collections;
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

    private static final int STEP_MS = 50;
    private static final Resources WORKER = new Resources(64_000, 250_000, 0);
    private static final JobConfig CONFIG = new JobConfig(
            1, List.of(new JobQueue("q", "h", "/q/", FakeWorker.SERVICE, 0, 2, 3_000, 400, 1.5)), 1_000_000);

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

    /**
     * The only run of a waiting job went to a task whose former run was lost together with its end, and that callers
     * know as done, while the next task that they wait for had none.
     */
    @Test
    void waitingJobRunsATaskFirstThatHasNotRun() {
        SchedulerHarness leader = new SchedulerHarness();
        SchedulerHarness.Worker worker = leader.addWorker(10_000);
        leader.elapse(500);
        leader.submit("fill", bestEffort(3, 60_000));
        leader.elapse(1_000);
        JobTask lost = leader.submit("job", bestEffort(3, 60_000));
        lost.assign(worker.ref, "rack", 1, leader.nowMs);
        lost.finish(TaskPhase.PENDING, 0, "");
        lost.job().markBegun();
        leader.elapse(MAX_WITHOUT_RUN_MS);
        Set<String> running = SchedulerHarness.runningOn(worker);
        assertTrue(running.contains("job.0.0.1"), () -> "at work: " + running);
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

    /** A suspect of a crash waited for its trial until best-effort tasks had ended, beside unreserved processors. */
    @Test
    void suspectIsTriedBesideBestEffortTasks() {
        PoolEmulator pool = pool(4);
        submit(pool, "fill", best(60), 20_000);
        pool.run(3_000);
        Job job = submit(pool, "job", best(1), 5_000);
        assertTrue(waitForRunMs(pool, job) <= MAX_WITHOUT_RUN_MS, "no run in time before the crash");
        JobTask task = job.tasks().get(0);
        boolean[] suspected = new boolean[1];
        pool.observer = (decision, subject, fields) -> suspected[0] |= decision == DecisionLog.Decision.TASK_SUSPECTED
                && subject.equals(task.name().toString());
        pool.workers.get(task.state().worker().guard()).crash();
        for (int ms = 0; ms < 10_000 && !suspected[0]; ms += STEP_MS) {
            pool.run(STEP_MS);
        }
        assertTrue(suspected[0], "the task is not suspected");
        int waitedMs = waitForRunMs(pool, job);
        assertTrue(waitedMs <= MAX_WITHOUT_RUN_MS, () -> "no run for " + waitedMs + " ms after the run was lost");
    }

    /**
     * A job waited while all workers with room were suspected, since one that is full was not: the jobs that failed
     * there are the likelier cause, as they are if all workers are suspected.
     */
    @Test
    void jobGetsARunThoughOthersFailOnAllWorkersWithRoom() {
        PoolEmulator pool = pool(4);
        submit(pool, "full", TestSteps.of(1, WORKER, 0, List.of()).longRunning(), 0);
        pool.run(1_000);
        boolean[] suspected = new boolean[1];
        pool.observer =
                (decision, subject, fields) -> suspected[0] |= decision == DecisionLog.Decision.WORKER_SUSPECTED;
        for (int i = 0; i < 3; i++) {
            pool.faultyJobs.add("failing-" + i);
            submit(pool, "failing-" + i, TestSteps.of(4, new Resources(1_000, 1_000, 0), 200, List.of()), 200);
        }
        for (int ms = 0; ms < 2_000 && !suspected[0]; ms += STEP_MS) {
            pool.run(STEP_MS);
        }
        assertTrue(suspected[0], "no worker is suspected");
        Job job = submit(pool, "job", TestSteps.of(1, new Resources(10_000, 1_000, 0), 1_000, List.of()), 1_000);
        int waitedMs = waitForRunMs(pool, job);
        assertTrue(waitedMs <= MAX_WITHOUT_RUN_MS, () -> "no run for " + waitedMs + " ms beside three free workers");
    }

    /** A job with large tasks waited beside empty workers until their zone had been filled to its size. */
    @Test
    void largeTaskStartsInTimeAfterItsZoneIsTakenBack() {
        SchedulerHarness leader = new SchedulerHarness();
        leader.addWorker("a", 10_000);
        leader.addWorker("a", 10_000);
        EvacuatedZones evacuated = EvacuatedZones.NONE.withEvacuated("a");
        leader.scheduler.evacuate(evacuated, leader.nowMs);
        leader.submit("job", TestSteps.of(1, new Resources(8_000, 500, 0), 1_000, List.of()));
        leader.elapse(2_000);
        leader.scheduler.evacuate(evacuated.withReopened("a", leader.nowMs), leader.nowMs);
        leader.elapse(MAX_WITHOUT_RUN_MS);
        assertEquals(1, leader.starts.size(), "starts within " + MAX_WITHOUT_RUN_MS + " ms");
    }

    /** A run that was placed by the usual rules started throttled, since an earlier one of its task had been. */
    @Test
    void onlyRunsBesideServingTasksNearTheirTargetsStartThrottled() {
        SchedulerHarness leader = new SchedulerHarness();
        SchedulerHarness.Worker near = leader.addWorker(8_000);
        leader.submit(
                "serving",
                TestSteps.of(1, new Resources(3_000, 500, 0), 0, List.of()).serving("serve", 7));
        leader.elapse(1_000);
        JobTask task = leader.submit("job", bestEffort(1, 10_000));
        leader.elapse(3_000);
        assertEquals(1, countThrottled(leader, task), "the first run is throttled");
        leader.addWorker(2_000);
        leader.elapse(1_000);
        near.silent = true;
        leader.scheduler.onGuardLost(near.ref.guard());
        leader.elapse(10_000);
        assertEquals(2, task.state().run(), "runs");
        assertEquals(1, countThrottled(leader, task), "the second run is not");
    }

    private static long countThrottled(SchedulerHarness leader, JobTask task) {
        return leader.of(DecisionLog.Decision.PACE_CHANGED).stream()
                .filter(line -> line.subject().equals(task.name().toString()))
                .filter(line -> line.fields().get("percent").equals(ThrottlePlan.MIN_PERCENT))
                .count();
    }

    private static TestSteps bestEffort(int count, long taskMs) {
        return TestSteps.of(count, new Resources(4_000, 500, 0), taskMs, List.of())
                .bestEffort("fill");
    }

    private static PoolEmulator pool(int workers) {
        PoolEmulator pool = new PoolEmulator(1, 0, 0, CONFIG);
        for (int i = 0; i < workers; i++) {
            pool.addWorker(i, WORKER);
        }
        pool.workers.values().forEach(worker -> worker.beginMs = 150);
        pool.run(1_000);
        return pool;
    }

    private static TestSteps best(int count) {
        return TestSteps.of(count, new Resources(8_000, 4_000, 0), 20_000, List.of())
                .bestEffort("fill");
    }

    private static Job submit(PoolEmulator pool, String id, TestSteps steps, long taskMs) {
        JobStep step = steps.build();
        pool.submit(
                new JobSpec(id, "q", "", List.of(step), 0, 0, 0, pool.nowMs),
                Collections.nCopies(step.taskCount(), taskMs));
        return pool.registry.find(id).orElseThrow();
    }

    /** Returns the time until a worker runs the first task of a job, in ms; 30 s at most. */
    private static int waitForRunMs(PoolEmulator pool, Job job) {
        String task = job.tasks().get(0).name().toString();
        int waitedMs = 0;
        while (waitedMs < 30_000 && pool.workers.values().stream().noneMatch(worker -> worker.runs(task))) {
            pool.run(STEP_MS);
            waitedMs += STEP_MS;
        }
        return waitedMs;
    }
}
