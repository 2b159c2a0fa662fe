package org.fulmarreach.guard.jobs;

import org.fulmarreach.platform.worker.WorkerCalls;

/**
 * Lease of everything on the worker. The leader grants it up to a time on the guard's monotonic clock; the worker takes
 * it as a time on its own clock, which is estimated from its answers. Not thread-safe.
 */
final class WorkerLease {
    /** A worker's clock may be slow by 2%. */
    private static final int CLOCK_DRIFT_PERCENT = 2;

    /** Covers the delay between the end of a lease and its effect. */
    private static final long LAPSE_MARGIN_MS = 300;

    private final long leaseMs;
    private long grantedUntilMs;
    private long sentUntilMs;
    private long workerClockMs;
    private long workerClockReadAtMs;
    private boolean clockKnown;

    /**
     * Constructs a lease.
     *
     * @param leaseMs bound on a lease in milliseconds
     * @param nowMs start of this process; a former one may have sent a lease just before
     */
    WorkerLease(long leaseMs, long nowMs) {
        this.leaseMs = leaseMs;
        this.sentUntilMs = nowMs + leaseMs;
    }

    /** Takes a grant that counts from a tick of the guard. */
    void grant(long tickMs) {
        grantedUntilMs = Math.max(grantedUntilMs, tickMs + leaseMs);
    }

    /** Takes a reading of the worker's clock. */
    void readClock(long clockMs, long nowMs) {
        workerClockMs = clockMs;
        workerClockReadAtMs = nowMs;
        clockKnown = true;
    }

    /** Forgets the clock, since another lifetime of the worker has another one. */
    void forgetClock() {
        clockKnown = false;
    }

    boolean isGranted(long nowMs) {
        return clockKnown && grantedUntilMs > nowMs;
    }

    /** Returns the end of the lease on the worker's clock, and notes that it is sent. */
    long take(long nowMs) {
        if (!isGranted(nowMs)) {
            return WorkerCalls.NO_LEASE;
        }
        sentUntilMs = Math.max(sentUntilMs, grantedUntilMs);
        return workerClockMs + (nowMs - workerClockReadAtMs) + (grantedUntilMs - nowMs);
    }

    /** Tells whether every lease that was ever sent has run out. */
    boolean hasLapsed(long nowMs) {
        return nowMs > sentUntilMs + leaseMs * CLOCK_DRIFT_PERCENT / 100 + LAPSE_MARGIN_MS;
    }
}
