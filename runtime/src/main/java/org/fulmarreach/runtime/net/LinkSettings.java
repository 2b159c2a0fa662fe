package org.fulmarreach.runtime.net;

/**
 * Limits of a connection. Immutable.
 *
 * @param silenceTimeoutMs time in milliseconds without a received frame after which a connection is closed
 * @param connectTimeoutMs timeout in milliseconds for opening a connection
 * @param maxFrameBytes maximum size of a frame
 * @param maxPendingBytes maximum number of bytes queued for a peer; a connection over it is closed
 */
public record LinkSettings(int silenceTimeoutMs, int connectTimeoutMs, int maxFrameBytes, int maxPendingBytes) {
    /** A connection is closed after four missed heartbeats of 500 ms, so that a silent peer is detected within 2 s. */
    public static final LinkSettings DEFAULT = new LinkSettings(2_000, 1_000, 4 * 1024 * 1024, 8 * 1024 * 1024);

    /** Returns a copy with another silence timeout in milliseconds. */
    public LinkSettings withSilenceTimeoutMs(int newSilenceTimeoutMs) {
        return new LinkSettings(newSilenceTimeoutMs, connectTimeoutMs, maxFrameBytes, maxPendingBytes);
    }

    /** Returns a copy with another timeout for opening a connection, in milliseconds. */
    public LinkSettings withConnectTimeoutMs(int newConnectTimeoutMs) {
        return new LinkSettings(silenceTimeoutMs, newConnectTimeoutMs, maxFrameBytes, maxPendingBytes);
    }

    /** Returns a copy with another limit on pending bytes. */
    public LinkSettings withMaxPendingBytes(int newMaxPendingBytes) {
        return new LinkSettings(silenceTimeoutMs, connectTimeoutMs, maxFrameBytes, newMaxPendingBytes);
    }
}
