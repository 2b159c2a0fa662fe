package org.fulmarreach.core.work;

/** Phase of a task at its guard. */
public enum GuardTaskPhase {
    /** The worker agent has been asked to start it. */
    STARTING,
    /** It runs. */
    RUNNING,
    /** The worker agent has been or will be asked to stop it. */
    STOPPING,
    /** It does not run any more. */
    STOPPED,
    /** It ended by itself with success. */
    SUCCEEDED,
    /** It could not start or ended by itself with an error. */
    FAILED,
    /** It was not started and never will be under this id. */
    REFUSED;

    /** Tells whether the task has provably ended, or never began. */
    public boolean isFinal() {
        return ordinal() >= STOPPED.ordinal();
    }
}
