package org.fulmarreach.core.request;

import org.fulmarreach.core.exc.Problem;

/**
 * Execution state of one request id at its guard. Immutable if the answer is immutable.
 *
 * @param <A> type of the kept answers
 */
public sealed interface Execution<A> {
    /**
     * The id has not been used and may run now. The caller must decide immediately with {@link ExecutionTable#begin} or
     * {@link ExecutionTable#refuse}.
     *
     * @param <A> type of the kept answers
     */
    record Fresh<A>() implements Execution<A> {}

    /**
     * The request is running.
     *
     * @param <A> type of the kept answers
     */
    record Running<A>() implements Execution<A> {}

    /**
     * The request ran.
     *
     * @param answer the complete answer, or null if it was dropped because of the limit on kept bytes
     * @param <A> type of the kept answers
     */
    record Done<A>(A answer) implements Execution<A> {}

    /**
     * The request has not run and will never run.
     *
     * @param problem why it was refused
     * @param <A> type of the kept answers
     */
    record Refused<A>(Problem problem) implements Execution<A> {}

    /**
     * The request will not run from now on; whether it has run is unknown.
     *
     * @param problem why it is unknown
     * @param <A> type of the kept answers
     */
    record Unknown<A>(Problem problem) implements Execution<A> {}
}
