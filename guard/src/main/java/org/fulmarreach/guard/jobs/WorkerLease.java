package org.fulmarreach.guard.jobs;

import org.fulmarreach.platform.worker.WorkerCalls;

/**
 * Lease that covers all runs on the worker. The leader grants it until a time on the guard's monotonic clock; the
 * worker expects a time on its own clock, which is estimated from its answers. Not thread-safe.
 */
final class WorkerLease {
    /** Largest rate by which the worker's clock may be slow. */
    private static final int CLOCK_DRIFT_PERCENT = 2;

    /** Covers the delay between the end of a lease and its effect. */
    private static final long LAPSE_MARGIN_MS = 300;

    private final long leaseMs;
    private long grantedUntilMs;
    private long sentUntilMs;
    private long workerClockMs;
    private long workerClockUpdatedAtMs;
    private boolean clockKnown;

    /**
     * Constructs a lease.
     *
     * @param leaseMs bound on a lease in milliseconds
     * @param nowMs start of this process; an earlier process may have sent a lease just before it
     */
    WorkerLease(long leaseMs, long nowMs) {
        this.leaseMs = leaseMs;
        this.sentUntilMs = nowMs + leaseMs;
    }

    /** Extends the grant; its time counts from a tick of the guard that the leader echoed. */
    void grant(long tickMs) {
        grantedUntilMs = Math.max(grantedUntilMs, tickMs + leaseMs);
    }

    /** Records a reading of the worker's clock. */
    void updateClock(long clockMs, long nowMs) {
        workerClockMs = clockMs;
        workerClockUpdatedAtMs = nowMs;
        clockKnown = true;
    }

    /** Discards the reading of the clock, because a restarted worker has a different clock. */
    void resetClock() {
        clockKnown = false;
    }

    boolean isGranted(long nowMs) {
        return clockKnown && grantedUntilMs > nowMs;
    }

    /**
     * Returns the end of the lease on the worker's clock and records that it is sent; {@link WorkerCalls#NO_LEASE} if
     * none is granted.
     */
    long issueUntilMs(long nowMs) {
        if (!isGranted(nowMs)) {
            return WorkerCalls.NO_LEASE;
        }
        sentUntilMs = Math.max(sentUntilMs, grantedUntilMs);
        return workerClockMs + (nowMs - workerClockUpdatedAtMs) + (grantedUntilMs - nowMs);
    }

    /** Returns whether every lease that was sent has expired at the worker. */
    boolean hasExpired(long nowMs) {
        return nowMs > sentUntilMs + leaseMs * CLOCK_DRIFT_PERCENT / 100 + LAPSE_MARGIN_MS;
    }
}
