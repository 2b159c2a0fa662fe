package org.fulmarreach.core.work;

/** Phase of a task at its guard. */
public enum GuardTaskPhase {
    /** The worker agent has been asked to start the task. */
    STARTING,
    /** The task runs. */
    RUNNING,
    /** The worker agent has been or will be asked to stop the task. */
    STOPPING,
    /** The task was stopped or lost and no longer runs. */
    STOPPED,
    /** The task completed successfully. */
    SUCCEEDED,
    /** The task could not be started or ended with an error. */
    FAILED,
    /** The start was refused; the task will never run under this id. */
    REFUSED;

    /** Returns whether the task has provably ended or was never started. */
    public boolean isFinal() {
        return ordinal() >= STOPPED.ordinal();
    }
}
