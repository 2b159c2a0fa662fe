package org.fulmarreach.entry;

import org.fulmarreach.protocol.thrift.Body;
import org.fulmarreach.runtime.log.EventLog;
import org.fulmarreach.runtime.net.FrameLink;
import org.fulmarreach.runtime.net.LinkEvent;

/** Dispatches frames of guards and other entries to the owner of their connection. Stateless. */
public final class FrameDispatch {
    /** Handler of frames. */
    @FunctionalInterface
    public interface FrameHandler {
        /**
         * Handles a frame.
         *
         * @param link connection that the frame arrived on
         * @param correlationId id that links a request and its answer; 0 for one-way messages
         * @param body message of the frame
         */
        void handle(FrameLink link, long correlationId, Body body);
    }

    private FrameDispatch() {}

    /**
     * Dispatches a frame. If a frame lacks required fields, its connection is closed; the exception does not reach the
     * owner, whose other connections are not affected.
     *
     * @param received frame and connection
     * @param handler handler of the connection's owner
     * @param log receives an event for a frame with missing fields
     */
    public static void dispatch(LinkEvent.Received received, FrameHandler handler, EventLog log) {
        Body body = received.frame().getBody();
        try {
            handler.handle(received.link(), received.frame().getCorrelationId(), body);
        } catch (NullPointerException | IllegalArgumentException e) {
            log.emit(
                    EntryEvent.UNEXPECTED_FRAME,
                    "remote",
                    received.link().remoteAddress(),
                    "frame",
                    body.getSetField(),
                    "reason",
                    e);
            received.link().close();
        }
    }
}
