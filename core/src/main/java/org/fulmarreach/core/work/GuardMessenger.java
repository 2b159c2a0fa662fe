package org.fulmarreach.core.work;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import org.fulmarreach.core.model.TaskId;
import org.fulmarreach.core.rules.BatchRule;
import org.fulmarreach.core.rules.Rule;
import org.fulmarreach.core.rules.StandingRule;

/**
 * Decides which messages the leader of a shard sends to the guards. Called only while the leader may issue grants. Not
 * thread-safe; owned by its {@link ShardLeader}.
 */
final class GuardMessenger {
    /** Short enough for several renewal messages to be lost before a grant expires. */
    private static final long RENEW_INTERVAL_MS = 1_000;

    private static final long RETRY_INTERVAL_MS = 1_000;

    /**
     * Starts are retried for this long; after that the guard is told to refuse the task, so that the run can be placed
     * again.
     */
    private static final long START_RETRY_WINDOW_MS = 3_000;

    /**
     * A new leader may learn of a rule later than its predecessor, by up to the time limit for rules to take effect.
     */
    private static final long MAX_RULES_DELAY_MS = 15_000;

    private final ShardId shard;
    private final WorkTimes times;
    private final ShardState state;
    private final Scheduler scheduler;
    private final Placements placements;
    private final Map<RunKey, Long> earliestStartMs;
    private final InvariantCheck invariants;
    private final Consumer<Action> actions;

    GuardMessenger(
            ShardId shard,
            WorkTimes times,
            ShardState state,
            Scheduler scheduler,
            Placements placements,
            Map<RunKey, Long> earliestStartMs,
            InvariantCheck invariants,
            Consumer<Action> actions) {
        this.shard = shard;
        this.times = times;
        this.state = state;
        this.scheduler = scheduler;
        this.placements = placements;
        this.earliestStartMs = earliestStartMs;
        this.invariants = invariants;
        this.actions = actions;
    }

    /** Answers a heartbeat: fences the guard, renews and stops tasks, and acknowledges final reports. */
    void answerHeartbeat(TrackedGuard guard, boolean mayStart, long nowMs) {
        GuardReport report = guard.report();
        String vm = report.vm().id();
        if (guard.fencedTerm < state.term()) {
            guard.fencedTerm = state.term();
            send(vm, new GuardMessage.Fence(state.term()));
        }
        List<TaskId> renewed = new ArrayList<>();
        List<TaskId> acknowledged = new ArrayList<>();
        for (TaskReport task : report.tasks()) {
            if (!isOfShard(task)) {
                continue;
            }
            Placement placement = placements.find(task.task());
            if (placement == null || !placement.vm.equals(vm)) {
                answerUnplaced(vm, task, acknowledged);
            } else if (!task.phase().isFinal()) {
                answerLive(vm, task, placement, renewed, nowMs);
            }
        }
        if (!renewed.isEmpty() && nowMs - guard.renewedMs >= RENEW_INTERVAL_MS) {
            guard.renewedMs = nowMs;
            renewed.forEach(task -> placements.find(task).lastGrantMs = nowMs);
            send(vm, new GuardMessage.Renew(state.term(), report.tickMs(), times.grantMs(), renewed));
        }
        if (!acknowledged.isEmpty()) {
            send(vm, new GuardMessage.Acknowledge(state.term(), acknowledged));
        }
        for (Placement placement : placements.findOn(vm)) {
            if (report.find(placement.task) == null) {
                answerUnreported(report, placement, mayStart, nowMs);
            }
        }
    }

    /** Starts a task whose assignment has been read back from the log, without waiting for the next heartbeat. */
    void startPlaced(Placement placement, TrackedGuard guard, boolean mayStart, long nowMs) {
        if (guard != null && guard.isReachable(nowMs) && guard.report().find(placement.task) == null) {
            answerUnreported(guard.report(), placement, mayStart, nowMs);
        }
    }

    // Helpers

    private boolean isOfShard(TaskReport task) {
        if (!task.shard().isEmpty()) {
            return task.shard().equals(shard.name());
        }
        // A restarted guard reports the tasks of its worker without their shards.
        return shard.owns(task.task().work(), shard.region());
    }

