package org.fulmarreach.core.work;

/** Kinds of events about a shard that are reported to operators. */
public enum WorkNotice {
    /** This entry leads the shard. */
    LEADING,
    /** This entry no longer leads the shard. */
    DEPOSED,
    /** The retained log contains no snapshot to start from. */
    NO_SNAPSHOT,
    /** The leader continues without the store. */
    OUTAGE_ENTERED,
    /** The store accepts records again. */
    OUTAGE_ENDED,
    /** A placement was released because its VM cannot be reached. */
    PLACEMENT_LOST,
    /** A run failed on several VMs and will not be started again. */
    QUARANTINED,
    /** A run is being evicted. */
    EVICTED,
    /** A run cannot meet its deadline, or fits on no VM. */
    DEADLINE_AT_RISK,
    /** A VM's worker fails the tasks that it starts; the VM gets no new tasks for some time. */
    VM_EJECTED,
    /** No grant of an earlier leader can be valid any more. */
    SETTLED
}
