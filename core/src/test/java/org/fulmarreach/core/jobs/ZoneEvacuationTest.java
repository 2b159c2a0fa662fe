package org.fulmarreach.core.jobs;

import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import org.fulmarreach.core.jobs.DecisionLog.Decision;
import org.fulmarreach.core.model.Resources;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against starts in a zone that operators have evacuated, by each way in which a leader starts runs, and against
 * moves out of it that take more tasks of a step from work than its limit, or that end a task which finds no room.
 */
class ZoneEvacuationTest {
    private static final EvacuatedZones A = EvacuatedZones.NONE.withEvacuated("a");
    private static final int SETTLE_MS = 2_000;
    private static final int STEP_MS = 50;

    private final SchedulerHarness pool = new SchedulerHarness();

    @Test
    void nothingIsPlacedInAnEvacuatedZone() {
        pool.addWorker("a", 4_000);
        pool.addWorker("b", 4_000);
        evacuate(A);
        pool.submit("job", batch(6));
        pool.elapse(SETTLE_MS);
        assertEquals(Map.of("guard-1", 4L), startsByGuard());
    }

    @Test
    void twoZonesAreEvacuatedAtOnce() {
        pool.addWorker("a", 4_000);
        pool.addWorker("b", 4_000);
        pool.addWorker("c", 4_000);
        evacuate(A.withEvacuated("b"));
        pool.submit("job", batch(6));
        pool.elapse(SETTLE_MS);
        assertEquals(Map.of("guard-2", 4L), startsByGuard());
    }

    @Test
    void gangIsNotPlacedThereInPart() {
        pool.addWorker("a", 1_000);
        pool.addWorker("b", 1_000);
        evacuate(A);
        pool.submit("gang", batch(2).gang());
        pool.elapse(SETTLE_MS);
        assertEquals(List.of(), pool.starts);
    }

    @Test
    void taskThatIsTriedAloneIsNotTriedThere() {
        pool.addWorker("a", 4_000);
        evacuate(A);
        pool.submit("suspect", batch(1)).setCrashes(1, 1);
        pool.elapse(SETTLE_MS);
        assertEquals(List.of(), pool.starts);
    }

    /** A reservation of before the evacuation must not outlive it. */
    @Test
    void trialThatWaitsForItsReservedWorkerIsNotStartedThere() {
        SchedulerHarness.Worker worker = pool.addWorker("a", 1_000);
        worker.percent = 0;
        pool.submit("busy", batch(1));
        pool.elapse(500);
        pool.submit("suspect", batch(1)).setCrashes(1, 1);
        pool.elapse(1_000);
        evacuate(A);
        pool.scheduler.onReport(reportWithoutRuns(worker), pool.nowMs);
        pool.elapse(SETTLE_MS);
        assertFalse(pool.starts.stream().anyMatch(start -> start.task().jobId().equals("suspect")));
    }

    /** The worker got the start and does not list its run: the leader repeated such starts each second. */
    @Test
    void startThatIsNotListedIsWithdrawnInsteadOfRepeated() {
        SchedulerHarness.Worker worker = pool.addWorker("a", 4_000);
        worker.lists = false;
        pool.submit("job", batch(1));
        pool.elapse(600);
        assertEquals(1, pool.starts.size());
        evacuate(A);
        pool.elapse(SETTLE_MS);
        assertEquals(1, pool.starts.size());
        assertTrue(worker.stops > 0, "the start was not withdrawn");
    }

    @Test
    void startThatWaitsForItsAppendIsDropped() {
        pool.addWorker("a", 4_000);
        pool.elapse(500);
        pool.storing = false;
        JobTask task = pool.submit("job", batch(1));
        pool.elapse(100);
        assertTrue(task.isAssigned());
        evacuate(A);
        pool.storing = true;
        pool.elapse(SETTLE_MS);
        assertEquals(List.of(), pool.starts);
        assertFalse(task.isAssigned());
    }

    /** The next leader takes up an assignment of the former one whose start may not have been sent. */
    @Test
    void nextLeaderRepeatsNoStartInTheZone() {
        SchedulerHarness.Worker worker = pool.addWorker("a", 4_000);
        worker.lists = false;
        pool.submit("job", batch(1));
        pool.elapse(600);
        int before = pool.starts.size();
        pool.replaceLeader(A);
        pool.submit("other", batch(2));
        pool.elapse(4_000);
        assertEquals(before, pool.starts.size());
    }

