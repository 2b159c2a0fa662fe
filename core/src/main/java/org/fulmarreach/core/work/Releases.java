package org.fulmarreach.core.work;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
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

    /** Start of the reason with which a guard asks for an eviction. */
    private static final String EVICTION_NEEDED = "EVICTION_NEEDED";

    private final WorkTimes times;
    private final ShardState fold;
    private final Scheduler scheduler;
    private final Takeover takeover;
    private final Map<String, GuardSlot> guards;
    private final Placements placements;
    private final Map<RunKey, Long> startableFromMs;
    private final Consumer<Action> out;

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

    /**
     * Finds the tasks to evict. The guard asks for it after a long time at the lowest throttle share without relief,
     * since only it knows the latency of its target.
     */
    List<WorkDecision> findEvictions(long nowMs) {
        List<WorkDecision> decisions = new ArrayList<>();
        for (Placement placement : placements.all()) {
            GuardSlot slot = guards.get(placement.vm);
            TaskReport report = slot == null ? null : slot.report().find(placement.task);
            boolean asked = report != null
                    && report.phase() == TaskReport.Phase.RUNNING
                    && report.reason() != null
                    && report.reason().startsWith(EVICTION_NEEDED);
            WorkEntry entry = fold.find(RunKey.of(placement.task));
            if (asked && entry.phase() == WorkPhase.ASSIGNED && !placement.released) {
                scheduler.observeEviction(entry.key(), placement.vm, nowMs);
                decisions.add(new WorkDecision.EvictIntent(placement.task));
                out.accept(new Action.Notify(
                        WorkNotice.EVICTED,
                        "work=" + placement.task.work() + " vm=" + placement.vm + " reason=" + report.reason()));
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
        if (report.phase() == TaskReport.Phase.REFUSED) {
            scheduler.observeRefusal(RunKey.of(placement.task), placement.vm, nowMs);
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
}
