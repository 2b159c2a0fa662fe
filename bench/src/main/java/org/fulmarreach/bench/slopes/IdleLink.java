package org.fulmarreach.bench.slopes;

import org.fulmarreach.protocol.thrift.Body;
import org.fulmarreach.runtime.net.FrameLink;

/** A connection that drops what is sent. */
final class IdleLink implements FrameLink {
    @Override
    public void send(long correlationId, Body body) {
        // The bench measures the decisions; encoding is measured apart.
    }

    @Override
    public void close() {
        // Nothing is open.
    }

    @Override
    public String remoteAddress() {
        return "10.20.30.40:12345";
    }
}
