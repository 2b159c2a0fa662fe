package org.fulmarreach.core.work;

/** Recorded phase of a run. */
public enum WorkPhase {
    /** Waiting for an assignment. */
    PENDING,
    /** Assigned to a VM. */
    ASSIGNED,
    /** Assigned and to be stopped with a checkpoint. */
    EVICTING,
    /** Completed successfully. */
    DONE,
    /** Cancelled; the run keeps its VM until its execution has ended. */
    CANCELLED,
    /** Failed on several VMs; not started again. */
    QUARANTINED;

    /** Returns whether the run is not started again, except for cancelled standing work whose rule changes. */
    public boolean ended() {
        return this == DONE || this == CANCELLED || this == QUARANTINED;
    }
}
