package org.fulmarreach.runtime.net;

import org.fulmarreach.protocol.thrift.Frame;

/**
 * Event of a connection. A connection reports {@link Opened} once, then {@link Received} for each frame, then
 * {@link Closed} once; one that cannot be opened reports only {@link Closed}.
 */
public sealed interface LinkEvent {
    /**
     * The connection is open.
     *
     * @param link the connection
     */
    record Opened(FrameLink link) implements LinkEvent {}

    /**
     * A frame arrived.
     *
     * @param link the connection
     * @param frame the frame
     */
    record Received(FrameLink link, Frame frame) implements LinkEvent {}

    /**
     * The connection ended or could not be opened.
     *
     * @param link the connection; null if it was never opened
     * @param reason why it ended or could not be opened
     */
    record Closed(FrameLink link, String reason) implements LinkEvent {
        /** Returns whether the connection was refused, which means that no process listens at the address. */
        public boolean isRefused() {
            return link == null && reason.contains("refused");
        }
    }
}
