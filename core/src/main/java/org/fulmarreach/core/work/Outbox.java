package org.fulmarreach.core.work;

import java.util.List;

/**
 * The pending append of a leader. Only one append is pending at a time; it is retried under the same batch id until the
 * batch is read back from the log or a new term begins. Not
 * thread-safe; owned by its {@link ShardLeader}.
 */
final class Outbox {
    private static final long RETRY_AFTER_MS = 500;

    private final WorkTimes times;
    private WorkBatch pending;
    private long firstSentMs;
    private long lastSentMs = Placement.NEVER;
    private boolean unanswered;
    private long retryBaseMs;

    Outbox(WorkTimes times) {
        this.times = times;
    }

    /** Drops the pending batch when its term has ended. */
    void clear() {
        pending = null;
        unanswered = false;
    }

    boolean canSend(long nowMs) {
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

    /**
     * Records the result of an append; a failed append may still have taken effect. After a success the batch is
     * normally read back soon, so its retry waits longer.
     */
    void onAppendResult(String batchId, boolean success, long nowMs) {
        if (pending != null && pending.batchId().equals(batchId)) {
            unanswered = false;
            retryBaseMs = success ? nowMs + 4 * RETRY_AFTER_MS : nowMs;
        }
    }

    /** Returns the pending batch and marks it as sent again if a retry is due; otherwise returns null. */
    WorkBatch takeRetry(long nowMs) {
        if (pending == null || unanswered || nowMs < retryBaseMs + RETRY_AFTER_MS) {
            return null;
        }
        unanswered = true;
        lastSentMs = nowMs;
        return pending;
    }

    /**
     * Completes the pending append once its batch has been read back.
     *
     * @return time at which the batch was first sent; {@link Placement#NEVER} if the batch is not the pending one
     */
    long confirm(String batchId) {
        if (pending == null || !pending.batchId().equals(batchId)) {
            return Placement.NEVER;
        }
        pending = null;
        unanswered = false;
        return firstSentMs;
    }

    /** Returns decisions that may be in the log but have not been read back. */
    List<WorkDecision> pendingDecisions() {
        return pending == null ? List.of() : pending.decisions();
    }
}
