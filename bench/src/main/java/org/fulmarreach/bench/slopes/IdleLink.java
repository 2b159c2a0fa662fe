package org.fulmarreach.bench.slopes;

import org.fulmarreach.protocol.thrift.Body;
import org.fulmarreach.runtime.net.FrameLink;

/** A connection that discards all messages. */
final class IdleLink implements FrameLink {
    @Override
    public void send(long correlationId, Body body) {
        // Encoding is measured separately from the decisions.
    }

    @Override
    public void close() {
        // There is no connection to close.
    }

    @Override
    public String remoteAddress() {
        return "10.20.30.40:12345";
    }
}
