package org.fulmarreach.guard;

/** Messages of the guard's guardian, which takes the steps of a planned stop in order. */
sealed interface GuardCommand {
    /**
     * Begins a planned stop that is not taken back.
     *
     * @param cause for the event
     */
    record Drain(String cause) implements GuardCommand {}

    /**
     * The calls changed between ready and leaving.
     *
     * @param status present state
     */
    record CallsChanged(CallStatus status) implements GuardCommand {}

    /** Steps reported by the other actors. */
    enum Step implements GuardCommand {
        /** The target leaves; no call runs any more. */
        CALLS_ENDED,
        /** The target no longer leaves. */
        TARGET_RETURNED,
        /** All tasks have stopped and been acknowledged. */
        TASKS_ENDED,
        /** Calls have had their part of the drain bound. */
        CALLS_OVERDUE,
        /** The drain bound has passed. */
        DRAIN_OVERDUE
    }
}
