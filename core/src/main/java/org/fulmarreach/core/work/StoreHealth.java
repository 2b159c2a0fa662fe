package org.fulmarreach.core.work;

/**
 * Tracks from its own reads and appends whether this entry can reach the store. Not thread-safe; owned by its shard.
 */
final class StoreHealth {
    /** A failure older than this is no longer evidence that the store is down. */
    private static final long RECENT_MS = 10_000;

    private static final long PROBE_INTERVAL_MS = 2_000;

    private long readOkMs = Placement.NEVER;
    private long readFailedMs = Placement.NEVER;
    private long appendOkMs = Placement.NEVER;
    private long appendFailedMs = Placement.NEVER;
    private long probedMs = Placement.NEVER;

    void recordRead(boolean success, long nowMs) {
        if (success) {
            readOkMs = nowMs;
        } else {
            readFailedMs = nowMs;
        }
    }

    void recordAppend(boolean success, long nowMs) {
        if (success) {
            appendOkMs = nowMs;
        } else {
            appendFailedMs = nowMs;
        }
    }

    boolean readsFail() {
        return readFailedMs > readOkMs;
    }

    boolean isDown(long nowMs) {
        return readsFail()
                && nowMs - readFailedMs <= RECENT_MS
                && appendFailedMs > appendOkMs
                && nowMs - appendFailedMs <= RECENT_MS;
    }

    /**
     * Returns whether to probe the store with an append now, and if so records the time. Followers append nothing else.
     */
    boolean beginProbeIfDue(long nowMs) {
        boolean due = readsFail() && nowMs - probedMs >= PROBE_INTERVAL_MS;
        if (due) {
            probedMs = nowMs;
        }
        return due;
    }
}
