package org.fulmarreach.guard.jobs;

import java.time.InstantSource;

import org.fulmarreach.core.jobs.FencingToken;

/**
 * Generation of the fencing tokens that a guard sends to its worker. It rises with each lifetime of the worker and with
 * each process of the guard, so that a worker which has answered refuses the delayed calls of before. The wall clock
 * carries the order over to the next process of the guard, which knows nothing of the former one. Owned by one actor;
 * not thread-safe.
 */
final class WorkerFence {
    /** Resolution of a generation that is taken from the wall clock: 2^6 = 64 ms. */
    private static final int MILLIS_SHIFT = 6;

    /** Bound on a single rise after a refusal; about 25 days on the wall clock. */
    private static final long MAX_STEP = 1L << 25;

    private final InstantSource wallClock;
    private long generation;
    private long step = 1;

    /** Constructs the fence of a guard that starts now. */
    WorkerFence(InstantSource wallClock) {
        this.wallClock = wallClock;
        raiseTo(wallClockGeneration());
    }

    /** Returns the token of a call, for the highest term that the guard knows. */
    FencingToken token(long term) {
        return new FencingToken(term, generation);
    }

    /** Raises the generation for another lifetime of the worker. */
    void onLifetime() {
        raiseTo(Math.max(generation + 1, wallClockGeneration()));
    }

    /** Records that the worker has answered a call. */
    void onAnswered() {
        step = 1;
    }

    /**
     * Handles the refusal of a call because the worker has seen a higher token. If the leader's term is known, a former
     * process of this guard may have used a higher generation, before the wall clock was set back. The steps double, so
     * that the generation passes the unknown one after a few calls.
     */
    void onRefused(FencingToken refused) {
        if (refused.term() > 0 && refused.generation() == generation) {
            raiseTo(generation + step);
            step = Math.min(MAX_STEP, 2 * step);
        }
    }

    /*
     * Helpers
     */

    private long wallClockGeneration() {
        return wallClock.millis() >> MILLIS_SHIFT;
    }

    private void raiseTo(long newGeneration) {
        generation = Math.min(FencingToken.MAX_GENERATION, newGeneration);
    }
}
