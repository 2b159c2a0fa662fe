package org.fulmarreach.runtime.net;

import java.net.InetSocketAddress;

/**
 * A bound port on which a {@link FrameTransport} accepts connections. Thread-safe.
 *
 * @param localAddress address that the port is bound to
 * @param unbinder closes the port
 */
public record FrameBinding(InetSocketAddress localAddress, Runnable unbinder) {
    /** Accepts no further connections; accepted connections stay open. Returns before the port is closed. */
    public void unbind() {
        unbinder.run();
    }
}
