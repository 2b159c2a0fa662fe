package org.fulmarreach.core.work;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Decides from a leader's own clock whether it may issue grants: unconditionally for a limited time after its last
 * accepted append was sent, then only while a witness confirms that the store is down. Not thread-safe; owned by its
 * {@link ShardLeader}.
 */
final class LeaderLease {
    private static final long ASK_INTERVAL_MS = 1_000;

    private final WorkTimes times;
    private final Map<String, Long> confirmedMs = new HashMap<>();
    private long acceptedSentMs = Placement.NEVER;
    private long lastAskedMs = Placement.NEVER;

    LeaderLease(WorkTimes times) {
        this.times = times;
    }

    /** Starts a term whose claim was sent at the given time. */
    void begin(long claimSentMs) {
        acceptedSentMs = claimSentMs;
        confirmedMs.clear();
    }

    /** Extends the lease after an append that was sent at the given time has been accepted. */
    void extend(long sentMs) {
        acceptedSentMs = Math.max(acceptedSentMs, sentMs);
    }

    void confirm(String witness, long askedMs) {
        confirmedMs.merge(witness, askedMs, Math::max);
    }

    boolean isUnconditional(long nowMs) {
        return nowMs <= acceptedSentMs + times.unconditionalMs();
    }

    boolean mayGrant(List<String> witnesses, long nowMs) {
        if (isUnconditional(nowMs)) {
            return true;
        }
        boolean confirmed = witnesses.isEmpty()
                || witnesses.stream()
                        .anyMatch(witness ->
                                nowMs - confirmedMs.getOrDefault(witness, Placement.NEVER) <= times.confirmationMs());
        return confirmed && nowMs <= acceptedSentMs + times.outageMaxMs();
    }

    /**
     * Returns whether the witnesses are to be asked now, and if so records the time. Asking begins before the
     * unconditional period ends, so that confirmations arrive in time.
     */
    boolean beginAskIfDue(long nowMs) {
        boolean due = nowMs > acceptedSentMs + times.unconditionalMs() / 2 && nowMs - lastAskedMs >= ASK_INTERVAL_MS;
        if (due) {
            lastAskedMs = nowMs;
        }
        return due;
    }
}
