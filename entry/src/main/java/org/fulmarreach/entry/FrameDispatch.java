package org.fulmarreach.entry;

import org.fulmarreach.protocol.thrift.Body;
import org.fulmarreach.runtime.log.EventLog;
import org.fulmarreach.runtime.net.FrameLink;
import org.fulmarreach.runtime.net.LinkEvent;

/** Hands frames of guards and other entries to the owner of their connection. Stateless. */
public final class FrameDispatch {
    /** Takes a frame. */
    @FunctionalInterface
    public interface Receiver {
        /**
         * Takes a frame.
         *
         * @param link connection that it came from
         * @param correlationId id of the request that it answers or that is to be answered; 0 for one-way messages
         * @param body message
         */
        void receive(FrameLink link, long correlationId, Body body);
    }

    private FrameDispatch() {}

    /**
     * Hands over a frame. A frame with missing fields ends its connection, not the owner of all others.
     *
     * @param received frame and connection
     * @param receiver owner of the connection
     * @param log gets an event for a frame with missing fields
     */
    public static void receiveChecked(LinkEvent.Received received, Receiver receiver, EventLog log) {
        Body body = received.frame().getBody();
        try {
            receiver.receive(received.link(), received.frame().getCorrelationId(), body);
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
