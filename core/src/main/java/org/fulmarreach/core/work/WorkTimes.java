package org.fulmarreach.core.work;

/**
 * Durations of leases and takeovers in milliseconds; docs/design.md section 4.1 derives them. Immutable.
 *
 * @param grantMs duration of a grant, counted from the guard tick that the grant echoes
 * @param workerLeaseMs duration of a task's lease at its worker agent
 * @param marginMs margin for clock drift and for tasks that end late
 * @param startEchoMs maximum age of the tick echo with which a guard starts a task
 * @param claimAfterMs time without records of the current leader before another entry claims the shard
 * @param renewEveryMs maximum time between two appends of a leader
 * @param batchWindowMs minimum time between two appends of a leader
 * @param unconditionalMs time after sending its last accepted append during which a leader issues grants without
 *     confirmation
 * @param confirmationMs validity of a witness's confirmation, counted from the leader's request
 * @param outageMaxMs time after sending its last accepted append during which a leader may issue grants at all
 * @param retentionMs time for which the log retains records
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
     * Default durations, with records retained for one day. The successor of a lost leader has to renew the grants
     * before they expire, which can be as early as 8.5 s after the loss. An entry therefore claims the shard after 6 s
     * without records, a time in which a live leader appends at least twice. Two leaders in one term are excluded by
     * the compare-and-set of the claim, not by this time.
     */
    public static final WorkTimes DEFAULT =
            new WorkTimes(10_000, 5_000, 1_000, 5_000, 6_000, 2_500, 250, 10_000, 5_000, 90 * 60_000L, 86_400_000L);

    /** Returns a copy with another retention time of the log. */
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

    /** Returns how long an execution may continue after its leader's last grant. */
    public long ownWaitMs() {
        return grantMs + workerLeaseMs + marginMs;
    }

    /** Returns how long executions of a fenced leader may continue after its successor's claim. */
    public long fencedWaitMs() {
        return unconditionalMs + ownWaitMs();
    }

    /** Returns how long executions of an unfenced leader may continue after its successor's claim. */
    public long unfencedWaitMs() {
        return outageMaxMs + fencedWaitMs();
    }
}
