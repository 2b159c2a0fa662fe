package org.fulmarreach.core.jobs;

/** Status of a job as callers see it. */
public enum JobStatus {
    /** No worker has begun a task yet. */
    QUEUED,
    /** A worker has begun at least one task. */
    RUNNING,
    /** All tasks are done. */
    COMPLETED,
    /** A task failed as often as its queue allows. */
    FAILED,
    /** The caller cancelled it. */
    CANCELLED;

    static JobStatus of(boolean allDone, boolean begun, boolean cancelled) {
        if (allDone) {
            return COMPLETED;
        }
        if (cancelled) {
            return CANCELLED;
        }
        return begun ? RUNNING : QUEUED;
    }

    /** Tells whether the status is final. */
    public boolean isFinal() {
        return this == COMPLETED || this == FAILED || this == CANCELLED;
    }
}
