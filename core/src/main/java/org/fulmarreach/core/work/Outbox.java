package org.fulmarreach.core.work;

import java.util.List;

/**
 * Appends of a leader: one at a time, repeated under the same id until it is seen in the log or a new term begins. Not
 * thread-safe; owned by its {@link ShardLeader}.
 */
final class Outbox {
    private static final long RETRY_AFTER_MS = 500;

    private final WorkTimes times;
    private WorkBatch pending;
    private long firstSentMs;
    private long lastSentMs = Placement.NEVER;
    private boolean unanswered;
    private long failedMs;

    Outbox(WorkTimes times) {
        this.times = times;
    }

    /** Drops what is pending, since it belongs to a term that is over. */
    void clear() {
        pending = null;
        unanswered = false;
    }

    boolean isFree(long nowMs) {
        return pending == null && nowMs - lastSentMs >= times.batchWindowMs();
    }

    long lastSentMs() {
        return lastSentMs;
    }

    WorkBatch send(WorkBatch batch, long nowMs) {
        pending = batch;
        firstSentMs = nowMs;
        lastSentMs = nowMs;
        unanswered = true;
        return batch;
    }

    /** Takes the result of an append; a failed one may have taken effect. */
    void resolve(String batchId, boolean success, long nowMs) {
        if (pending != null && pending.batchId().equals(batchId)) {
            unanswered = false;
            failedMs = success ? nowMs + 4 * RETRY_AFTER_MS : nowMs;
        }
    }

    /** Returns the batch to append again; null when there is none. */
    WorkBatch findRetry(long nowMs) {
        if (pending == null || unanswered || nowMs < failedMs + RETRY_AFTER_MS) {
            return null;
        }
        unanswered = true;
        lastSentMs = nowMs;
        return pending;
    }

    /** Takes note of an accepted batch; returns when it was first sent, or {@link Placement#NEVER} for another one. */
    long accept(String batchId) {
        if (pending == null || !pending.batchId().equals(batchId)) {
            return Placement.NEVER;
        }
        pending = null;
        unanswered = false;
        return firstSentMs;
    }

    /** Returns the decisions that may be in the log but have not been read back. */
    List<WorkDecision> pendingDecisions() {
        return pending == null ? List.of() : pending.decisions();
    }
}
