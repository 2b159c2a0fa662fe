package org.fulmarreach.core.jobs;

/** How a run ended. */
public enum RunEnd {
    /** It succeeded. */
    DONE,
    /** It failed, because of the task or of the worker. */
    FAILED,
    /** It was stopped by an order. */
    STOPPED,
    /** Its lease expired. */
    LAPSED,
    /** Another member of its gang ended. */
    BROKEN,
    /** The other members of its gang did not start in time. */
    ALONE,
    /** The worker reported an end that this version does not recognize. */
    OTHER
}
