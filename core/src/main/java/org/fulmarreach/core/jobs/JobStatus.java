package org.fulmarreach.core.jobs;

/** State of a job as callers see it. */
public enum JobStatus {
    /** No task has begun. */
    QUEUED,
    /** A task has begun. */
    RUNNING,
    /** All tasks are done. */
    COMPLETED,
    /** A task failed as often as its queue allows. */
    FAILED,
    /** Its caller cancelled it. */
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

    /** Tells whether the state never changes again. */
    public boolean isFinal() {
        return this == COMPLETED || this == FAILED || this == CANCELLED;
    }
}
