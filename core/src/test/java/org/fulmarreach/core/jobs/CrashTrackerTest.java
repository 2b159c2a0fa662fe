package org.fulmarreach.core.jobs;

import java.util.Arrays;
import java.util.List;

import org.fulmarreach.core.model.Resources;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tasks that crash the workers that start them, and crashes that no task causes, on a pool of six workers. */
class CrashTrackerTest {
    private static final JobConfig CONFIG = new JobConfig(
            1, List.of(new JobQueue("q", "h", "/q/", FakeWorker.SERVICE, 0, 2, 3_000, 400, 1.5)), 1_000_000);
    private static final int WORKERS = 6;

    /** Crashes after which at most two more starts are allowed. */
    private static final int MAX_CRASHES = 5;

    /** Time from a crash until the next lifetime is known: 3 s until it begins, and a report. */
    private static final int RESTART_MS = 3_600;

    /** Time that it takes to withdraw a start at the next lifetime: a stop and the polls after it. */
    private static final int WITHDRAWAL_MS = 2_400;

    private PoolEmulator pool;

    @BeforeEach
    void start() {
        pool = new PoolEmulator(1, 0, 0, CONFIG);
        for (int i = 0; i < WORKERS; i++) {
            pool.addWorker(i, new Resources(4_000, 8_000, 0));
        }
        pool.run(1_000);
    }

    /** Such a task crashed 28 workers one after the other, since a lost run did not count as an attempt. */
    @Test
    void taskThatCrashesItsWorkersIsGivenUp() {
        submitDeadly("deadly");
        pool.run(15_000);
        assertEquals(JobStatus.FAILED, job("deadly").acknowledgedStatus());
        assertEquals(2, pool.crashes(), "crashes with the task as the only suspect");
    }

    /** Guards against blaming all tasks of a worker: many short ones start together with the one that crashes it. */
    @Test
    void othersOnTheCrashedWorkersAreCompleted() {
        for (int i = 0; i < 12; i++) {
            submit("job-" + i, 600);
        }
        submitDeadly("deadly");
        for (int i = 12; i < 24; i++) {
            submit("job-" + i, 600);
        }
        pool.run(30_000);
        assertEquals(JobStatus.FAILED, job("deadly").acknowledgedStatus());
        assertTrue(pool.crashes() <= 3, "crashes " + pool.crashes());
        for (int i = 0; i < 24; i++) {
            assertEquals(JobStatus.COMPLETED, job("job-" + i).acknowledgedStatus(), "job-" + i);
        }
    }

    /** Two suspects on one worker would each be taken for innocent, or both for guilty. */
    @Test
    void twoSuchTasksAreToldFromTheOthers() {
        submitDeadly("deadly-1");
        submitDeadly("deadly-2");
        for (int i = 0; i < 20; i++) {
            submit("job-" + i, 600);
        }
        pool.run(30_000);
        assertEquals(JobStatus.FAILED, job("deadly-1").acknowledgedStatus());
        assertEquals(JobStatus.FAILED, job("deadly-2").acknowledgedStatus());
        assertTrue(pool.crashes() <= 6, "crashes " + pool.crashes());
        for (int i = 0; i < 20; i++) {
            assertEquals(JobStatus.COMPLETED, job("job-" + i).acknowledgedStatus(), "job-" + i);
        }
    }

    /** A new leader that began to count anew would start such a task for ever while leaders change. */
    @Test
    void newLeaderContinuesTheCount() {
        submitDeadly("deadly");
        for (int i = 0; i < 2 * MAX_CRASHES; i++) {
            pool.run(1_500);
            pool.replaceLeader();
        }
        pool.run(10_000);
        assertEquals(JobStatus.FAILED, job("deadly").acknowledgedStatus());
        assertTrue(pool.crashes() <= MAX_CRASHES, "crashes " + pool.crashes());
    }

