package org.fulmarreach.core.work;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Decides whether a leader may give grants, on its own clock: for a while after its last accepted append, then only
 * while a witness confirms that the store is down. Not thread-safe; owned by its {@link ShardLeader}.
 */
final class Lease {
    private static final long ASK_EVERY_MS = 1_000;

    private final WorkTimes times;
    private final Map<String, Long> confirmedMs = new HashMap<>();
    private long acceptedSentMs = Placement.NEVER;
    private long lastAskedMs = Placement.NEVER;

    Lease(WorkTimes times) {
        this.times = times;
    }

    /** Starts a term whose claim was sent at the given time. */
    void begin(long claimSentMs) {
        acceptedSentMs = claimSentMs;
        confirmedMs.clear();
    }

    /** Takes note that an append that was sent at the given time has been accepted. */
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

    /** Tells whether to ask the witnesses now; asking begins early, so that the answers are there in time. */
    boolean isAskDue(long nowMs) {
        boolean due = nowMs > acceptedSentMs + times.unconditionalMs() / 2 && nowMs - lastAskedMs >= ASK_EVERY_MS;
        if (due) {
            lastAskedMs = nowMs;
        }
        return due;
    }
}
