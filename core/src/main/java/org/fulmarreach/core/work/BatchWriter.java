package org.fulmarreach.core.work;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Writes the batches of a leader, one at a time: its resignation, a snapshot, or the decisions that are due. Not
 * thread-safe; owned by its {@link ShardLeader}.
 */
final class BatchWriter {
    private static final int SNAPSHOT_RECORDS = 2_000;
    private static final int MAX_DECISIONS = 2_000;

    /** A gap between two ticks of this length means that the process was paused. */
    private static final long PAUSE_MS = 1_500;

    /** Time after a pause in which waiting heartbeats are handled before a silent guard counts as lost. */
    private static final long PAUSE_GRACE_MS = 3_000;

    private final WorkTimes times;
    private final ShardState fold;
    private final Scheduler scheduler;
    private final Leadership leadership;
    private final Outbox outbox;
    private final Cancellations cancels;
    private final Releases releases;
    private final Map<String, GuardSlot> guards;
    private final Placements placements;
    private final Consumer<Action> out;
    private final Map<RunKey, String> waiting = new HashMap<>();

    private long tickedMs = Placement.NEVER;
    private long resumedMs = Placement.NEVER;
    private long snapshotMs = Placement.NEVER;
    private int recordsSinceSnapshot;

    BatchWriter(
            WorkTimes times,
            ShardState fold,
            Scheduler scheduler,
            Leadership leadership,
            Outbox outbox,
            Cancellations cancels,
            Releases releases,
            Map<String, GuardSlot> guards,
            Placements placements,
            Consumer<Action> out) {
        this.times = times;
        this.fold = fold;
        this.scheduler = scheduler;
        this.leadership = leadership;
        this.outbox = outbox;
        this.cancels = cancels;
        this.releases = releases;
        this.guards = guards;
        this.placements = placements;
        this.out = out;
    }

    void noteTick(long nowMs) {
        if (tickedMs != Placement.NEVER && nowMs - tickedMs > PAUSE_MS) {
            resumedMs = nowMs;
        }
        tickedMs = nowMs;
    }

    void noteRecord() {
        recordsSinceSnapshot++;
    }

    void noteSnapshot(long nowMs) {
        snapshotMs = nowMs;
        recordsSinceSnapshot = 0;
    }

    /** Returns the runs that wait for a placement, with the reason; a view. */
    Map<RunKey, String> waiting() {
        return waiting;
    }

    void clearWaiting() {
        waiting.clear();
    }

    /** Appends what is due, or repeats a batch whose append has failed. */
    void write(boolean rulesKnown, long nowMs, long wallMs) {
        WorkBatch retry = outbox.findRetry(nowMs);
        if (retry != null) {
            out.accept(new Action.Append(retry));
        } else if (outbox.isFree(nowMs) && !leadership.replaceWitnesses(nowMs)) {
            append(rulesKnown, nowMs, wallMs);
        }
    }

    private void append(boolean rulesKnown, long nowMs, long wallMs) {
        List<WorkDecision> decisions = new ArrayList<>();
        if (leadership.isResigning()) {
            decisions.add(new WorkDecision.Renew(true, false));
        } else if (isSnapshotDue(nowMs)) {
            decisions.add(fold.constructSnapshot());
        } else {
            decide(decisions, rulesKnown, nowMs, wallMs);
        }
        if (!decisions.isEmpty()) {
            out.accept(new Action.Append(outbox.send(leadership.constructBatch(decisions), nowMs)));
        }
    }

    private boolean isSnapshotDue(long nowMs) {
        boolean old = nowMs - snapshotMs >= times.retentionMs() / 4
                && leadership.findClaimAgeMs(nowMs) >= times.claimAfterMs();
        return recordsSinceSnapshot >= SNAPSHOT_RECORDS || old;
    }

    private void decide(List<WorkDecision> decisions, boolean rulesKnown, long nowMs, long wallMs) {
        boolean timed = nowMs - resumedMs >= PAUSE_GRACE_MS;
        decisions.addAll(releases.findEnded(timed, nowMs));
        decisions.addAll(cancels.findLifted());
        decisions.addAll(releases.findEvictions(nowMs));
        if (leadership.isUnconditional(nowMs) && rulesKnown) {
            Plan plan = scheduler.plan(fold, guards, placements.all(), nowMs, wallMs);
            decisions.addAll(plan.assigns()
                    .subList(0, Math.min(MAX_DECISIONS, plan.assigns().size())));
            waiting.clear();
            waiting.putAll(plan.waiting());
            plan.notices().forEach(out);
        }
        boolean settled = leadership.isNewlySettled(nowMs);
        if (settled) {
            out.accept(new Action.Notify(WorkNotice.SETTLED, "term=" + leadership.term()));
        }
        if (settled || decisions.isEmpty() && nowMs - outbox.lastSentMs() >= times.renewEveryMs()) {
            decisions.add(new WorkDecision.Renew(false, settled));
        }
    }
}
