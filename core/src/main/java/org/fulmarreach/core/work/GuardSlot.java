package org.fulmarreach.core.work;

/** What a shard leader knows about one guard. Not thread-safe; owned by its {@link ShardLeader}. */
final class GuardSlot {
    /** A guard without a heartbeat for this long counts as unreachable, like a silent connection. */
    static final long SILENCE_MS = 2_000;

    private static final long FORGET_MS = 10 * 60_000L;

    private GuardReport report;
    private long seenMs;
    private boolean connected;

    /** Highest term that this leader has sent to the guard on the present connection. */
    long fencedTerm = ShardState.NO_OFFSET;

    /** Time at which grants were last sent. */
    long renewedMs = Placement.NEVER;

    /** Takes a heartbeat; returns false for one that is older than what is known. */
    boolean update(GuardReport newReport, long nowMs) {
        boolean stale = report != null
                && (newReport.incarnation() < report.incarnation()
                        || newReport.incarnation() == report.incarnation() && newReport.tickMs() < report.tickMs());
        if (stale) {
            return false;
        }
        if (!connected || report.incarnation() != newReport.incarnation()) {
            fencedTerm = ShardState.NO_OFFSET;
        }
        report = newReport;
        seenMs = nowMs;
        connected = true;
        return true;
    }

    void disconnect() {
        connected = false;
    }

    /** Returns the last heartbeat. */
    GuardReport report() {
        return report;
    }

    /** Tells whether the guard has been gone so long that its VM has hardly a future. */
    boolean isForgettable(long nowMs) {
        return nowMs - seenMs > FORGET_MS;
    }

    boolean isReachable(long nowMs) {
        return connected && nowMs - seenMs <= SILENCE_MS;
    }
}
