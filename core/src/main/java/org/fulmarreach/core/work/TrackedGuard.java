package org.fulmarreach.core.work;

/** A shard leader's view of one guard. Not thread-safe; owned by its {@link ShardLeader}. */
final class TrackedGuard {
    /** A guard without a heartbeat for this long is treated as unreachable, like one whose connection is silent. */
    static final long HEARTBEAT_TIMEOUT_MS = 2_000;

    private static final long REMOVE_AFTER_MS = 10 * 60_000L;

    private GuardReport report;
    private long seenMs;
    private boolean connected;

    /** Highest term that this leader has sent to the guard on the current connection. */
    long fencedTerm = ShardState.NO_OFFSET;

    /** Time at which grants were last renewed. */
    long renewedMs = Placement.NEVER;

    /** Records a heartbeat; returns false if it is older than the last one recorded. */
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

    /** Returns whether the guard has been silent for so long that its VM is unlikely to return. */
    boolean isRemovable(long nowMs) {
        return nowMs - seenMs > REMOVE_AFTER_MS;
    }

    boolean isReachable(long nowMs) {
        return connected && nowMs - seenMs <= HEARTBEAT_TIMEOUT_MS;
    }
}
