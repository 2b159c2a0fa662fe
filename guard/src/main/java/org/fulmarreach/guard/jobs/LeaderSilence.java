package org.fulmarreach.guard.jobs;

/**
 * Decides how long a guard waits for a leader that does not answer. Each connection costs the leader far more than a
 * report. If many guards connect at once, a leader with little processor time needs seconds for their first answers;
 * guards that left before then and connected again would keep it busy with connections, and none would get a session.
 * So a guard that waits for its first answer leaves only after the lease that the answer could extend.
 *
 * <p>A connection may also become silent for good while new ones work, hence the limit for an established session.
 * Silence is counted in ticks, so that time in which the guard itself was suspended does not count. Not thread-safe.
 */
final class LeaderSilence {
    /** Three missed answers: the guard reports every 500 ms and the leader answers each report. */
    static final int DOUBT_MS = 1_600;

    private final long leaseMs;
    private final int tickMs;
    private long patienceMs;
    private long silentMs;
    private long nextLookupMs;

    /** What a guard does about its connection. */
    enum Verdict {
        /** It waits on. */
        WAIT,
        /** It looks up the leader in the store, and leaves if the store names another one. */
        LOOK_UP,
        /** It closes the connection and searches for the leader. */
        LEAVE
    }

    /**
     * Constructs the silence of no connection.
     *
     * @param leaseMs longest lease of the worker, in milliseconds
     * @param tickMs interval of {@link #onTick}, in milliseconds
     */
    LeaderSilence(long leaseMs, int tickMs) {
        this.leaseMs = leaseMs;
        this.tickMs = tickMs;
    }

    /**
     * Begins with a new connection.
     *
     * @param named whether the store or an entry named its address as the leader's
     */
    void onOpened(boolean named) {
        patienceMs = named ? leaseMs : DOUBT_MS;
        restart();
    }

    /** Handles a frame from the leader. */
    void onAnswer() {
        patienceMs = leaseMs / 2;
        restart();
    }

    /** Counts a tick without a frame and returns what to do. */
    Verdict onTick() {
        silentMs += tickMs;
        if (silentMs >= patienceMs) {
            return Verdict.LEAVE;
        }
        if (silentMs < nextLookupMs) {
            return Verdict.WAIT;
        }
        nextLookupMs += DOUBT_MS;
        return Verdict.LOOK_UP;
    }

    /** Returns for how long no frame has come, in milliseconds. */
    long silentMs() {
        return silentMs;
    }

    private void restart() {
        silentMs = 0;
        nextLookupMs = DOUBT_MS;
    }
}