    /**
     * The leader is replaced after each crash, and the next one hears of the worker when its next lifetime runs. No
     * crash was counted, so such a task was started for ever.
     */
    @Test
    void crashesThatANewLeaderLearnsOfByTheNextLifetimeCount() {
        submitDeadly("deadly");
        for (int i = 0; i < 2 * MAX_CRASHES; i++) {
            crashUnseen("deadly");
        }
        assertTrue(pool.crashes() <= MAX_CRASHES, "crashes " + pool.crashes());
        assertEquals(JobStatus.FAILED, job("deadly").acknowledgedStatus());
    }

    /** Once a task is a suspect, such a crash counts also if other runs were lost in it. */
    @Test
    void suspectIsCountedByANewLeaderBesideOtherRuns() {
        submitDeadly("deadly");
        for (int i = 0; i < 100 && task("deadly").state().crashes() == 0; i++) {
            pool.run(PoolEmulator.STEP_MS);
        }
        assertEquals(1, task("deadly").state().crashes());
        for (int i = 0; i < 2 * WORKERS; i++) {
            submit("job-" + i, 60_000);
        }
        crashUnseen("deadly");
        pool.run(500);
        assertEquals(2, task("deadly").state().crashes());
        for (int i = 0; i < 2 * WORKERS; i++) {
            assertEquals(0, task("job-" + i).state().crashes(), "job-" + i);
        }
    }

    /**
     * A worker that is replaced as planned while the leader changes looks the same. Guards against many suspects, which
     * would be tried one by one, and against a task that is given up for it.
     */
    @Test
    void workerThatIsReplacedWhileTheLeaderChangesMakesFewSuspects() {
        submit("single", 60_000);
        String guard = task("single").state().worker().guard();
        for (int i = 0; i < 2; i++) {
            pool.workers.get(task("single").state().worker().guard()).restart();
            pool.replaceLeader();
            pool.run(1_500);
        }
        assertEquals(0, task("single").state().soleCrashes());
        assertTrue(task("single").isAssigned(), "given up although no crash was seen on " + guard);
        for (int i = 0; i < 2 * WORKERS; i++) {
            submit("job-" + i, 60_000);
        }
        pool.run(1_500);
        pool.workers.values().forEach(FakeWorker::restart);
        pool.replaceLeader();
        pool.run(500);
        for (int i = 0; i < 2 * WORKERS; i++) {
            assertEquals(0, task("job-" + i).state().crashes(), "job-" + i);
        }
    }

    /** A leader ended when a suspect waited while another's trial ran on a worker that had not reported to it yet. */
    @Test
    void newLeaderPlacesSuspectsBeforeAllWorkersHaveReported() {
        for (int i = WORKERS; i < 2 * WORKERS; i++) {
            pool.addWorker(i, new Resources(4_000, 8_000, 0));
        }
        pool.run(1_000);
        for (int i = 0; i < 4; i++) {
            submitDeadly("deadly-" + i);
        }
        while (pool.registry.jobs().stream()
                .noneMatch(job -> job.tasks().get(0).state().run() == 2)) {
            pool.run(PoolEmulator.STEP_MS);
        }
        for (Job job : pool.registry.jobs()) {
            if (job.tasks().get(0).state().run() == 2) {
                pool.silence(
                        pool.workers.get(job.tasks().get(0).state().worker().guard()));
            }
        }
        pool.replaceLeader();
        pool.run(40_000);
        for (int i = 0; i < 4; i++) {
            assertEquals(JobStatus.FAILED, job("deadly-" + i).acknowledgedStatus());
        }
    }

    /** A rack that repeatedly loses its power crashes many tasks right after their start, none of which is to blame. */
    @Test
    void lossesOfPowerConvictNoTask() {
        for (int i = 0; i < 5; i++) {
            for (int k = 0; k < 12; k++) {
                submit("job-" + i + "-" + k, 900);
            }
            pool.run(100);
            crashRack(i % 2);
            pool.run(4_500);
        }
        pool.run(15_000);
        for (Job job : pool.registry.jobs()) {
            assertEquals(
                    JobStatus.COMPLETED, job.acknowledgedStatus(), job.spec().id());
        }
    }

