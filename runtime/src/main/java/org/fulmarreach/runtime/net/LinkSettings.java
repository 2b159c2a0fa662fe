package org.fulmarreach.runtime.net;

/**
 * Limits of a connection. Immutable.
 *
 * @param silenceTimeoutMs a connection without a received frame for this long is closed
 * @param connectTimeoutMs bound for opening a connection
 * @param maxFrameBytes largest frame
 * @param maxPendingBytes bytes that may wait for a peer that does not read, before its connection is closed
 */
public record LinkSettings(int silenceTimeoutMs, int connectTimeoutMs, int maxFrameBytes, int maxPendingBytes) {
    /** Four missed heartbeats of 500 ms close a connection, so that a silent one costs at most 2 s. */
    public static final LinkSettings DEFAULT = new LinkSettings(2_000, 1_000, 4 * 1024 * 1024, 8 * 1024 * 1024);

    /** Returns a copy with another silence timeout in milliseconds. */
    public LinkSettings withSilenceTimeoutMs(int newSilenceTimeoutMs) {
        return new LinkSettings(newSilenceTimeoutMs, connectTimeoutMs, maxFrameBytes, maxPendingBytes);
    }

    /** Returns a copy with another bound for pending bytes. */
    public LinkSettings withMaxPendingBytes(int newMaxPendingBytes) {
        return new LinkSettings(silenceTimeoutMs, connectTimeoutMs, maxFrameBytes, newMaxPendingBytes);
    }
}