    private void answerUnplaced(String vm, TaskReport task, List<TaskId> acknowledged) {
        if (task.phase().isFinal()) {
            acknowledged.add(task.task());
        } else {
            send(vm, new GuardMessage.Stop(state.term(), task.task(), false));
        }
    }

    private void answerLive(String vm, TaskReport task, Placement placement, List<TaskId> renewed, long nowMs) {
        WorkEntry entry = state.find(RunKey.of(task.task()));
        boolean unwanted = entry.phase() == WorkPhase.CANCELLED
                || isStandingWithoutRule(entry) && nowMs - placement.knownSinceMs >= MAX_RULES_DELAY_MS;
        boolean evicting = entry.phase() == WorkPhase.EVICTING;
        if (placement.inherited && task.term() >= state.term()) {
            // The guard accepted grants of earlier leaders until it saw this term, which was no later than now.
            placement.inherited = false;
            placement.lastGrantMs = nowMs;
        }
        if (task.phase() == TaskReport.Phase.RUNNING && placement.runningSinceMs == Placement.NEVER) {
            placement.runningSinceMs = nowMs;
        }
        if ((unwanted || evicting) && nowMs - placement.lastStopMs >= RETRY_INTERVAL_MS) {
            placement.lastStopMs = nowMs;
            boolean withCheckpoint = entry.phase() != WorkPhase.CANCELLED;
            send(vm, new GuardMessage.Stop(state.term(), task.task(), withCheckpoint));
        }
        if (!unwanted && !placement.released) {
            renewed.add(task.task());
        }
    }

    private boolean isStandingWithoutRule(WorkEntry entry) {
        return entry.key().standing() && !(scheduler.findRule(entry.task().work()) instanceof StandingRule);
    }

    private void answerUnreported(GuardReport report, Placement placement, boolean mayStart, long nowMs) {
        WorkEntry entry = state.find(RunKey.of(placement.task));
        if (placement.released || report.incarnation() != entry.guardIncarnation()) {
            return;
        }
        boolean withinRetryWindow =
                placement.firstStartMs == Placement.NEVER || nowMs - placement.firstStartMs <= START_RETRY_WINDOW_MS;
        boolean startable = !placement.inherited && entry.phase() == WorkPhase.ASSIGNED && withinRetryWindow;
        if (startable) {
            if (mayStart && nowMs - placement.lastStartMs >= RETRY_INTERVAL_MS) {
                start(report, placement, entry, nowMs);
            }
            return;
        }
        // The guard refuses a delayed start once its tick echo is too old, or after this stop.
        boolean overdue = placement.lastStartTickMs == Placement.NEVER
                || report.tickMs() - placement.lastStartTickMs > times.startEchoMs();
        if (overdue && nowMs - placement.lastStopMs >= RETRY_INTERVAL_MS) {
            placement.lastStopMs = nowMs;
            send(placement.vm, new GuardMessage.Stop(state.term(), placement.task, false));
        }
    }

    private void start(GuardReport report, Placement placement, WorkEntry entry, long nowMs) {
        Rule rule = scheduler.findRule(entry.task().work());
        if (rule == null) {
            placement.firstStartMs = nowMs - START_RETRY_WINDOW_MS - 1;
            return;
        }
        long fromMs = earliestStartMs.getOrDefault(entry.key(), nowMs);
        invariants.check(
                nowMs >= fromMs,
                "I2",
                "start of " + placement.task + " is " + (fromMs - nowMs) + " ms before earlier grants have expired");
        if (placement.firstStartMs == Placement.NEVER) {
            placement.firstStartMs = nowMs;
        }
        placement.lastStartMs = nowMs;
        placement.lastStartTickMs = report.tickMs();
        placement.lastGrantMs = nowMs;
        String command = rule instanceof BatchRule batch ? batch.task() : ((StandingRule) rule).task();
        send(
                placement.vm,
                new GuardMessage.Start(
                        state.term(),
                        placement.task,
                        command,
                        scheduler.estimateSize(rule),
                        entry.checkpoint(),
                        report.tickMs(),
                        times.grantMs(),
                        rule.member().name(),
                        entry.guardIncarnation(),
                        entry.key().standing()));
    }

    private void send(String vm, GuardMessage message) {
        actions.accept(new Action.ToGuard(vm, message));
    }
}
