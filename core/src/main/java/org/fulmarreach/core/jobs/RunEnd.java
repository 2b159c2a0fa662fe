package org.fulmarreach.core.jobs;

/** How a run ended. */
public enum RunEnd {
    /** It succeeded. */
    DONE,
    /** It failed, by its own fault or its worker's. */
    FAILED,
    /** It was stopped on order. */
    STOPPED,
    /** Its lease ran out. */
    LAPSED,
    /** Another member of its gang ended. */
    BROKEN,
    /** The other members of its gang did not come. */
    ALONE,
    /** The worker named a kind of end that is not known here. */
    OTHER
}
