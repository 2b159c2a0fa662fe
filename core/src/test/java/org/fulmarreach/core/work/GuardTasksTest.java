package org.fulmarreach.core.work;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import org.fulmarreach.core.admission.TaskAdmission;
import org.fulmarreach.core.model.Resources;
import org.fulmarreach.core.model.TaskId;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against tasks that run after their grant has expired, in two epochs at once, after a refusal, or after their
 * end was reported.
 */
class GuardTasksTest {
    private static final String SHARD = "work-sued-0";
    private static final Resources SIZE = new Resources(1_000, 1_000, 0);
    private static final TaskId TASK = new TaskId("build", 1, 1);

    private final TaskAdmission admission = new TaskAdmission();
    private final GuardTasks tasks = new GuardTasks(7, 5_000, admission);

    GuardTasksTest() {
        admission.setCapacity(new Resources(16_000, 60_000, 0));
    }

    private static StartOrder order(TaskId task, long term, long tickEchoMs) {
        return new StartOrder(SHARD, term, task, "run", SIZE, null, tickEchoMs, 10_000, 7);
    }

    private static AgentTask runningAtAgent(TaskId task) {
        return new AgentTask(task, GuardTaskPhase.RUNNING, SIZE, 5_000, "");
    }

    private GuardTaskPhase phase(TaskId task) {
        return tasks.views().stream()
                .filter(view -> view.task().equals(task))
                .findFirst()
                .orElseThrow()
                .phase();
    }

    private void startRunning(long nowMs) {
        tasks.applyList(List.of(), nowMs, nowMs);
        tasks.start(order(TASK, 1, nowMs), nowMs);
        tasks.onStarted(TASK, nowMs);
        tasks.drainActions();
    }

    @Example
    void expiredGrantStopsTaskBeforeRenewalAndIsNotRenewed() {
        startRunning(0);
        // The process was paused from 1 s to 11 s; the first message afterwards is a renewal with an old tick echo.
        tasks.renew(SHARD, 1, 900, 10_000, List.of(TASK), 11_000);
        assertEquals(List.of(new TaskAction.Stop(TASK, false, true)), tasks.drainActions());
        tasks.renew(SHARD, 1, 11_000, 10_000, List.of(TASK), 11_000);
        assertEquals(GuardTaskPhase.STOPPING, phase(TASK));
    }

    @Example
    void startWithOldTermTickOrIncarnationIsNotExecuted() {
        tasks.applyList(List.of(), 0, 0);
        tasks.fence(SHARD, 5, 0);
        assertFalse(tasks.start(order(TASK, 4, 0), 0));
        tasks.start(order(TASK, 5, 0), 5_001);
        assertEquals(GuardTaskPhase.REFUSED, phase(TASK));
        TaskId other = TASK.withEpoch(2);
        tasks.start(new StartOrder(SHARD, 5, other, "run", SIZE, null, 6_000, 10_000, 6), 6_000);
        assertEquals(1, tasks.views().size());
        assertEquals(List.of(), tasks.drainActions());
    }

    @Example
    void startArrivingAfterStopIsRefusedEvenAfterAcknowledgement() {
        tasks.applyList(List.of(), 0, 0);
        tasks.stop(SHARD, 1, TASK, true, 100);
        assertEquals(GuardTaskPhase.REFUSED, phase(TASK));
        tasks.acknowledge(SHARD, 1, List.of(TASK), 200);
        assertEquals(List.of(), tasks.views());
        tasks.start(order(TASK, 1, 0), 300);
        assertEquals(GuardTaskPhase.REFUSED, phase(TASK));
        assertEquals(List.of(), tasks.drainActions());
    }

    @Example
    void stopSentDuringPendingStartIsInconclusiveAndRepeated() {
        tasks.applyList(List.of(), 0, 0);
        tasks.start(order(TASK, 1, 0), 0);
        tasks.stop(SHARD, 1, TASK, false, 100);
        assertTrue(tasks.drainActions().contains(new TaskAction.Stop(TASK, false, false)));
        tasks.onStarted(TASK, 200);
        assertEquals(List.of(new TaskAction.Stop(TASK, false, true)), tasks.drainActions());
        assertEquals(GuardTaskPhase.STOPPING, phase(TASK));
    }

    @Example
    void listDuringPendingStopDoesNotDiscardCheckpoint() {
        startRunning(0);
        tasks.stop(SHARD, 1, TASK, true, 100);
        assertEquals(List.of(new TaskAction.Stop(TASK, true, true)), tasks.drainActions());
        tasks.applyList(List.of(new AgentTask(TASK, GuardTaskPhase.STOPPED, SIZE, 0, "")), 150, 160);
        tasks.onStopped(TASK, "step-9", 200);
        assertEquals("step-9", tasks.views().get(0).checkpoint());
        assertEquals(GuardTaskPhase.STOPPED, phase(TASK));
    }

    @Example
    void adoptedTaskIsRenewedOnlyAfterRenewalOfItsEpoch() {
        tasks.applyList(List.of(runningAtAgent(TASK)), 0, 0);
        tasks.tick(2_000);
        tasks.renew(SHARD, 1, 2_000, 10_000, List.of(TASK.withEpoch(2)), 2_100);
        tasks.tick(2_200);
        assertEquals(List.of(), tasks.drainActions());
        tasks.renew(SHARD, 1, 2_000, 10_000, List.of(TASK), 2_300);
        tasks.tick(2_400);
        assertEquals(List.of(new TaskAction.Renew(TASK, 5_000)), tasks.drainActions());
    }

