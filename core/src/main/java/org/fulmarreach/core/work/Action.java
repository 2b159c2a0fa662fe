package org.fulmarreach.core.work;

import org.fulmarreach.core.exc.Result;

/** An action that {@link ShardLeader} requests from its caller; actions are performed in order. Immutable. */
public sealed interface Action {
    /**
     * Append a record to the shard's stream and report the result to {@link ShardLeader#onAppendResult}.
     *
     * @param batch content of the record
     */
    record Append(WorkBatch batch) implements Action {}

    /**
     * Send a message to a guard.
     *
     * @param vm VM of the guard
     * @param message message to send
     */
    record ToGuard(String vm, GuardMessage message) implements Action {}

    /**
     * Send a message to another entry.
     *
     * @param entryId id of the receiving entry
     * @param message message to send
     */
    record ToPeer(String entryId, PeerMessage message) implements Action {}

    /** Append a record to the probe stream, which has no readers, and report whether the store accepted it. */
    record ProbeStore() implements Action {}

    /**
     * Log an event.
     *
     * @param notice what happened
     * @param detail the values involved
     */
    record Notify(WorkNotice notice, String detail) implements Action {}

    /**
     * Answer a request for cancellation.
     *
     * @param requestId id given with the request
     * @param result name of the cancelled work, or the problem that prevents the cancellation
     */
    record CancelAnswer(long requestId, Result<String> result) implements Action {}

    /** Report that the entry does not lead the shard or that its resignation is in the log. */
    record Resigned() implements Action {}
}
