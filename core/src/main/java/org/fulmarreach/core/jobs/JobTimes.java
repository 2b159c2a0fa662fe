package org.fulmarreach.core.jobs;

/**
 * Times that the leader's decisions about jobs depend on, in milliseconds. Immutable.
 *
 * @param leaseMs bound on the lease of everything on a worker, from the platform's settings
 * @param statusRetentionMs how long the state of a settled job is kept, from the platform's settings
 * @param cancelMs time after an acknowledged cancellation from which on no task of its job may start, from the
 *     platform's settings
 */
public record JobTimes(long leaseMs, long statusRetentionMs, long cancelMs) {
    /** A leader that cannot write grants leases for this long after its last acknowledged write. */
    public static final long GRANT_WITHOUT_STORE_MS = 8_000;

    /** An order that is not seen carried out is sent again after this time; a guard repeats calls far more often. */
    static final long START_RETRY_MS = 1_000;

    /** A run that is not seen on a reachable worker after this time is withdrawn. Two retries fit into it. */
    static final long START_GIVE_UP_MS = 2_500;

    /** Stops are repeated in this interval until the end is listed. */
    static final long STOP_RETRY_MS = 500;

    /**
     * A run without any progress for this long is taken as stalled. The slowest tasks take some 15 s, so one percent
     * takes 150 ms; a worker that is slowed down eight times still advances in this time.
     */
    static final long STALL_MS = 1_800;

    /** The same for a task that was slowed down and has a checkpoint, so that a move costs it about half a second. */
    static final long PACED_MOVE_MS = 1_000;

    /** The same for a task that was slowed down and has no checkpoint: half a period of the usual swings of load. */
    static final long PACED_STALL_MS = 5_000;

    /** A long-running task that is not at work after this time is moved; start-up takes up to a second. */
    static final long WARM_UP_MS = 4_000;

    /** Guards report every 500 ms; a worker without a report for this long gets no new work. */
    static final long GUARD_SILENCE_MS = 1_600;

    /** A worker on which runs fail or stall in a row is left alone for this long, then tried again. */
    static final long SUSPICION_MS = 4_000;

    /** Share of {@link #cancelMs} that the leader's knowledge of cancellations may be old when a start leaves. */
    private static final int KNOWLEDGE_PART = 3;

    /** Share of {@link #cancelMs} that a start may take from the leader to the worker's connection. */
    private static final int TRANSIT_PART = 2;

    /** A worker's clock may be slow by 2%. */
    private static final int CLOCK_DRIFT_PERCENT = 2;

    /** Covers the delay between the end of a lease and its effect. */
    private static final long LEASE_MARGIN_MS = 300;

    /**
     * Returns the greatest age of the leader's knowledge of cancellations with which starts may leave, in milliseconds.
     * Together with {@link #startValidMs} it leaves a sixth of the bound for the call to the worker.
     */
    public long maxKnowledgeAgeMs() {
        return cancelMs / KNOWLEDGE_PART;
    }

    /** Returns how long after the report that it answers a guard may send a start to its worker, in milliseconds. */
    public long startValidMs() {
        return cancelMs / TRANSIT_PART;
    }

    /** Time after the last grant at which nothing can run on the worker any more. */
    long lapseMs() {
        return leaseMs + leaseMs * CLOCK_DRIFT_PERCENT / 100 + LEASE_MARGIN_MS;
    }
}
