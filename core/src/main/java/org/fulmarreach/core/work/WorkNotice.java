package org.fulmarreach.core.work;

/** What a shard leader tells its operators. */
public enum WorkNotice {
    /** This entry leads the shard. */
    LEADING,
    /** This entry leads the shard no longer. */
    DEPOSED,
    /** The log keeps no snapshot to start from. */
    NO_SNAPSHOT,
    /** The leader goes on without the store. */
    OUTAGE_ENTERED,
    /** The store accepts records again. */
    OUTAGE_ENDED,
    /** A placement was given up because its VM cannot be reached. */
    PLACEMENT_LOST,
    /** A run failed on several VMs and is not started again. */
    QUARANTINED,
    /** A run is evicted. */
    EVICTED,
    /** A run cannot meet its deadline, or fits on no VM. */
    DEADLINE_AT_RISK,
    /** A VM fails the tasks that it starts and gets no new ones for a while. */
    VM_EJECTED,
    /** All earlier leaders are known to have no valid grant. */
    SETTLED
}
