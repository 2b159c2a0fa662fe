package org.fulmarreach.core.work;

/** Phase of a run in the fold of its shard. */
public enum WorkPhase {
    /** Waits for an assignment. */
    PENDING,
    /** Assigned to a VM. */
    ASSIGNED,
    /** Assigned, and to be stopped with a checkpoint. */
    EVICTING,
    /** Ended with success. */
    DONE,
    /** Cancelled; it may still have a VM until its execution has ended. */
    CANCELLED,
    /** Failed on several VMs and is not started again. */
    QUARANTINED;

    /** Tells whether no further execution follows, except for cancelled standing work with a changed rule. */
    public boolean ended() {
        return this == DONE || this == CANCELLED || this == QUARANTINED;
    }
}
