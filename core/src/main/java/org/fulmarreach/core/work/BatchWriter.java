package org.fulmarreach.core.work;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Appends a leader's batches one at a time. A batch contains a resignation, a snapshot, or the decisions that are due.
 * Not thread-safe; owned by its {@link ShardLeader}.
 */
final class BatchWriter {
    private static final int SNAPSHOT_INTERVAL_RECORDS = 2_000;
    private static final int MAX_ASSIGNMENTS_PER_BATCH = 2_000;

    /** The process is assumed to have been paused if more time than this passes between two ticks. */
    private static final long PAUSE_THRESHOLD_MS = 1_500;

    /** Time after a pause for handling queued heartbeats, before a guard without heartbeats may be treated as lost. */
    private static final long PAUSE_GRACE_MS = 3_000;

    private final WorkTimes times;
    private final ShardState state;
    private final Scheduler scheduler;
    private final Leadership leadership;
    private final Outbox outbox;
    private final Cancellations cancellations;
    private final ReleasePlanner releases;
    private final Map<String, TrackedGuard> guards;
    private final Placements placements;
    private final Consumer<Action> actions;
    private final Map<RunKey, String> waiting = new HashMap<>();

    private long tickedMs = Placement.NEVER;
    private long resumedMs = Placement.NEVER;
    private long snapshotMs = Placement.NEVER;
    private int recordsSinceSnapshot;

    BatchWriter(
            WorkTimes times,
            ShardState state,
            Scheduler scheduler,
            Leadership leadership,
            Outbox outbox,
            Cancellations cancellations,
            ReleasePlanner releases,
            Map<String, TrackedGuard> guards,
            Placements placements,
            Consumer<Action> actions) {
        this.times = times;
        this.state = state;
        this.scheduler = scheduler;
        this.leadership = leadership;
        this.outbox = outbox;
        this.cancellations = cancellations;
        this.releases = releases;
        this.guards = guards;
        this.placements = placements;
        this.actions = actions;
    }

    void onTick(long nowMs) {
        if (tickedMs != Placement.NEVER && nowMs - tickedMs > PAUSE_THRESHOLD_MS) {
            resumedMs = nowMs;
        }
        tickedMs = nowMs;
    }

    void countRecord() {
        recordsSinceSnapshot++;
    }

    void onSnapshot(long nowMs) {
        snapshotMs = nowMs;
        recordsSinceSnapshot = 0;
    }

    /** Returns the runs that wait for a placement, with the reasons; the map is not copied. */
    Map<RunKey, String> waiting() {
        return waiting;
    }

    void clearWaiting() {
        waiting.clear();
    }

    /** Retries the pending batch if that is due; otherwise appends the decisions that are due. */
    void write(boolean rulesKnown, long nowMs, long wallMs) {
        WorkBatch retry = outbox.takeRetry(nowMs);
        if (retry != null) {
            actions.accept(new Action.Append(retry));
        } else if (outbox.canSend(nowMs) && !leadership.replaceWitnesses(nowMs)) {
            append(rulesKnown, nowMs, wallMs);
        }
    }

    private void append(boolean rulesKnown, long nowMs, long wallMs) {
        List<WorkDecision> decisions = new ArrayList<>();
        if (leadership.isResigning()) {
            decisions.add(new WorkDecision.Renew(true, false));
        } else if (isSnapshotDue(nowMs)) {
            decisions.add(state.constructSnapshot());
        } else {
            decide(decisions, rulesKnown, nowMs, wallMs);
        }
        if (!decisions.isEmpty()) {
            actions.accept(new Action.Append(outbox.send(leadership.constructBatch(decisions), nowMs)));
        }
    }

    private boolean isSnapshotDue(long nowMs) {
        boolean overdue = nowMs - snapshotMs >= times.retentionMs() / 4
                && leadership.findClaimAgeMs(nowMs) >= times.claimAfterMs();
        return recordsSinceSnapshot >= SNAPSHOT_INTERVAL_RECORDS || overdue;
    }

    private void decide(List<WorkDecision> decisions, boolean rulesKnown, long nowMs, long wallMs) {
        boolean timeoutsAllowed = nowMs - resumedMs >= PAUSE_GRACE_MS;
        decisions.addAll(releases.findEnded(timeoutsAllowed, nowMs));
        decisions.addAll(cancellations.findLifted());
        decisions.addAll(releases.findEvictions(nowMs));
        if (leadership.isUnconditional(nowMs) && rulesKnown) {
            Plan plan = scheduler.plan(state, guards, placements.all(), nowMs, wallMs);
            decisions.addAll(plan.assigns()
                    .subList(
                            0,
                            Math.min(MAX_ASSIGNMENTS_PER_BATCH, plan.assigns().size())));
            waiting.clear();
            waiting.putAll(plan.waiting());
            plan.notices().forEach(actions);
        }
        boolean settled = leadership.isNewlySettled(nowMs);
        if (settled) {
            actions.accept(new Action.Notify(WorkNotice.SETTLED, "term=" + leadership.term()));
        }
        if (settled || decisions.isEmpty() && nowMs - outbox.lastSentMs() >= times.renewEveryMs()) {
            decisions.add(new WorkDecision.Renew(false, settled));
        }
    }
}
