package org.fulmarreach.guard.jobs;

import java.util.ArrayDeque;
import java.util.Deque;

import org.fulmarreach.platform.worker.WorkerCalls;

/**
 * Lease that covers all runs on the worker. The leader grants it from a tick of the guard's monotonic clock; the worker
 * expects its end on its own clock, which is estimated from its answers. Not thread-safe.
 *
 * <p>The monotonic clock stands still while the VM is suspended, and the worker's clock does not. So a tick is
 * converted by the reading of the worker's clock that preceded it: a later one would extend the lease by the
 * suspension. A tick without such a reading grants nothing.
 */
final class WorkerLease {
    /** Largest rate by which the worker's clock may be slow. */
    private static final int CLOCK_DRIFT_PERCENT = 2;

    /** Covers the delay between the end of a lease and its effect. */
    private static final long LAPSE_MARGIN_MS = 300;

    /** Bound on the readings of the worker's clock that are kept while no grant arrives. */
    private static final int MAX_READINGS = 128;

    private final long leaseMs;
    private final Deque<ClockReading> readings = new ArrayDeque<>();
    private boolean granted;
    private long grantedTickMs;
    private long sentUntilMs;

    /**
     * Reading of the worker's clock.
     *
     * @param clockMs time on the worker's clock in milliseconds
     * @param receivedAtMs when the answer was received, on the guard's monotonic clock
     */
    private record ClockReading(long clockMs, long receivedAtMs) {
        /** Estimates the worker's clock at a time on the guard's clock, without a suspension between the two. */
        long clockAt(long guardMs) {
            return clockMs + guardMs - receivedAtMs;
        }
    }

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
        grantedTickMs = granted ? Math.max(grantedTickMs, tickMs) : tickMs;
        granted = true;
        discardUnusedReadings();
    }

    /** Records a reading of the worker's clock. */
    void updateClock(long clockMs, long nowMs) {
        readings.addLast(new ClockReading(clockMs, nowMs));
        if (readings.size() > MAX_READINGS) {
            // The first reading stays, because it may be the one that precedes the granted tick.
            ClockReading first = readings.removeFirst();
            readings.removeFirst();
            readings.addFirst(first);
        }
    }

    /** Tells whether a reading of the worker's clock precedes the last one, since the worker was restarted. */
    boolean isBefore(long clockMs) {
        return !readings.isEmpty() && clockMs < readings.getLast().clockMs();
    }

    /** Discards the readings of the clock, because a restarted worker has a different clock. */
    void resetClock() {
        readings.clear();
    }

    /**
     * Assumes that a lease was received just now by the next lifetime of the worker. One that was meant for the former
     * lifetime ends far in the future on the new clock, and the worker shortens it to the longest lease.
     */
    void assumeReceived(long nowMs) {
        sentUntilMs = Math.max(sentUntilMs, nowMs + leaseMs);
    }

    boolean isGranted(long nowMs) {
        ClockReading before = granted ? readingBeforeTick() : null;
        return before != null
                && grantedTickMs + leaseMs > nowMs
                && before.clockAt(grantedTickMs) + leaseMs > readings.getLast().clockAt(nowMs);
    }

    /**
     * Returns the end of the lease on the worker's clock and records that it is sent; {@link WorkerCalls#NO_LEASE} if
     * none is granted.
     */
    long issueUntilMs(long nowMs) {
        if (!isGranted(nowMs)) {
            return WorkerCalls.NO_LEASE;
        }
        sentUntilMs = Math.max(sentUntilMs, grantedTickMs + leaseMs);
        return readingBeforeTick().clockAt(grantedTickMs) + leaseMs;
    }

    /** Returns whether every lease that was sent has expired at the worker. */
    boolean hasExpired(long nowMs) {
        return expiresInMs(nowMs) < 0;
    }

    /**
     * Returns the time after which every lease that was sent has expired at the worker, in milliseconds; negative if
     * that is past.
     */
    long expiresInMs(long nowMs) {
        return sentUntilMs + leaseMs * CLOCK_DRIFT_PERCENT / 100 + LAPSE_MARGIN_MS - nowMs;
    }

    /*
     * Helpers
     */

    /** Returns the last reading that precedes the granted tick, or null. */
    private ClockReading readingBeforeTick() {
        ClockReading before = null;
        for (ClockReading reading : readings) {
            if (reading.receivedAtMs() > grantedTickMs) {
                break;
            }
            before = reading;
        }
        return before;
    }

    /** Discards all readings before the last one that precedes the granted tick. */
    private void discardUnusedReadings() {
        while (readings.size() > 1) {
            ClockReading first = readings.removeFirst();
            if (readings.getFirst().receivedAtMs() > grantedTickMs) {
                readings.addFirst(first);
                return;
            }
        }
    }
}
