package org.fulmarreach.runtime.net;

import java.util.Arrays;

import org.fulmarreach.core.exc.FrameException;

/**
 * Splits the bytes of a connection into frames. A frame is preceded by its length in bytes, a big-endian number of four
 * bytes. Not thread-safe.
 */
final class FrameDecoder {
    /** Size of the length that precedes each frame, in bytes. */
    static final int LENGTH_BYTES = 4;

    private static final int BYTE_MASK = 0xff;
    private static final byte[] EMPTY = {};

    private final int maxFrameBytes;
    private final Consumer frames;
    private byte[] partial = EMPTY;
    private int partialBytes;

    /**
     * Constructs a decoder.
     *
     * @param maxFrameBytes maximum size of a frame
     * @param frames receives each complete frame
     */
    FrameDecoder(int maxFrameBytes, Consumer frames) {
        this.maxFrameBytes = maxFrameBytes;
        this.frames = frames;
    }

    /** Receives frames. */
    interface Consumer {
        /** Receives a frame as a range of an array. The decoder never changes that range afterwards. */
        void accept(byte[] bytes, int offset, int length);
    }

    /**
     * Decodes received bytes and passes on all frames that they complete.
     *
     * @param received bytes; the caller must not change them afterwards
     * @throws FrameException if a frame has a negative length or is over the maximum
     */
    void decode(byte[] received) {
        if (partialBytes == 0) {
            keep(received, decodeFrames(received, received.length), received.length);
            return;
        }
        int end = partialBytes + received.length;
        if (end > partial.length) {
            partial = Arrays.copyOf(partial, Math.max(end, 2 * partialBytes));
        }
        System.arraycopy(received, 0, partial, partialBytes, received.length);
        partialBytes = end;
        int decoded = decodeFrames(partial, end);
        if (decoded > 0) {
            keep(partial, decoded, end);
        }
    }

    /** Returns whether the received bytes end within a frame. */
    boolean isWithinFrame() {
        return partialBytes > 0;
    }

    /** Decodes the complete frames at the start of an array; returns their size, including the lengths. */
    private int decodeFrames(byte[] bytes, int end) {
        int at = 0;
        while (end - at >= LENGTH_BYTES) {
            int length = readLength(bytes, at);
            if (length < 0 || length > maxFrameBytes) {
                throw new FrameException("frame of " + length + " bytes, the limit is " + maxFrameBytes);
            }
            if (end - at - LENGTH_BYTES < length) {
                break;
            }
            frames.accept(bytes, at + LENGTH_BYTES, length);
            at += LENGTH_BYTES + length;
        }
        return at;
    }

    /** Copies the rest into a new array, since decoded frames may refer to the old one. */
    private void keep(byte[] bytes, int from, int end) {
        partialBytes = end - from;
        partial = partialBytes == 0 ? EMPTY : Arrays.copyOfRange(bytes, from, end);
    }

    private static int readLength(byte[] bytes, int at) {
        return bytes[at] << 24
                | (bytes[at + 1] & BYTE_MASK) << 16
                | (bytes[at + 2] & BYTE_MASK) << 8
                | bytes[at + 3] & BYTE_MASK;
    }
}