    /** A suspect that is tried when its rack loses power is the only suspect on its worker, time after time. */
    @Test
    void suspectIsNotConvictedByLossesOfPower() {
        submit("job", 900);
        for (int i = 0; i < 3; i++) {
            long deadline = pool.nowMs + 5_000;
            while (!task("job").isAssigned() && pool.nowMs < deadline) {
                pool.run(PoolEmulator.STEP_MS);
            }
            String guard = task("job").state().worker().guard();
            crashRack(Integer.parseInt(guard.substring("guard-".length())) / 3);
            pool.run(500);
        }
        pool.run(8_000);
        assertEquals(JobStatus.COMPLETED, job("job").acknowledgedStatus());
    }

    /** Losses of power must not excuse such a task for more starts than are allowed after its third crash. */
    @Test
    void taskThatCrashesItsWorkersDuringLossesOfPowerIsGivenUpInTime() {
        submitDeadly("deadly");
        int steps = MAX_CRASHES * (RESTART_MS + WITHDRAWAL_MS) / PoolEmulator.STEP_MS;
        for (int i = 0; i < steps; i++) {
            int before = pool.crashes();
            pool.run(PoolEmulator.STEP_MS);
            if (pool.crashes() > before) {
                String guard = task("deadly").state().worker().guard();
                crashRack(Integer.parseInt(guard.substring("guard-".length())) / 3);
            }
        }
        assertEquals(JobStatus.FAILED, job("deadly").acknowledgedStatus());
        assertTrue(
                task("deadly").state().run() <= MAX_CRASHES,
                "runs " + task("deadly").state().run());
    }

    /** Standing tasks outlast many workers; giving one up would end a service for good. */
    @Test
    void standingTaskIsNeverGivenUp() {
        JobStep step =
                TestSteps.of(1, size(), 500, List.of()).serving("shop", 100).build();
        pool.submit(new JobSpec("standing", "q", "", List.of(step), 0, 0, 0, pool.nowMs), List.of(1L));
        for (int i = 0; i < 8; i++) {
            pool.run(100);
            FakeWorker worker =
                    pool.workers.get(task("standing").state().worker().guard());
            worker.crash();
            pool.run(RESTART_MS + WITHDRAWAL_MS);
        }
        assertEquals(JobStatus.RUNNING, job("standing").acknowledgedStatus());
        assertTrue(task("standing").isAssigned());
    }

    /** A worker that is only silent may have run on; its tasks have crashed nothing. */
    @Test
    void silenceIsNoCrash() {
        submit("job", 20_000);
        pool.silence(pool.workers.get(task("job").state().worker().guard()));
        pool.run(8_000);
        assertEquals(2, task("job").state().run(), "not restarted after the lease");
        assertEquals(0, task("job").state().crashes());
    }

    /** Runs that have shown progress are not the cause; counting them would mark most of the work as suspect. */
    @Test
    void runWithProgressIsNoSuspect() {
        submit("job", 5_000);
        pool.run(1_500);
        WorkerRef first = task("job").state().worker();
        pool.workers.get(first.guard()).crash();
        pool.run(RESTART_MS);
        assertEquals(0, task("job").state().crashes());
        assertEquals(2, task("job").state().run());
        assertNotEquals(first, task("job").state().worker());
    }

    /**
     * A start that waits for its append has crashed nothing. All tasks that were assigned to the worker were suspects,
     * so that they were tried one by one, and the task that did crash it was not the only suspect.
     */
    @Test
    void runWhoseStartWasNotSentIsNoSuspect() {
        submitDeadly("deadly");
        String guard = task("deadly").state().worker().guard();
        pool.holdsStarts = true;
        for (int i = 0; i < 3 * WORKERS; i++) {
            submit("job-" + i, 600);
        }
        assertTrue(
                pool.registry.jobs().stream()
                                .filter(job -> job.tasks()
                                        .get(0)
                                        .state()
                                        .worker()
                                        .guard()
                                        .equals(guard))
                                .count()
                        > 1,
                "no task waits for its start beside the one that crashes the worker");
        pool.run(1_500);
        pool.holdsStarts = false;
        for (int i = 0; i < 3 * WORKERS; i++) {
            assertEquals(0, task("job-" + i).state().crashes(), "job-" + i);
        }
        assertEquals(1, task("deadly").state().soleCrashes());
    }

