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
 * What the leader of a shard tells the guards. Called only while the leader may grant. Not thread-safe; owned by its
 * {@link ShardLeader}.
 */
final class GuardDialogue {
    /** A grant is renewed after this long, so that several messages may be lost before it lapses. */
    private static final long RENEW_EVERY_MS = 1_000;

    private static final long REPEAT_MS = 1_000;

    /** Starts are repeated for this long; after that the task is refused instead, so that the run is free again. */
    private static final long START_REPEATS_MS = 3_000;

    /** A new leader may know a rule later than its predecessor, by the bound for rules to be in force. */
    private static final long RULES_LAG_MS = 15_000;

    private final ShardId shard;
    private final WorkTimes times;
    private final ShardState fold;
    private final Scheduler scheduler;
    private final Placements placements;
    private final Map<RunKey, Long> startableFromMs;
    private final InvariantCheck invariants;
    private final Consumer<Action> out;

    GuardDialogue(
            ShardId shard,
            WorkTimes times,
            ShardState fold,
            Scheduler scheduler,
            Placements placements,
            Map<RunKey, Long> startableFromMs,
            InvariantCheck invariants,
            Consumer<Action> out) {
        this.shard = shard;
        this.times = times;
        this.fold = fold;
        this.scheduler = scheduler;
        this.placements = placements;
        this.startableFromMs = startableFromMs;
        this.invariants = invariants;
        this.out = out;
    }

    /** Answers a heartbeat: fences the guard, renews and stops tasks, and acknowledges final reports. */
    void answer(GuardSlot slot, boolean mayStart, long nowMs) {
        GuardReport report = slot.report();
        String vm = report.vm().id();
        if (slot.fencedTerm < fold.term()) {
            slot.fencedTerm = fold.term();
            send(vm, new GuardMessage.Fence(fold.term()));
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
                answerRunning(vm, task, placement, renewed, nowMs);
            }
        }
        if (!renewed.isEmpty() && nowMs - slot.renewedMs >= RENEW_EVERY_MS) {
            slot.renewedMs = nowMs;
            renewed.forEach(task -> placements.find(task).lastGrantMs = nowMs);
            send(vm, new GuardMessage.Renew(fold.term(), report.tickMs(), times.grantMs(), renewed));
        }
        if (!acknowledged.isEmpty()) {
            send(vm, new GuardMessage.Acknowledge(fold.term(), acknowledged));
        }
        for (Placement placement : placements.findOn(vm)) {
            if (report.find(placement.task) == null) {
                answerUnknown(report, placement, mayStart, nowMs);
            }
        }
    }

    /** Starts what has been read back as assigned, without waiting for the next heartbeat. */
    void startPlaced(Placement placement, GuardSlot slot, boolean mayStart, long nowMs) {
        if (slot != null && slot.isReachable(nowMs) && slot.report().find(placement.task) == null) {
            answerUnknown(slot.report(), placement, mayStart, nowMs);
        }
    }

    // Helpers

    private boolean isOfShard(TaskReport task) {
        if (!task.shard().isEmpty()) {
            return task.shard().equals(shard.name());
        }
        // A restarted guard lists the tasks of its worker without their shards.
        return shard.owns(task.task().work(), shard.region());
    }

    private void answerUnplaced(String vm, TaskReport task, List<TaskId> acknowledged) {
        if (task.phase().isFinal()) {
            acknowledged.add(task.task());
        } else {
            send(vm, new GuardMessage.Stop(fold.term(), task.task(), false));
        }
    }

    private void answerRunning(String vm, TaskReport task, Placement placement, List<TaskId> renewed, long nowMs) {
        WorkEntry entry = fold.find(RunKey.of(task.task()));
        boolean unwanted = entry.phase() == WorkPhase.CANCELLED
                || isStandingWithoutRule(entry) && nowMs - placement.knownSinceMs >= RULES_LAG_MS;
        boolean evicting = entry.phase() == WorkPhase.EVICTING;
        if (placement.inherited && task.term() >= fold.term()) {
            // An earlier leader's grant may have arrived until the guard saw this term, which was before now.
            placement.inherited = false;
            placement.lastGrantMs = nowMs;
        }
        if (task.phase() == TaskReport.Phase.RUNNING && placement.runningSinceMs == Placement.NEVER) {
            placement.runningSinceMs = nowMs;
        }
        if ((unwanted || evicting) && nowMs - placement.lastStopMs >= REPEAT_MS) {
            placement.lastStopMs = nowMs;
            boolean withCheckpoint = entry.phase() != WorkPhase.CANCELLED;
            send(vm, new GuardMessage.Stop(fold.term(), task.task(), withCheckpoint));
        }
        if (!unwanted && !placement.released) {
            renewed.add(task.task());
        }
    }

    private boolean isStandingWithoutRule(WorkEntry entry) {
        return entry.key().standing() && !(scheduler.findRule(entry.task().work()) instanceof StandingRule);
    }

    private void answerUnknown(GuardReport report, Placement placement, boolean mayStart, long nowMs) {
        WorkEntry entry = fold.find(RunKey.of(placement.task));
        if (placement.released || report.incarnation() != entry.guardIncarnation()) {
            return;
        }
        boolean fresh = placement.firstStartMs == Placement.NEVER || nowMs - placement.firstStartMs <= START_REPEATS_MS;
        boolean startable = !placement.inherited && entry.phase() == WorkPhase.ASSIGNED && fresh;
        if (startable) {
            if (mayStart && nowMs - placement.lastStartMs >= REPEAT_MS) {
                start(report, placement, entry, nowMs);
            }
            return;
        }
        // A start under way is refused by the guard once its tick echo is too old, or after this stop.
        boolean overdue = placement.lastStartTickMs == Placement.NEVER
                || report.tickMs() - placement.lastStartTickMs > times.startEchoMs();
        if (overdue && nowMs - placement.lastStopMs >= REPEAT_MS) {
            placement.lastStopMs = nowMs;
            send(placement.vm, new GuardMessage.Stop(fold.term(), placement.task, false));
        }
    }

    private void start(GuardReport report, Placement placement, WorkEntry entry, long nowMs) {
        Rule rule = scheduler.findRule(entry.task().work());
        if (rule == null) {
            placement.firstStartMs = nowMs - START_REPEATS_MS - 1;
            return;
        }
        long fromMs = startableFromMs.getOrDefault(entry.key(), nowMs);
        invariants.check(
                nowMs >= fromMs,
                "I2",
                "start of " + placement.task + " is " + (fromMs - nowMs) + " ms before the last grant has lapsed");
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
                        fold.term(),
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
        out.accept(new Action.ToGuard(vm, message));
    }
}
