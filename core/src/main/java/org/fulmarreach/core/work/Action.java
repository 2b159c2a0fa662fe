package org.fulmarreach.core.work;

import org.fulmarreach.core.exc.Result;

/** What the owner of a shard has to do, in order. Immutable. */
public sealed interface Action {
    /**
     * Append a record to the shard's stream, and report the result.
     *
     * @param batch content
     */
    record Append(WorkBatch batch) implements Action {}

    /**
     * Send a message to a guard.
     *
     * @param vm VM of the guard
     * @param message message
     */
    record ToGuard(String vm, GuardMessage message) implements Action {}

    /**
     * Send a message to another entry.
     *
     * @param entryId receiver
     * @param message message
     */
    record ToPeer(String entryId, PeerMessage message) implements Action {}

    /** Try an append to a stream without readers, and report whether the store took it. */
    record ProbeStore() implements Action {}

    /**
     * Write an event.
     *
     * @param notice what happened
     * @param detail the values involved
     */
    record Notify(WorkNotice notice, String detail) implements Action {}

    /**
     * Answer a request for cancellation.
     *
     * @param requestId id given with the request
     * @param result names the work, or why it cannot be cancelled
     */
    record CancelAnswer(long requestId, Result<String> result) implements Action {}

    /** Tell that the resignation is in the log. */
    record Resigned() implements Action {}
}