    @Test
    void standingTasksLeaveWithinTheLimitOfTheirStep() {
        List<SchedulerHarness.Worker> inside = List.of(pool.addWorker("a", 4_000), pool.addWorker("a", 4_000));
        JobTask first = pool.submit("serving", standing(6).atMostUnavailable(1));
        pool.elapse(ZoneEvacuation.QUIET_MS);
        for (int i = 0; i < 20; i++) {
            pool.addWorker("b", 4_000);
        }
        pool.elapse(SETTLE_MS);
        assertEquals(6, running(first.job()));
        evacuate(A);
        int least = 6;
        for (int elapsedMs = 0; elapsedMs < 30_000; elapsedMs += STEP_MS) {
            pool.elapse(STEP_MS);
            least = Math.min(least, running(first.job()));
        }
        assertEquals(5, least, "tasks of the step at work at the worst time");
        assertEquals(6, running(first.job()));
        inside.forEach(worker -> assertEquals(Set.of(), SchedulerHarness.runningOn(worker)));
        assertEquals(1, pool.of(Decision.ZONE_EMPTIED).size());
    }

    /** Without a limit a small share of the step moves at a time. */
    @Test
    void stepWithoutALimitLosesAShareOfItsTasksAtATime() {
        pool.addWorker("a", 20_000);
        JobTask first = pool.submit("serving", standing(20));
        pool.elapse(ZoneEvacuation.QUIET_MS);
        for (int i = 0; i < 40; i++) {
            pool.addWorker("b", 4_000);
        }
        pool.elapse(SETTLE_MS);
        evacuate(A);
        int least = 20;
        for (int elapsedMs = 0; elapsedMs < 40_000; elapsedMs += STEP_MS) {
            pool.elapse(STEP_MS);
            least = Math.min(least, running(first.job()));
        }
        assertEquals(18, least);
        assertEquals(1, pool.of(Decision.ZONE_EMPTIED).size());
    }

    @Test
    void standingTasksStayWhereNoOtherZoneHasRoom() {
        SchedulerHarness.Worker inside = pool.addWorker("a", 4_000);
        pool.submit("serving", standing(4).atMostUnavailable(2));
        pool.elapse(ZoneEvacuation.QUIET_MS);
        pool.addWorker("b", 500);
        evacuate(A);
        pool.elapse(10_000);
        assertEquals(0, inside.stops);
        assertEquals(4, SchedulerHarness.runningOn(inside).size());
    }

    @Test
    void nothingIsMovedWhileTheStoreIsAway() {
        SchedulerHarness.Worker inside = pool.addWorker("a", 4_000);
        pool.submit("serving", standing(4).atMostUnavailable(2));
        pool.elapse(ZoneEvacuation.QUIET_MS);
        pool.addWorker("b", 4_000);
        pool.storing = false;
        evacuate(A);
        pool.elapse(10_000);
        assertEquals(0, inside.stops);
    }

    /**
     * The leader's view of a run is as old as the last report: a task that it sees start up may be at work by the time
     * the stop arrives, and so may all others of its step, which were stopped with it.
     */
    @Test
    void tasksThatStartUpAreNotMoved() {
        SchedulerHarness.Worker inside = pool.addWorker("a", 4_000);
        inside.percent = 50;
        pool.elapse(ZoneEvacuation.QUIET_MS);
        pool.submit("serving", standing(4).atMostUnavailable(1));
        pool.elapse(500);
        for (int i = 0; i < 20; i++) {
            pool.addWorker("b", 4_000);
        }
        evacuate(A);
        pool.elapse(SETTLE_MS);
        assertEquals(4, SchedulerHarness.runningOn(inside).size());
        assertEquals(0, inside.stops);
    }

    /** The others of the gang have started and wait for a member whose start was dropped. */
    @Test
    void gangThatTheEvacuationSplitsIsPlacedOutsideAsAWhole() {
        SchedulerHarness.Worker inside = pool.addWorker("a", 1_000);
        SchedulerHarness.Worker outside = pool.addWorker("b", 1_000);
        inside.lists = false;
        JobTask first = pool.submit("gang", batch(2).gang());
        pool.elapse(600);
        assertEquals(2, pool.starts.size());
        evacuate(A);
        pool.addWorker("b", 1_000);
        pool.elapse(4_000);
        assertEquals(2, pool.starts.size(), "a member was started without the others");
        outside.endRuns(RunEnd.BROKEN);
        pool.elapse(SETTLE_MS);
        assertEquals(4, pool.starts.size());
        assertEquals(2, running(first.job()));
    }

    /** A new leader does not know all workers yet. */
    @Test
    void nothingIsMovedInTheFirstSecondsOfATerm() {
        SchedulerHarness.Worker inside = pool.addWorker("a", 4_000);
        pool.submit("serving", standing(4).atMostUnavailable(2));
        pool.elapse(ZoneEvacuation.QUIET_MS);
        pool.addWorker("b", 4_000);
        pool.replaceLeader(A);
        pool.elapse(ZoneEvacuation.QUIET_MS - STEP_MS);
        assertEquals(0, inside.stops);
        pool.elapse(SETTLE_MS);
        assertTrue(inside.stops > 0, "no task was moved");
    }

