package org.fulmarreach.entry.jobs;

import org.fulmarreach.core.overload.AdmissionDecision;

/** Outcome of a request that is written to the store. */
public sealed interface WriteOutcome {
    /** The request is stored. */
    record Stored() implements WriteOutcome {}

    /**
     * The request is not stored and never will be.
     *
     * @param reason cause of the refusal
     */
    record Refused(String reason) implements WriteOutcome {}

    /**
     * The request may have been stored or may still be.
     *
     * @param reason why the outcome is unknown
     */
    record Undecided(String reason) implements WriteOutcome {}

    /**
     * The job is not stored by this entry, no append of it is in flight here, and the log did not contain it: the pool
     * has too little room for it.
     *
     * @param decision the decision with its inputs
     */
    record Overloaded(AdmissionDecision.Refuse decision) implements WriteOutcome {}

    /**
     * The job is not stored, as for {@link Overloaded}: the jobs that are kept leave too little memory for it.
     *
     * @param retryAfterMs time after which a repeated request may be accepted, in milliseconds
     */
    record TooManyJobs(long retryAfterMs) implements WriteOutcome {
        String reason() {
            return "the jobs that are kept leave too little memory for this one; try again after the time in"
                    + " Retry-After, or submit fewer tasks or occurrences at once";
        }
    }

    /**
     * The request is not stored and never will be: the store does not accept a record of its size.
     *
     * @param reason size and limit, or the status of the store
     */
    record TooLarge(String reason) implements WriteOutcome {}

    /** The job to change does not exist. */
    record Missing() implements WriteOutcome {}
}
