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

/** A VM with its guard and worker agent, on clocks of its own. The worker runs a task until its lease lapses. */
final class FakeGuard {
    private static final long WORKER_LEASE_MS = 5_000;

    /** A task at the worker agent; it survives the guard. */
    static final class Running {
        long leaseUntilMs;
        long progressMs;
    }

    private static final class Known {
        TaskReport.Phase phase;
        long grantUntilTick;
        String checkpoint;
    }

    final World world;
    Vm vm;
    final long clockOffsetMs;
    final Map<TaskId, Running> worker = new LinkedHashMap<>();
    private final Map<TaskId, Known> known = new LinkedHashMap<>();
    private final Set<TaskId> seen = new HashSet<>();
    private long highestTerm = -1;
    long incarnation = 1;
    long pausedUntilMs;
    boolean dead;
    boolean failing;
    boolean asksForEviction;
    boolean full;
    long batchMs = 20_000;

    FakeGuard(World world, String id, String rack, String zone, long clockOffsetMs) {
        this.world = world;
        this.vm = new Vm(id, rack, new AvailabilityZone(zone, new Region("sued")), new Resources(16_000, 64_000, 0));
        this.clockOffsetMs = clockOffsetMs;
    }

    long tick() {
        return world.nowMs + clockOffsetMs;
    }

    boolean awake() {
        return !dead && world.nowMs >= pausedUntilMs;
    }

    /** Runs the worker, which goes on while the guard is paused or dead but not without its VM. */
    void runWorker(long stepMs) {
        worker.entrySet().removeIf(entry -> entry.getValue().leaseUntilMs <= world.nowMs);
        worker.forEach((task, running) -> running.progressMs += stepMs);
    }

    /** Keeps the tasks whose grants are valid and stops the others. */
    void keepTasks() {
        known.forEach((task, state) -> {
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
            } else if (running.leaseUntilMs - world.nowMs < WORKER_LEASE_MS - 1_000) {
                running.leaseUntilMs = world.nowMs + WORKER_LEASE_MS;
            }
        });
    }

    GuardReport report() {
        List<TaskReport> tasks = new ArrayList<>();
        int used = 0;
        for (Map.Entry<TaskId, Known> entry : known.entrySet()) {
            Known state = entry.getValue();
            used += state.phase.isFinal() ? 0 : 1_000;
            tasks.add(new TaskReport(
                    entry.getKey(),
                    state.phase,
                    state.checkpoint,
                    asksForEviction && !state.phase.isFinal() ? "EVICTION_NEEDED: no relief" : null,
                    new Resources(1_000, 1_000, 0),
                    1,
                    highestTerm,
                    world.shardName()));
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
                    Known state = known.get(task);
                    if (state != null) {
                        state.grantUntilTick = Math.max(state.grantUntilTick, renew.tickEchoMs() + renew.leaseMs());
                    }
                });
            case GuardMessage.Stop stop -> {
                Known state = known.get(stop.task());
                if (state != null && !state.phase.isFinal()) {
                    stop(stop.task(), state);
                } else if (seen.add(stop.task())) {
                    put(stop.task(), TaskReport.Phase.REFUSED);
                }
            }
            case GuardMessage.Acknowledge acknowledge ->
                acknowledge.tasks().forEach(task -> {
                    if (known.containsKey(task) && known.get(task).phase.isFinal()) {
                        known.remove(task);
                    }
                });
            case GuardMessage.Fence fence -> {
                // The term has been taken above.
            }
        }
    }

    void restart() {
        incarnation++;
        known.clear();
        seen.clear();
        highestTerm = -1;
        worker.keySet().forEach(task -> put(task, TaskReport.Phase.RUNNING));
    }

    void setCapacity(Resources capacity) {
        vm = new Vm(vm.id(), vm.rack(), vm.zone(), capacity);
    }

    void loseVm() {
        dead = true;
        worker.clear();
    }

    private void start(GuardMessage.Start start) {
        if (start.guardIncarnation() != incarnation || !seen.add(start.task())) {
            return;
        }
        if (tick() - start.tickEchoMs() > 5_000) {
            put(start.task(), TaskReport.Phase.REFUSED);
        } else if (full) {
            put(start.task(), TaskReport.Phase.REFUSED);
        } else if (failing) {
            world.failedStarts++;
            put(start.task(), TaskReport.Phase.FAILED);
        } else {
            put(start.task(), TaskReport.Phase.RUNNING).grantUntilTick = start.tickEchoMs() + start.leaseMs();
            Running running = new Running();
            running.leaseUntilMs = world.nowMs + WORKER_LEASE_MS;
            running.progressMs = start.checkpoint() == null ? 0 : Long.parseLong(start.checkpoint());
            worker.put(start.task(), running);
            world.onStarted(start.task(), vm.id(), start.checkpoint());
        }
    }

    private void stop(TaskId task, Known state) {
        Running running = worker.remove(task);
        state.phase = TaskReport.Phase.STOPPED;
        state.checkpoint = running == null ? null : String.valueOf(running.progressMs);
    }

    private Known put(TaskId task, TaskReport.Phase phase) {
        Known state = new Known();
        state.phase = phase;
        seen.add(task);
        known.put(task, state);
        return state;
    }
}
