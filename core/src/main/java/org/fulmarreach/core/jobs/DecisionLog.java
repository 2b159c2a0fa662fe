package org.fulmarreach.core.jobs;

/** Takes a line for each decision. Implementations must not block. */
@FunctionalInterface
public interface DecisionLog {
    /** Drops all lines. */
    DecisionLog NONE = (decision, subject, fields) -> {};

    /**
     * Notes a decision.
     *
     * @param decision kind of decision
     * @param subject id of the task, job, worker or guard that it is about
     * @param fields keys and values in turn: the inputs, their age or version, and the outcome
     */
    void decided(Decision decision, String subject, Object... fields);

    /** Kinds of decisions. */
    enum Decision {
        /** A run was assigned to a worker. */
        RUN_ASSIGNED,
        /** A run was seen at work for the first time. */
        RUN_STARTED,
        /** A run ended. */
        RUN_ENDED,
        /** An end was listed for a run that is not the current one. */
        STALE_END,
        /** A run that should not be there was told to stop. */
        STRAY_STOPPED,
        /** A run is stopped so that the task can go on elsewhere. */
        RUN_MOVED,
        /** A run was given up, because its worker or its lease is gone. */
        RUN_LOST,
        /** A start was not carried out by the worker. */
        START_REFUSED,
        /** A job was done, failed or was cancelled. */
        JOB_SETTLED,
        /** A settled job was removed. */
        JOB_FORGOTTEN,
        /** A new lifetime of a worker was seen. */
        WORKER_SEEN,
        /** A worker changed between reachable, unreachable and draining. */
        WORKER_CHANGED,
        /** A worker is avoided for a while. */
        WORKER_SUSPECTED,
        /** A filling task was slowed down or released. */
        PACE_CHANGED
    }
}
