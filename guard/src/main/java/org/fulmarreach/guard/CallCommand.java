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
    record Received(FrameLink link, long correlationId, Call call) implements CallCommand {}

    /**
     * An entry asks what became of a request.
     *
     * @param link connection for the answer
     * @param correlationId id of the frame, repeated in the answer
     * @param resolve the question
     */
    record Asked(FrameLink link, long correlationId, Resolve resolve) implements CallCommand {}

    /**
     * An entry no longer waits for a result.
     *
     * @param link connection of the entry
     * @param cancel which call
     */
    record Cancelled(FrameLink link, CancelCall cancel) implements CallCommand {}

    /**
     * A connection ended.
     *
     * @param link the connection
     */
    record LinkClosed(FrameLink link) implements CallCommand {}

    /**
     * The target is done with a call.
     *
     * @param id request
     * @param reply what came of it
     */
    record Answered(RequestId id, TargetReply reply) implements CallCommand {}

    /**
     * The target was polled.
     *
     * @param announcement its announcement or the failure
     */
    record Polled(Result<Target> announcement) implements CallCommand {}

    /**
     * Asks for the state.
     *
     * @param replyTo gets the state
     */
    record Report(ActorRef<LinksCommand> replyTo) implements CallCommand {}

    /**
     * Asks to refuse new calls from now on.
     *
     * @param cause for the event
     */
    record Leave(String cause) implements CallCommand {}

    /** Periodic work. */
    enum Timer implements CallCommand {
        /** Polls the target. */
        POLL,
        /** Closes the latency window. */
        WINDOW,
        /** Gives up queued calls that would be late. */
        EXPIRY
    }
}