    /**
     * Suspects that fit on no worker while others run held the slots of the trials, and the workers with room, for 3 s
     * each, time after time. Another suspect, which fits, waited behind them.
     */
    @Test
    void suspectsThatFitNowhereDoNotHoldUpOthers() {
        for (int i = 0; i < 4; i++) {
            submit("large-" + i, new Resources(4_000, 1_000, 0), 500);
        }
        submit("small-0", 500);
        submit("small-1", 500);
        crashRack(0);
        crashRack(1);
        pool.run(2_000);
        for (Job job : pool.registry.jobs()) {
            assertEquals(1, job.tasks().get(0).state().crashes(), job.spec().id() + " is no suspect");
        }
        for (int i = 0; i < 4 * WORKERS - 3; i++) {
            submit("other-" + i, 60_000);
        }
        pool.run(5_500);
        for (String id : List.of("small-0", "small-1")) {
            assertEquals(JobStatus.COMPLETED, job(id).acknowledgedStatus(), id);
        }
    }

    /** A gang gets no trial, so beside jobs that always begin its crashes never had it as the only suspect. */
    @Test
    void gangThatCrashesItsWorkersBesideFreshJobsIsGivenUp() {
        pool.deadlyTasks.add("gang.0.0.0");
        pool.deadlyTasks.add("gang.0.0.1");
        JobStep step = TestSteps.of(2, size(), 500, List.of()).gang().build();
        pool.submit(new JobSpec("gang", "q", "", List.of(step), 0, 0, 0, pool.nowMs), Arrays.asList(500L, 500L));
        for (int i = 0; i < 300; i++) {
            submit("job-" + i, 300);
            pool.run(100);
        }
        assertTrue(
                task("gang").state().run() <= MAX_CRASHES,
                "runs " + task("gang").state().run());
        assertEquals(JobStatus.FAILED, job("gang").acknowledgedStatus());
    }

    /*
     * Helpers
     */

    /** Waits for the next crash by a task, and replaces the leader, which hears of the worker when it is back. */
    private void crashUnseen(String id) {
        int before = pool.crashes();
        for (int i = 0; i < 100 && pool.crashes() == before; i++) {
            pool.run(PoolEmulator.STEP_MS);
        }
        if (pool.crashes() > before) {
            FakeWorker worker = pool.workers.get(task(id).state().worker().guard());
            pool.silence(worker);
            pool.replaceLeader();
            pool.run(3_100);
            assertFalse(worker.isDown());
            pool.reconnect(worker);
        }
    }

    private void crashRack(int rack) {
        for (int i = 3 * rack; i < 3 * rack + 3; i++) {
            if (!pool.workers.get("guard-" + i).isDown()) {
                pool.workers.get("guard-" + i).crash();
            }
        }
    }

    private void submitDeadly(String id) {
        pool.deadlyTasks.add(id + ".0.0.0");
        submit(id, 500);
    }

    private void submit(String id, long ms) {
        submit(id, size(), ms);
    }

    private void submit(String id, Resources demand, long ms) {
        JobStep step = TestSteps.of(1, demand, ms, List.of()).build();
        pool.submit(new JobSpec(id, "q", "", List.of(step), 0, 0, 0, pool.nowMs), Arrays.asList(ms));
    }

    private Job job(String id) {
        return pool.registry.find(id).orElseThrow();
    }

    private JobTask task(String id) {
        return job(id).tasks().get(0);
    }

    private static Resources size() {
        return new Resources(1_000, 1_000, 0);
    }
}
