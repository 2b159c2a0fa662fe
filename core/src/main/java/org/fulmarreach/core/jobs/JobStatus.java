package org.fulmarreach.core.jobs;

/** Status of a job as callers see it. */
public enum JobStatus {
    /** No run has been assigned yet. */
    QUEUED,
    /** At least one run has been assigned. */
    RUNNING,
    /** All tasks are done. */
    COMPLETED,
    /** A task failed as often as its queue allows. */
    FAILED,
    /** The caller cancelled it. */
    CANCELLED;

    static JobStatus of(boolean allDone, boolean started, boolean cancelled) {
        if (allDone) {
            return COMPLETED;
        }
        if (cancelled) {
            return CANCELLED;
        }
        return started ? RUNNING : QUEUED;
    }

    /** Tells whether the status is final. */
    public boolean isFinal() {
        return this == COMPLETED || this == FAILED || this == CANCELLED;
    }
}
