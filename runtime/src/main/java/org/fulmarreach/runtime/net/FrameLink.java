package org.fulmarreach.runtime.net;

import org.fulmarreach.protocol.thrift.Body;

/** One open connection to another process. Implementations are thread-safe; sending never blocks. */
public interface FrameLink {
    /** Sends a one-way message. A message to a closed connection is dropped. */
    default void send(Body body) {
        send(0, body);
    }

    /**
     * Sends a message. One that is over the limit of a frame is dropped with a log line, so that it neither stops its
     * sender nor the messages after it.
     *
     * @param correlationId id that matches an answer to its request; 0 for one-way messages
     * @param body the message
     */
    void send(long correlationId, Body body);

    /** Closes the connection; the listener gets {@link LinkEvent.Closed}. */
    void close();

    /** Returns the address of the other end as {@code host:port}. */
    String remoteAddress();
}
