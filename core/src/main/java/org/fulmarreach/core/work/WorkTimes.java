package org.fulmarreach.core.work;

/**
 * Times of leases and takeovers in milliseconds; docs/design.md section 4.1 derives them. Immutable.
 *
 * @param grantMs life of a grant, from the guard's tick that it echoes
 * @param workerLeaseMs lease of a task at its worker agent
 * @param marginMs allowance for clock drift and for a task that ends late
 * @param startEchoMs oldest tick echo with which a guard starts a task
 * @param claimAfterMs silence of the incumbent before a claim
 * @param renewEveryMs longest time between two appends of a leader
 * @param batchWindowMs shortest time between two appends of a leader
 * @param unconditionalMs time since the last accepted append was sent in which a leader grants without confirmation
 * @param confirmationMs life of a witness's confirmation, from the time at which the leader asked for it
 * @param outageMaxMs longest time since the last accepted append was sent in which a leader grants
 * @param retentionMs time for which the log keeps records
 */
public record WorkTimes(
        long grantMs,
        long workerLeaseMs,
        long marginMs,
        long startEchoMs,
        long claimAfterMs,
        long renewEveryMs,
        long batchWindowMs,
        long unconditionalMs,
        long confirmationMs,
        long outageMaxMs,
        long retentionMs) {
    /**
     * Times of the design, with records kept for a day. The successor of a lost leader has to renew its grants before
     * they lapse, which is as early as 8.5 s after the loss; so the silence before a claim is 6 s, enough for two
     * appends of the incumbent. The compare-and-set of the claim, not this time, keeps two leaders apart.
     */
    public static final WorkTimes DEFAULT =
            new WorkTimes(10_000, 5_000, 1_000, 5_000, 6_000, 2_500, 250, 10_000, 5_000, 90 * 60_000L, 86_400_000L);

    /** Returns a copy with another time for which the log keeps records. */
    public WorkTimes withRetentionMs(long newRetentionMs) {
        return new WorkTimes(
                grantMs,
                workerLeaseMs,
                marginMs,
                startEchoMs,
                claimAfterMs,
                renewEveryMs,
                batchWindowMs,
                unconditionalMs,
                confirmationMs,
                outageMaxMs,
                newRetentionMs);
    }

    /** Returns how long after a leader's last grant an execution may still go on. */
    public long ownWaitMs() {
        return grantMs + workerLeaseMs + marginMs;
    }

    /** Returns how long executions of a leader may go on after its successor's claim, when it is fenced. */
    public long fencedWaitMs() {
        return unconditionalMs + ownWaitMs();
    }

    /** Returns how long executions of a leader may go on after its successor's claim, when it is not fenced. */
    public long unfencedWaitMs() {
        return outageMaxMs + fencedWaitMs();
    }
}
