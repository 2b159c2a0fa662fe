package org.fulmarreach.core.work;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Decides which live placements have ended and which tasks are to be evicted. Not thread-safe; owned by its
 * {@link ShardLeader}.
 */
final class ReleasePlanner {
    /** Grace period for a guard that was never sent the start; it may only be reconnecting. */
    private static final long UNSTARTED_GRACE_MS = 3_000;

    /** Standing work that fails after running for at least this long counts as interrupted, not as a failed start. */
    private static final long STABLE_RUN_MS = 60_000;

    /** Prefix of the reason with which a guard requests an eviction. */
    private static final String EVICTION_NEEDED = "EVICTION_NEEDED";

    private final WorkTimes times;
    private final ShardState state;
    private final Scheduler scheduler;
    private final Takeover takeover;
    private final Map<String, TrackedGuard> guards;
    private final Placements placements;
    private final Map<RunKey, Long> earliestStartMs;
    private final Consumer<Action> actions;

    ReleasePlanner(
            WorkTimes times,
            ShardState state,
            Scheduler scheduler,
            Takeover takeover,
            Map<String, TrackedGuard> guards,
            Placements placements,
            Map<RunKey, Long> earliestStartMs,
            Consumer<Action> actions) {
        this.times = times;
        this.state = state;
        this.scheduler = scheduler;
        this.takeover = takeover;
        this.guards = guards;
        this.placements = placements;
        this.earliestStartMs = earliestStartMs;
        this.actions = actions;
    }

    /**
     * Returns decisions for the placements that have ended, and marks these as released, so that they get no more
     * grants.
     *
     * @param timeoutsAllowed whether a placement may be ended by timeout; false right after a process pause, when
     *     heartbeats may be waiting to be handled
     */
    List<WorkDecision> findEnded(boolean timeoutsAllowed, long nowMs) {
        List<WorkDecision> decisions = new ArrayList<>();
        for (Placement placement : placements.all()) {
            TrackedGuard guard = guards.get(placement.vm);
            TaskReport report = guard == null ? null : guard.report().find(placement.task);
            WorkDecision decision = null;
            if (report != null && report.phase().isFinal()) {
                decision = releaseReported(placement, report, nowMs);
            } else if (guard != null && report == null && isRestarted(guard, placement)) {
                earliestStartMs.put(RunKey.of(placement.task), nowMs);
                decision = new WorkDecision.Stopped(
                        placement.task, null, "its guard restarted and no longer has the task");
            } else if (timeoutsAllowed && (guard == null || !guard.isReachable(nowMs))) {
                decision = releaseIfTimedOut(placement, nowMs);
            }
            if (decision != null) {
                placement.released = true;
                decisions.add(decision);
            }
        }
        return decisions;
    }

    /**
     * Returns eviction decisions for the tasks whose guards request it. A guard does so when a long time at the lowest
     * throttle share has not relieved its target; only the guard measures the latency of the target.
     */
    List<WorkDecision> findEvictions(long nowMs) {
        List<WorkDecision> decisions = new ArrayList<>();
        for (Placement placement : placements.all()) {
            TrackedGuard guard = guards.get(placement.vm);
            TaskReport report = guard == null ? null : guard.report().find(placement.task);
            boolean requested = report != null
                    && report.phase() == TaskReport.Phase.RUNNING
                    && report.reason() != null
                    && report.reason().startsWith(EVICTION_NEEDED);
            WorkEntry entry = state.find(RunKey.of(placement.task));
            if (requested && entry.phase() == WorkPhase.ASSIGNED && !placement.released) {
                scheduler.observeEviction(entry.key(), placement.vm, nowMs);
                decisions.add(new WorkDecision.EvictIntent(placement.task));
                actions.accept(new Action.Notify(
                        WorkNotice.EVICTED,
                        "work=" + placement.task.work() + " vm=" + placement.vm + " reason=" + report.reason()));
            }
        }
        return decisions;
    }

    // Helpers

    private boolean isRestarted(TrackedGuard guard, Placement placement) {
        WorkEntry entry = state.find(RunKey.of(placement.task));
        return guard.report().incarnation() > entry.guardIncarnation();
    }

    private WorkDecision releaseReported(Placement placement, TaskReport report, long nowMs) {
        earliestStartMs.put(RunKey.of(placement.task), nowMs);
        long runningMs = placement.runningSinceMs == Placement.NEVER ? 0 : nowMs - placement.runningSinceMs;
        boolean interrupted = report.phase() == TaskReport.Phase.FAILED
                && placement.task.run() == RunKey.STANDING
                && runningMs >= STABLE_RUN_MS;
        Action.Notify notice = interrupted ? null : scheduler.observeEnd(report, placement.vm, runningMs, nowMs);
        if (notice != null) {
            actions.accept(notice);
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

    private WorkDecision releaseIfTimedOut(Placement placement, long nowMs) {
        boolean started = placement.lastGrantMs != Placement.NEVER;
        long ownMs = started ? placement.lastGrantMs + times.ownWaitMs() : placement.knownSinceMs + UNSTARTED_GRACE_MS;
        long fromMs = placement.inherited ? Math.max(ownMs, takeover.findSettledMs()) : ownMs;
        if (nowMs < fromMs) {
            return null;
        }
        earliestStartMs.put(RunKey.of(placement.task), started ? placement.lastGrantMs + times.ownWaitMs() : nowMs);
        actions.accept(
                new Action.Notify(WorkNotice.PLACEMENT_LOST, "work=" + placement.task.work() + " vm=" + placement.vm));
        return new WorkDecision.Stopped(placement.task, null, "its VM was lost");
    }
}
