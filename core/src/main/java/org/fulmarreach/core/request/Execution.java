package org.fulmarreach.core.request;

import org.fulmarreach.core.exc.Problem;

/**
 * What a guard knows about one request id. Immutable when the answer is.
 *
 * @param <A> type of the kept answers
 */
public sealed interface Execution<A> {
    /**
     * The id has not been used and may run now. The caller must decide at once with {@link ExecutionTable#begin} or
     * {@link ExecutionTable#refuse}.
     *
     * @param <A> type of the kept answers
     */
    record Fresh<A>() implements Execution<A> {}

    /**
     * The request runs.
     *
     * @param <A> type of the kept answers
     */
    record Running<A>() implements Execution<A> {}

    /**
     * The request ran.
     *
     * @param answer the whole answer, or null when the byte budget no longer holds it
     * @param <A> type of the kept answers
     */
    record Done<A>(A answer) implements Execution<A> {}

    /**
     * The request has not run and never will.
     *
     * @param problem why it was refused
     * @param <A> type of the kept answers
     */
    record Refused<A>(Problem problem) implements Execution<A> {}

    /**
     * The request will not run from now on; whether it has is not known.
     *
     * @param problem why it is not known
     * @param <A> type of the kept answers
     */
    record Unknown<A>(Problem problem) implements Execution<A> {}
}
