package org.fulmarreach.core.work;

/** Whether this entry reaches the store, from its own reads and appends. Not thread-safe; owned by its shard. */
final class StoreHealth {
    /** A failure older than this says nothing about the present. */
    private static final long RECENT_MS = 10_000;

    private static final long PROBE_EVERY_MS = 2_000;

    private long readOkMs = Placement.NEVER;
    private long readFailedMs = Placement.NEVER;
    private long appendOkMs = Placement.NEVER;
    private long appendFailedMs = Placement.NEVER;
    private long probedMs = Placement.NEVER;

    void read(boolean success, long nowMs) {
        if (success) {
            readOkMs = nowMs;
        } else {
            readFailedMs = nowMs;
        }
    }

    void append(boolean success, long nowMs) {
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

    /** Tells whether to try an append now; a follower appends nothing else. */
    boolean isProbeDue(long nowMs) {
        boolean due = readsFail() && nowMs - probedMs >= PROBE_EVERY_MS;
        if (due) {
            probedMs = nowMs;
        }
        return due;
    }
}