    @Example
    void startWithUnknownOutcomeIsNotReportedEndedWhileItMayStillRun() {
        tasks.applyList(List.of(), 0, 0);
        tasks.start(order(TASK, 1, 0), 0);
        tasks.onStartOutcomeUnknown(TASK, 2_000);
        tasks.applyList(List.of(), 7_000, 7_000);
        assertEquals(GuardTaskPhase.STARTING, phase(TASK));
        tasks.applyList(List.of(), 8_001, 8_001);
        assertEquals(GuardTaskPhase.FAILED, phase(TASK));
    }

    /**
     * Applies random orders, pauses, lost answers and restarts; the checks compare the guard with the agent's actual
     * tasks.
     */
    @Property(seed = "4714", tries = 400)
    void noTaskRunsPastItsGrantOrInTwoEpochs(@ForAll long seed) {
        new Simulation(seed).run();
    }

    /** Simulates a guard and its agent; responses of the agent may be late or lost. */
    private static final class Simulation {
        private static final int WORKER_LEASE_MS = 5_000;

        private final Random random;
        private final Map<TaskId, Long> agentLeases = new HashMap<>();
        private final Map<TaskId, Long> grants = new HashMap<>();
        private final Map<TaskId, GuardTaskPhase> reported = new HashMap<>();
        private final List<Runnable> inFlight = new ArrayList<>();
        private GuardTasks guard;
        private long nowMs = 100_000;
        private long epoch;
        private long incarnation = 6;
        private long epochIncarnation;

        Simulation(long seed) {
            random = new Random(seed);
            restart();
        }

        private void restart() {
            TaskAdmission admission = new TaskAdmission();
            admission.setCapacity(new Resources(16_000, 60_000, 0));
            incarnation++;
            guard = new GuardTasks(incarnation, WORKER_LEASE_MS, admission);
            inFlight.clear();
            listNow();
        }

        private void listNow() {
            long askedMs = nowMs;
            List<AgentTask> list = agentLeases.keySet().stream()
                    .map(GuardTasksTest::runningAtAgent)
                    .toList();
            inFlight.add(() -> guard.applyList(list, askedMs, nowMs));
        }

        void run() {
            for (int i = 0; i < 200; i++) {
                nowMs += random.nextInt(20) == 0 ? random.nextInt(15_000) : random.nextInt(300);
                agentLeases.values().removeIf(untilMs -> untilMs <= nowMs);
                step();
                for (TaskAction action : guard.drainActions()) {
                    send(action);
                }
                while (!inFlight.isEmpty() && random.nextInt(3) > 0) {
                    inFlight.remove(random.nextInt(inFlight.size())).run();
                    guard.drainActions().forEach(this::send);
                }
                check();
            }
        }

        private void step() {
            TaskId task = new TaskId("build", 1, Math.max(1, epoch - random.nextInt(2)));
            long tickMs = nowMs - random.nextInt(6_000);
            switch (random.nextInt(9)) {
                case 0, 1 -> startNext(tickMs);
                case 2, 3 -> {
                    grants.merge(task, tickMs + 10_000, Math::max);
                    guard.renew(SHARD, 1, tickMs, 10_000, List.of(task), nowMs);
                }
                case 4 -> guard.stop(SHARD, 1, task, true, nowMs);
                case 5 -> listNow();
                case 6 -> {
                    if (random.nextInt(10) == 0) {
                        restart();
                    }
                }
                default -> guard.tick(nowMs);
            }
        }

        /**
         * Behaves as a leader: starts a new epoch only after the old one was reported as ended or its grants have
         * expired.
         */
        private void startNext(long tickMs) {
            TaskId old = new TaskId("build", 1, epoch);
            boolean ended = reported.containsKey(old) && reported.get(old).isFinal();
            boolean expired = grants.getOrDefault(old, 0L) + WORKER_LEASE_MS + 1_000 <= nowMs;
            if (epoch == 0 || ended || expired) {
                epoch++;
                epochIncarnation = incarnation;
            }
            TaskId task = new TaskId("build", 1, epoch);
            grants.merge(task, tickMs + 10_000, Math::max);
            guard.start(new StartOrder(SHARD, 1, task, "run", SIZE, null, tickMs, 10_000, epochIncarnation), nowMs);
        }

        private void send(TaskAction action) {
            switch (action) {
                case TaskAction.Start start -> {
                    agentLeases.put(start.task(), nowMs + start.leaseMs());
                    boolean lost = random.nextInt(4) == 0;
                    inFlight.add(() -> {
                        if (lost) {
                            guard.onStartOutcomeUnknown(start.task(), nowMs);
                        } else {
                            guard.onStarted(start.task(), nowMs);
                        }
                    });
                }
                case TaskAction.Renew renew -> {
                    assertTrue(
                            nowMs + renew.leaseMs() <= grants.get(renew.task()),
                            "lease renewed past the end of the grant");
                    agentLeases.computeIfPresent(renew.task(), (task, old) -> nowMs + renew.leaseMs());
                }
                case TaskAction.Stop stop -> {
                    agentLeases.remove(stop.task());
                    if (stop.conclusive()) {
                        inFlight.add(() -> guard.onStopped(stop.task(), null, nowMs));
                    }
                }
            }
        }

        private void check() {
            assertTrue(agentLeases.size() <= 1, "two epochs run at the same time: " + agentLeases);
            reported.clear();
            for (GuardTaskView view : guard.views()) {
                reported.put(view.task(), view.phase());
                boolean runs = agentLeases.containsKey(view.task());
                assertFalse(runs && view.phase().isFinal(), view + " is reported as ended but still runs");
            }
            agentLeases.forEach((task, untilMs) -> assertTrue(
                    untilMs <= grants.get(task),
                    task + " has a lease past the end of its grant " + grants + " at " + nowMs));
        }
    }
}
