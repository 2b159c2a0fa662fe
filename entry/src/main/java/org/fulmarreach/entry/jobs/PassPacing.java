package org.fulmarreach.entry.jobs;

/**
 * Tells when the next scheduling pass of a leader may begin. On a VM that is short of processor time a pass takes
 * longer than the minimum interval; passes then leave as much time between them as they take, so that at least half of
 * the time remains for callers and guards. Not thread-safe.
 */
final class PassPacing {
    /** Minimum interval between the starts of passes; limits the processor time of a leader with many workers. */
    static final int MIN_INTERVAL_MS = 30;

    /** A pass may seem long since the process stood still; the next one must not wait as long again. */
    static final int MAX_PAUSE_MS = 200;

    private long startedAtMs;
    private long nextAtMs;

    /** Returns the time until the next pass may begin, in milliseconds; at most 0 if it may begin now. */
    long remainingMs(long nowMs) {
        return nextAtMs - nowMs;
    }

    void onStarted(long nowMs) {
        startedAtMs = nowMs;
        nextAtMs = nowMs + MIN_INTERVAL_MS;
    }

    void onEnded(long nowMs) {
        long pauseMs = Math.min(nowMs - startedAtMs, MAX_PAUSE_MS);
        nextAtMs = Math.max(startedAtMs + MIN_INTERVAL_MS, nowMs + pauseMs);
    }
}
