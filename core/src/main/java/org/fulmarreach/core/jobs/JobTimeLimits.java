package org.fulmarreach.core.jobs;

/**
 * Timeouts and intervals of job scheduling, in milliseconds. Immutable.
 *
 * @param leaseMs maximum duration of the lease that covers all runs on a worker, from the platform's settings
 * @param statusRetentionMs how long the status of a settled job is kept, from the platform's settings
 * @param cancelMs time after an acknowledged cancellation by which tasks of the job must no longer start, from the
 *     platform's settings
 * @param runStopMs longest time from a worker's confirmation of a stop to the end of the run, from the platform's
 *     settings
 * @param evacuationMs time after an acknowledged evacuation of a zone by which tasks must no longer start there, from
 *     the platform's settings; 0 if the deployment has no evacuations
 */
public record JobTimeLimits(long leaseMs, long statusRetentionMs, long cancelMs, long runStopMs, long evacuationMs) {
    /** Runs outlast an outage of the store of this length: 9 s, and the time in which leases are renewed again. */
    private static final long MAX_OUTAGE_MS = 12_000;

    /** Shortest time for which a leader that cannot write grants leases, however long these are. */
    private static final long MIN_GRANT_WITHOUT_STORE_MS = 2_000;

    /** A start order is sent again if the run is not listed within this time; guards retry calls far more often. */
    static final long START_RETRY_MS = 1_000;

    /** A run that a reachable worker does not list within this time is withdrawn. Allows for two retries. */
    static final long START_WITHDRAW_MS = 2_500;

    /** Stop orders are repeated at this interval until the worker lists the end of the run. */
    static final long STOP_RETRY_MS = 500;

    /**
     * A run without any progress for this long counts as stalled. The slowest tasks take about 15 s, so one percent
     * takes 150 ms; even a worker that is eight times slower makes progress within this time.
     */
    static final long STALL_TIMEOUT_MS = 1_800;

    /** Stall timeout of a throttled task that has a checkpoint: moving it costs only about half a second. */
    static final long THROTTLED_CHECKPOINT_STALL_MS = 1_000;

    /** Stall timeout of a throttled task without a checkpoint: half a period of the usual load cycle. */
    static final long THROTTLED_STALL_MS = 5_000;

    /** Stall timeout of a long-running task, which is moved if it is not running by then; startup takes up to 1 s. */
    static final long STARTUP_TIMEOUT_MS = 4_000;

    /** A worker without a report for this long gets no new work. Guards report every 500 ms. */
    static final long REPORT_TIMEOUT_MS = 1_600;

    /** A worker on which several runs in a row failed or stalled gets no new work for this long. */
    static final long SUSPICION_MS = 4_000;

    /** Part of {@link #cancelMs}, as a divisor, by which the leader's view of cancellations may lag at a start. */
    private static final int VIEW_AGE_DIVISOR = 3;

    /** Part of {@link #cancelMs}, as a divisor, that a start may take from the leader to the worker's connection. */
    private static final int TRANSIT_DIVISOR = 2;

    /** Part of {@link #startValidMs}, as a divisor, that remains for the call to the worker at its end. */
    private static final int CALL_DIVISOR = 3;

    /** Part of the maximum age of the view of evacuations, as a divisor, that a read may wait for new records. */
    private static final int VIEW_READ_DIVISOR = 3;

    /** A worker's clock may be slow by 2%. */
    private static final int CLOCK_DRIFT_PERCENT = 2;

    /** Allows for the delay between the expiry of a lease and the end of the runs that it covers. */
    private static final long LEASE_MARGIN_MS = 300;

    /** Covers the delay between the end of a stopped run and the release of its resources. */
    private static final long STOP_MARGIN_MS = 100;

    /** Constructs the limits of a deployment without evacuations. */
    public JobTimeLimits(long leaseMs, long statusRetentionMs, long cancelMs, long runStopMs) {
        this(leaseMs, statusRetentionMs, cancelMs, runStopMs, 0);
    }

    /**
     * Returns the maximum age of the leader's view of cancellations at which start orders may be sent, in milliseconds.
     * Together with {@link #startValidMs} it leaves a sixth of {@link #cancelMs} for the call to the worker.
     */
    public long maxCancellationViewAgeMs() {
        return cancelMs / VIEW_AGE_DIVISOR;
    }

    /**
     * Returns how long a guard may still forward a start to its worker, counted from the report that the start order
     * answers, in milliseconds.
     */
    public long startValidMs() {
        long validMs = cancelMs / TRANSIT_DIVISOR;
        return hasEvacuations() ? Math.min(validMs, evacuationMs / TRANSIT_DIVISOR) : validMs;
    }

    /** Tells whether operators may evacuate zones. */
    public boolean hasEvacuations() {
        return evacuationMs > 0;
    }

    /**
     * Returns the maximum age of the leader's view of evacuations at which start orders may be sent, in milliseconds.
     * Together with {@link #startValidMs} it leaves a third of that for the call to the worker.
     */
    public long maxEvacuationViewAgeMs() {
        return hasEvacuations() ? evacuationMs - startValidMs() - startValidMs() / CALL_DIVISOR : Long.MAX_VALUE;
    }

    /**
     * Returns how long a leader's read of the operators' records may wait for new ones, in milliseconds, so that one
     * lost read does not make its view of evacuations too old.
     */
    public long evacuationReadWaitMs() {
        return maxEvacuationViewAgeMs() / VIEW_READ_DIVISOR;
    }

    /**
     * Returns for how long a leader that cannot write continues to grant leases after its last acknowledged write, in
     * milliseconds. A new leader waits this long and a lease before it restarts the runs of a guard that does not
     * report, so the time is not longer than an outage needs.
     */
    public long grantWithoutStoreMs() {
        return Math.max(MIN_GRANT_WITHOUT_STORE_MS, MAX_OUTAGE_MS - leaseMs);
    }

    /** Returns the time after a worker's confirmation of a stop by which the run has ended, in milliseconds. */
    long stopEndMs() {
        return runStopMs + runStopMs * CLOCK_DRIFT_PERCENT / 100 + STOP_MARGIN_MS;
    }

    /** Returns the time after the last grant by which no run can be left on the worker, in milliseconds. */
    long leaseExpiryMs() {
        return leaseMs + leaseMs * CLOCK_DRIFT_PERCENT / 100 + LEASE_MARGIN_MS;
    }
}