    /** Other runs may end in the zone: moving them costs the work that they have done. */
    @Test
    void runsThatEndByThemselvesAreNotStopped() {
        SchedulerHarness.Worker inside = pool.addWorker("a", 4_000);
        pool.submit("job", batch(4));
        pool.elapse(ZoneEvacuation.QUIET_MS);
        pool.addWorker("b", 4_000);
        evacuate(A);
        pool.elapse(10_000);
        assertEquals(0, inside.stops);
    }

    @Test
    void zoneThatIsTakenBackIsFilledGradually() {
        SchedulerHarness.Worker worker = pool.addWorker("a", 10_000);
        evacuate(A);
        pool.submit("job", batch(10));
        pool.elapse(SETTLE_MS);
        evacuate(A.withReopened("a", pool.nowMs));
        for (int elapsedMs = 0; elapsedMs < ZoneEvacuation.FILL_MS; elapsedMs += STEP_MS) {
            int started = pool.starts.size();
            assertTrue(started * ZoneEvacuation.FILL_MS <= 10L * elapsedMs, started + " after " + elapsedMs + " ms");
            pool.elapse(STEP_MS);
        }
        pool.elapse(500);
        assertEquals(10, SchedulerHarness.runningOn(worker).size());
        assertEquals(1, pool.of(Decision.ZONE_REOPENED).size());
    }

    /** The members are chosen before the first of them is ordered, so none of them counted for the others. */
    @Test
    void membersOfAGangCountTogetherWhileAZoneIsFilled() {
        pool.addWorker("a", 10_000);
        evacuate(A);
        pool.submit("gang", batch(8).gang());
        pool.elapse(SETTLE_MS);
        evacuate(A.withReopened("a", pool.nowMs));
        pool.elapse(ZoneEvacuation.FILL_MS * 8 / 10 - STEP_MS);
        assertEquals(0, pool.starts.size());
        pool.elapse(500);
        assertEquals(8, pool.starts.size());
    }

    @Test
    void withoutEvacuationsTheOrdersAreTheSame() {
        assertEquals(ordersOf(false), ordersOf(true));
    }

    /** Another zone than those of the workers changes nothing either. */
    private static int ordersOf(boolean evacuating) {
        PoolEmulator emulator = new PoolEmulator(
                7,
                0.2,
                0.4,
                new JobConfig(
                        1,
                        List.of(new JobQueue("q", "h", "/q/", FakeWorker.SERVICE, 0, 2, 3_000, 400, 1.5)),
                        1_000_000));
        for (int i = 0; i < 12; i++) {
            emulator.addWorker(i, new Resources(8_000, 16_000, 0));
        }
        emulator.evacuates = evacuating;
        for (int i = 0; i < 30; i++) {
            JobStep step = i % 5 == 0
                    ? standing(3).serving("s" + i % 3, 50).build()
                    : batch(6).bestEffort("b" + i % 4).build();
            emulator.submit(
                    new JobSpec("job-" + i, "q", "", List.of(step), 0, 0, 0, emulator.nowMs),
                    Collections.nCopies(step.taskCount(), 700L + 90 * i));
            emulator.run(400);
        }
        emulator.run(10_000);
        assertTrue(emulator.startedRuns > 30, "nothing was decided");
        return emulator.ordersHash;
    }

    private void evacuate(EvacuatedZones zones) {
        pool.scheduler.evacuate(zones, pool.nowMs);
    }

    private WorkerReport reportWithoutRuns(SchedulerHarness.Worker worker) {
        return new WorkerReport(
                worker.ref,
                FakeWorker.SERVICE,
                worker.zone,
                worker.capacity,
                worker.labels,
                false,
                true,
                false,
                List.of(),
                List.of(),
                1_000);
    }

    private static int running(Job job) {
        int count = 0;
        for (JobTask task : job.tasks()) {
            count += task.progress().isListed() && task.progress().stopOrderedAtMs() == 0 ? 1 : 0;
        }
        return count;
    }

    private Map<String, Long> startsByGuard() {
        return pool.starts.stream()
                .collect(Collectors.groupingBy(start -> start.worker().guard(), Collectors.counting()));
    }

    private static TestSteps batch(int count) {
        return TestSteps.of(count, new Resources(1_000, 100, 0), 60_000, List.of());
    }

    private static TestSteps standing(int count) {
        return batch(count).longRunning();
    }
}
