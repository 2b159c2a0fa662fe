package org.fulmarreach.guard;

import org.apache.pekko.actor.typed.ActorRef;
import org.fulmarreach.core.exc.Result;
import org.fulmarreach.core.model.Target;
import org.fulmarreach.core.request.RequestId;
import org.fulmarreach.platform.TargetReply;
import org.fulmarreach.protocol.thrift.Call;
import org.fulmarreach.protocol.thrift.CancelCall;
import org.fulmarreach.protocol.thrift.Resolve;
import org.fulmarreach.runtime.net.FrameLink;

/** Messages of the actor that owns the execution table and the target's slots. */
sealed interface CallCommand {
    /**
     * An entry sent a call.
     *
     * @param link connection for the result
     * @param correlationId id of the frame, repeated in the result
     * @param call the call
     */
    record CallReceived(FrameLink link, long correlationId, Call call) implements CallCommand {}

    /**
     * An entry asks for the outcome of a request.
     *
     * @param link connection for the answer
     * @param correlationId id of the frame, repeated in the answer
     * @param resolve the request for the outcome
     */
    record ResolveReceived(FrameLink link, long correlationId, Resolve resolve) implements CallCommand {}

    /**
     * An entry no longer waits for a result.
     *
     * @param link connection of the entry
     * @param cancel names the call
     */
    record CancelReceived(FrameLink link, CancelCall cancel) implements CallCommand {}

    /**
     * A connection ended.
     *
     * @param link the connection
     */
    record LinkClosed(FrameLink link) implements CallCommand {}

    /**
     * A call to the target has ended.
     *
     * @param id id of the request
     * @param reply answer of the target, or the failure
     */
    record TargetReplied(RequestId id, TargetReply reply) implements CallCommand {}

    /**
     * A poll of the target was answered or failed.
     *
     * @param announcement announcement of the target, or the failure
     */
    record PollCompleted(Result<Target> announcement) implements CallCommand {}

    /**
     * Requests the state of the calls.
     *
     * @param replyTo receives the state
     */
    record ReportStatus(ActorRef<LinksCommand> replyTo) implements CallCommand {}

    /**
     * Refuses new calls from now on.
     *
     * @param cause cause to log
     */
    record StartLeaving(String cause) implements CallCommand {}

    /** Timers of the actor. */
    enum Timer implements CallCommand {
        /** Polls the target. */
        POLL,
        /** Closes the latency window. */
        WINDOW,
        /** Refuses queued calls that can no longer meet their deadline, and starts others on free slots. */
        EXPIRY
    }
}
