package org.fulmarreach.core.work;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.fulmarreach.core.model.AvailabilityZone;
import org.fulmarreach.core.model.Region;
import org.fulmarreach.core.model.Resources;
import org.fulmarreach.core.model.TaskId;
import org.fulmarreach.core.model.Vm;

/**
 * A simulated VM with its guard and worker agent; the guard has its own clock offset. The worker runs a task until the
 * task's lease expires.
 */
final class FakeGuard {
    private static final long WORKER_LEASE_MS = 5_000;

    /** A task at the worker agent; it continues to run if the guard crashes or restarts. */
    static final class Running {
        long leaseUntilMs;
        long progressMs;
    }

    /** State of a task at the guard; lost when the guard restarts. */
    private static final class GuardTaskState {
        TaskReport.Phase phase;
        long grantUntilTick;
        String checkpoint;
    }

    final RegionSimulation simulation;
    Vm vm;
    final long clockOffsetMs;
    final Map<TaskId, Running> worker = new LinkedHashMap<>();
    private final Map<TaskId, GuardTaskState> taskStates = new LinkedHashMap<>();
    private final Set<TaskId> seenTasks = new HashSet<>();
    private long highestTerm = -1;
    long incarnation = 1;
    long pausedUntilMs;
    boolean crashed;
    boolean failsStarts;
    boolean requestsEviction;
    boolean refusesStarts;
    long batchMs = 20_000;

    FakeGuard(RegionSimulation simulation, String id, String rack, String zone, long clockOffsetMs) {
        this.simulation = simulation;
        this.vm = new Vm(id, rack, new AvailabilityZone(zone, new Region("sued")), new Resources(16_000, 64_000, 0));
        this.clockOffsetMs = clockOffsetMs;
    }

    long tick() {
        return simulation.nowMs + clockOffsetMs;
    }

    boolean isRunning() {
        return !crashed && simulation.nowMs >= pausedUntilMs;
    }

    /** Advances the worker, which continues while the guard is paused or has crashed, but not after the VM is lost. */
    void runWorker(long stepMs) {
        worker.entrySet().removeIf(entry -> entry.getValue().leaseUntilMs <= simulation.nowMs);
        worker.forEach((task, running) -> running.progressMs += stepMs);
    }

    /** Renews tasks with valid grants, stops tasks whose grants have expired, and completes finished batch tasks. */
    void updateTasks() {
        taskStates.forEach((task, state) -> {
            if (state.phase.isFinal()) {
                return;
            }
            Running running = worker.get(task);
            if (running == null) {
                state.phase = TaskReport.Phase.STOPPED;
            } else if (tick() >= state.grantUntilTick) {
                stop(task, state);
            } else if (task.run() != RunKey.STANDING && running.progressMs >= batchMs) {
                worker.remove(task);
                state.phase = TaskReport.Phase.SUCCEEDED;
            } else if (running.leaseUntilMs - simulation.nowMs < WORKER_LEASE_MS - 1_000) {
                running.leaseUntilMs = simulation.nowMs + WORKER_LEASE_MS;
            }
        });
    }

    GuardReport report() {
        List<TaskReport> tasks = new ArrayList<>();
        int used = 0;
        for (Map.Entry<TaskId, GuardTaskState> entry : taskStates.entrySet()) {
            GuardTaskState state = entry.getValue();
            used += state.phase.isFinal() ? 0 : 1_000;
            tasks.add(new TaskReport(
                    entry.getKey(),
                    state.phase,
                    state.checkpoint,
                    requestsEviction && !state.phase.isFinal() ? "EVICTION_NEEDED: no relief" : null,
                    new Resources(1_000, 1_000, 0),
                    1,
                    highestTerm,
                    simulation.shardName()));
        }
        Resources free = vm.capacity().minus(new Resources(used, used, 0));
        return new GuardReport(vm, "bestellung", incarnation, tick(), true, false, free, tasks);
    }

    void receive(GuardMessage message) {
        if (message.term() < highestTerm) {
            return;
        }
        highestTerm = message.term();
        switch (message) {
            case GuardMessage.Start start -> start(start);
            case GuardMessage.Renew renew ->
                renew.tasks().forEach(task -> {
                    GuardTaskState state = taskStates.get(task);
                    if (state != null) {
                        state.grantUntilTick = Math.max(state.grantUntilTick, renew.tickEchoMs() + renew.leaseMs());
                    }
                });
            case GuardMessage.Stop stop -> {
                GuardTaskState state = taskStates.get(stop.task());
                if (state != null && !state.phase.isFinal()) {
                    stop(stop.task(), state);
                } else if (seenTasks.add(stop.task())) {
                    put(stop.task(), TaskReport.Phase.REFUSED);
                }
            }
            case GuardMessage.Acknowledge acknowledge ->
                acknowledge.tasks().forEach(task -> {
                    if (taskStates.containsKey(task)
                            && taskStates.get(task).phase.isFinal()) {
                        taskStates.remove(task);
                    }
                });
            case GuardMessage.Fence fence -> {
                // The term was already recorded above.
            }
        }
    }

    void restart() {
        incarnation++;
        taskStates.clear();
        seenTasks.clear();
        highestTerm = -1;
        worker.keySet().forEach(task -> put(task, TaskReport.Phase.RUNNING));
    }

    void setCapacity(Resources capacity) {
        vm = new Vm(vm.id(), vm.rack(), vm.zone(), capacity);
    }

    void loseVm() {
        crashed = true;
        worker.clear();
    }

    private void start(GuardMessage.Start start) {
        if (start.guardIncarnation() != incarnation || !seenTasks.add(start.task())) {
            return;
        }
        if (tick() - start.tickEchoMs() > 5_000) {
            put(start.task(), TaskReport.Phase.REFUSED);
        } else if (refusesStarts) {
            put(start.task(), TaskReport.Phase.REFUSED);
        } else if (failsStarts) {
            simulation.failedStarts++;
            put(start.task(), TaskReport.Phase.FAILED);
        } else {
            put(start.task(), TaskReport.Phase.RUNNING).grantUntilTick = start.tickEchoMs() + start.leaseMs();
            Running running = new Running();
            running.leaseUntilMs = simulation.nowMs + WORKER_LEASE_MS;
            running.progressMs = start.checkpoint() == null ? 0 : Long.parseLong(start.checkpoint());
            worker.put(start.task(), running);
            simulation.onStarted(start.task(), vm.id(), start.checkpoint());
        }
    }

    private void stop(TaskId task, GuardTaskState state) {
        Running running = worker.remove(task);
        state.phase = TaskReport.Phase.STOPPED;
        state.checkpoint = running == null ? null : String.valueOf(running.progressMs);
    }

    private GuardTaskState put(TaskId task, TaskReport.Phase phase) {
        GuardTaskState state = new GuardTaskState();
        state.phase = phase;
        seenTasks.add(task);
        taskStates.put(task, state);
        return state;
    }
}
