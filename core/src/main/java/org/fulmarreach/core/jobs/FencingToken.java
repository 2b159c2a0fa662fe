package org.fulmarreach.core.jobs;

/**
 * Number that a guard sends with each call to its worker, which does nothing for a lower one than the highest that it
 * has seen. Tokens are ordered by term first, so that a new leader outranks all former ones, and by generation within a
 * term. A guard raises the generation for each lifetime of its worker: once a lifetime has answered a call with its
 * own token, it carries out no call any more that was meant for a former lifetime under the same id, however late that
 * call arrives. Immutable.
 *
 * @param term highest term that the guard knows; 0 before it knows one
 * @param generation position of the lifetime among those of the guard's worker, from 0 to {@link #MAX_GENERATION}
 */
public record FencingToken(long term, long generation) {
    private static final int GENERATION_BITS = 36;

    /** Largest generation. */
    public static final long MAX_GENERATION = (1L << GENERATION_BITS) - 1;

    /** Returns the token of a number that was sent to a worker. */
    public static FencingToken ofValue(long value) {
        return new FencingToken(value >> GENERATION_BITS, value & MAX_GENERATION);
    }

    /** Returns the number that is sent to the worker; exact as a floating-point number up to term 131,071. */
    public long value() {
        return term << GENERATION_BITS | generation;
    }
}
