package org.fulmarreach.entry.jobs;

/** Outcome of a request that has to be stored. */
public sealed interface WriteOutcome {
    /** It is stored. */
    record Stored() implements WriteOutcome {}

    /**
     * It is not stored and never will be.
     *
     * @param reason why
     */
    record Refused(String reason) implements WriteOutcome {}

    /**
     * It may be stored, now or later.
     *
     * @param reason why that is not known
     */
    record Undecided(String reason) implements WriteOutcome {}

    /** There is nothing to change. */
    record Missing() implements WriteOutcome {}
}
