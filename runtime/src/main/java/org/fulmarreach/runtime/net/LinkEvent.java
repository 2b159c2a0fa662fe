package org.fulmarreach.runtime.net;

import org.fulmarreach.protocol.thrift.Frame;

/** What happens on a connection, in order: opened once, frames, closed once. */
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
     * @param link the connection; null when it was never opened
     * @param reason why
     */
    record Closed(FrameLink link, String reason) implements LinkEvent {}
}
