package org.fulmarreach.core.work;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Decides which live placements have ended, and which are to be evicted. Not thread-safe; owned by its
 * {@link ShardLeader}.
 */
final class Releases {
    /** Grace for a guard that was never asked to start the task; its connection may only be changing. */
    private static final long UNSTARTED_GRACE_MS = 3_000;

    /** Standing work that ran this long before it failed was interrupted; that is no failed start. */
    private static final long STABLE_RUN_MS = 60_000;

    private static final double LOWEST_SHARE = 0.1;
    private static final long LOW_THROTTLE_MS = 30_000;
    private static final long EVICTION_PAUSE_MS = 60_000;

    private final WorkTimes times;
    private final ShardState fold;
    private final Scheduler scheduler;
    private final Takeover takeover;
    private final Map<String, GuardSlot> guards;
    private final Placements placements;
    private final Map<RunKey, Long> startableFromMs;
    private final Consumer<Action> out;
    private final Map<String, Long> evictedMsByVm = new HashMap<>();

    Releases(
            WorkTimes times,
            ShardState fold,
            Scheduler scheduler,
            Takeover takeover,
            Map<String, GuardSlot> guards,
            Placements placements,
            Map<RunKey, Long> startableFromMs,
            Consumer<Action> out) {
        this.times = times;
        this.fold = fold;
        this.scheduler = scheduler;
        this.takeover = takeover;
        this.guards = guards;
        this.placements = placements;
        this.startableFromMs = startableFromMs;
        this.out = out;
    }

    /**
     * Finds the placements that have ended. They get no grant from now on.
     *
     * @param timed whether time alone may end a placement; not right after a pause, when heartbeats may be waiting
     */
    List<WorkDecision> findEnded(boolean timed, long nowMs) {
        List<WorkDecision> decisions = new ArrayList<>();
        for (Placement placement : placements.all()) {
            GuardSlot slot = guards.get(placement.vm);
            TaskReport report = slot == null ? null : slot.report().find(placement.task);
            WorkDecision decision = null;
            if (report != null && report.phase().isFinal()) {
                decision = endReported(placement, report, nowMs);
            } else if (slot != null && report == null && isRestarted(slot, placement)) {
                startableFromMs.put(RunKey.of(placement.task), nowMs);
                decision = new WorkDecision.Stopped(placement.task, null, "its guard restarted without it");
            } else if (timed && (slot == null || !slot.isReachable(nowMs))) {
                decision = endTimed(placement, nowMs);
            }
            if (decision != null) {
                placement.released = true;
                decisions.add(decision);
            }
        }
        return decisions;
    }

    /** Finds the tasks to evict: at most one for each VM, and only after a long time at the lowest throttle share. */
    List<WorkDecision> findEvictions(long nowMs) {
        List<WorkDecision> decisions = new ArrayList<>();
        Set<String> vms = new HashSet<>();
        for (Placement placement : placements.all()) {
            GuardSlot slot = guards.get(placement.vm);
            TaskReport report = slot == null ? null : slot.report().find(placement.task);
            boolean low = report != null
                    && report.phase() == TaskReport.Phase.RUNNING
                    && report.throttleShare() <= LOWEST_SHARE;
            if (!low) {
                placement.lowThrottleSinceMs = Placement.NEVER;
            } else if (placement.lowThrottleSinceMs == Placement.NEVER) {
                placement.lowThrottleSinceMs = nowMs;
            } else if (isEvictable(placement, slot, nowMs) && vms.add(placement.vm)) {
                evictedMsByVm.put(placement.vm, nowMs);
                scheduler.observeEviction(RunKey.of(placement.task), placement.vm);
                decisions.add(new WorkDecision.EvictIntent(placement.task));
                out.accept(
                        new Action.Notify(WorkNotice.EVICTED, "work=" + placement.task.work() + " vm=" + placement.vm));
            }
        }
        return decisions;
    }

    // Helpers

    private boolean isRestarted(GuardSlot slot, Placement placement) {
        WorkEntry entry = fold.find(RunKey.of(placement.task));
        return slot.report().incarnation() > entry.guardIncarnation();
    }

    private WorkDecision endReported(Placement placement, TaskReport report, long nowMs) {
        startableFromMs.put(RunKey.of(placement.task), nowMs);
        long runningMs = placement.runningSinceMs == Placement.NEVER ? 0 : nowMs - placement.runningSinceMs;
        boolean interrupted = report.phase() == TaskReport.Phase.FAILED
                && placement.task.run() == RunKey.STANDING
                && runningMs >= STABLE_RUN_MS;
        Action.Notify notice = interrupted ? null : scheduler.observeEnd(report, placement.vm, runningMs, nowMs);
        if (notice != null) {
            out.accept(notice);
        }
        if (report.phase() == TaskReport.Phase.SUCCEEDED) {
            return new WorkDecision.Finished(placement.task, true, null);
        }
        if (report.phase() == TaskReport.Phase.FAILED && !interrupted) {
            return new WorkDecision.Finished(placement.task, false, report.reason());
        }
        return new WorkDecision.Stopped(placement.task, report.checkpoint(), report.reason());
    }

    private WorkDecision endTimed(Placement placement, long nowMs) {
        boolean started = placement.lastGrantMs != Placement.NEVER;
        long ownMs = started ? placement.lastGrantMs + times.ownWaitMs() : placement.knownSinceMs + UNSTARTED_GRACE_MS;
        long fromMs = placement.inherited ? Math.max(ownMs, takeover.findSettledMs()) : ownMs;
        if (nowMs < fromMs) {
            return null;
        }
        startableFromMs.put(RunKey.of(placement.task), started ? placement.lastGrantMs + times.ownWaitMs() : nowMs);
        out.accept(
                new Action.Notify(WorkNotice.PLACEMENT_LOST, "work=" + placement.task.work() + " vm=" + placement.vm));
        return new WorkDecision.Stopped(placement.task, null, "its VM was lost");
    }

    private boolean isEvictable(Placement placement, GuardSlot slot, long nowMs) {
        boolean longEnough = nowMs - placement.lowThrottleSinceMs >= LOW_THROTTLE_MS;
        boolean paused = nowMs - evictedMsByVm.getOrDefault(placement.vm, Placement.NEVER) < EVICTION_PAUSE_MS;
        WorkEntry entry = fold.find(RunKey.of(placement.task));
        boolean assigned = entry.phase() == WorkPhase.ASSIGNED && !placement.released;
        return longEnough && !paused && assigned && isFirstToEvict(placement, slot.report());
    }

    /**
     * The leaders of all shards see the same heartbeat. They agree on the victim without messages: batch before
     * standing work, the largest user first.
     */
    private static boolean isFirstToEvict(Placement placement, GuardReport report) {
        TaskReport own = report.find(placement.task);
        for (TaskReport other : report.tasks()) {
            boolean running = other.phase() == TaskReport.Phase.RUNNING;
            if (running && other.throttleShare() <= LOWEST_SHARE && comparePriority(other, own) < 0) {
                return false;
            }
        }
        return true;
    }

    private static int comparePriority(TaskReport a, TaskReport b) {
        int byKind = Boolean.compare(a.task().run() == RunKey.STANDING, b.task().run() == RunKey.STANDING);
        if (byKind != 0) {
            return byKind;
        }
        int bySize = Integer.compare(b.used().milliCores(), a.used().milliCores());
        return bySize != 0 ? bySize : a.task().toAgentId().compareTo(b.task().toAgentId());
    }
}
