package org.fulmarreach.guard;

/** Messages of the guard's guardian actor, which carries out the steps of a planned stop in order. */
sealed interface GuardCommand {
    /**
     * Begins a planned stop, which cannot be undone.
     *
     * @param cause cause to log
     */
    record Drain(String cause) implements GuardCommand {}

    /**
     * The calls changed between ready and leaving.
     *
     * @param status current state
     */
    record CallsChanged(CallStatus status) implements GuardCommand {}

    /** Steps reported by the other actors. */
    enum Step implements GuardCommand {
        /** The guard or its target is leaving, and no call is running or queued any more. */
        CALLS_ENDED,
        /** The target is no longer leaving. */
        TARGET_RETURNED,
        /** All tasks have stopped and been acknowledged. */
        TASKS_ENDED,
        /** The entries know that the guard is leaving, and have received its answers. */
        ENTRIES_CONFIRMED,
        /** An entry has not confirmed that in time. */
        ENTRIES_SILENT,
        /** The share of the drain timeout for running calls has passed. */
        CALLS_OVERDUE,
        /** The drain timeout has passed. */
        DRAIN_OVERDUE
    }
}
