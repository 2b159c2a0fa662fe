package org.fulmarreach.core.overload;

/** Decision about the admission of a job. */
public sealed interface AdmissionDecision {
    /** The job is accepted. */
    record Accept() implements AdmissionDecision {}

    /**
     * The job is refused, since its result would come too late to be of use.
     *
     * @param retryAfterMs time after which a repeated request may be accepted, in milliseconds
     * @param rankClass lowest rank class of the job's priority that goes before it
     * @param expectedStartMs time until its start by the backlog that goes before it, in milliseconds
     * @param latestStartMs time until the start from which its result would be of no use, in milliseconds
     * @param loadAgeMs age of the load that the decision is based on, in milliseconds
     */
    record Refuse(long retryAfterMs, RankClass rankClass, long expectedStartMs, long latestStartMs, long loadAgeMs)
            implements AdmissionDecision {
        /** Returns a sentence for the caller. */
        public String reason() {
            return "the pool has too little room: the job would start in about " + expectedStartMs
                    + " ms, but its result is of no use if it starts after " + latestStartMs
                    + " ms; try again after the time in Retry-After";
        }
    }
}
