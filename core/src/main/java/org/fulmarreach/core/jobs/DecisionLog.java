package org.fulmarreach.core.jobs;

/** Receives one record for each scheduling decision. Implementations must not block. */
@FunctionalInterface
public interface DecisionLog {
    /** Discards all records. */
    DecisionLog NONE = (decision, subject, fields) -> {};

    /**
     * Records a decision.
     *
     * @param decision kind of decision
     * @param subject id of the task, job, worker or guard that the decision concerns
     * @param fields alternating keys and values: the inputs, their age or version, and the outcome
     */
    void record(Decision decision, String subject, Object... fields);

    /** Kinds of decisions. */
    enum Decision {
        /** A run was assigned to a worker. */
        RUN_ASSIGNED,
        /** A worker listed a run as running for the first time. */
        RUN_STARTED,
        /** A run ended. */
        RUN_ENDED,
        /** A worker listed the end of a run that is not the current run of its task. */
        STALE_END,
        /** A worker was told to stop a run that is not assigned to it. */
        STRAY_STOPPED,
        /** A run is being stopped, to move its task to another worker or because its job has ended. */
        RUN_MOVED,
        /** A run was declared lost, because it can no longer be running on its worker. */
        RUN_LOST,
        /** A run of a worker's former lifetime counts for the next one, which has or may have carried out its start. */
        RUN_CARRIED_OVER,
        /** A start order was refused or could not be confirmed. */
        START_REFUSED,
        /** A job was completed, failed or was cancelled. */
        JOB_SETTLED,
        /** A settled job was removed after its retention time. */
        JOB_FORGOTTEN,
        /** A guard reported a new worker, or a new lifetime of one. */
        WORKER_SEEN,
        /** A worker became reachable or unreachable, began or ended draining, or a report of a former lifetime came. */
        WORKER_CHANGED,
        /** A worker gets no new runs for a while, after several faults in a row. */
        WORKER_SUSPECTED,
        /** A worker's process seems to have ended unannounced; its runs are lost once its lease is over. */
        WORKER_CRASHED,
        /** A worker crashed before a run of the task had shown progress. */
        TASK_SUSPECTED,
        /** A task failed because it crashes the workers that start it. */
        TASK_GIVEN_UP,
        /** The CPU share of a best-effort task was lowered or raised. */
        PACE_CHANGED,
        /** What the best-effort tasks of a worker request, are allowed and use, at intervals. */
        BEST_EFFORT_LOAD,
        /** What has been learned of the interference with a serving image, at intervals. */
        INTERFERENCE_LEARNED,
        /** A long-running task that may run has not been at work for a while. */
        TASK_WAITING,
        /** A job has had no run at work for a while, though the turn of one of its tasks has come. */
        JOB_WAITING,
        /** A task that may run is over the time limit of its next step, or has no next step. */
        TASK_OVERDUE,
        /** An availability zone is evacuated; nothing is started there. */
        ZONE_EVACUATED,
        /** The last standing task has left an evacuated zone. */
        ZONE_EMPTIED,
        /** The evacuation of a zone was taken back; its workers are filled gradually. */
        ZONE_REOPENED
    }
}
