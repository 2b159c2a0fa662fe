package org.fulmarreach.bench.policy;

import java.util.Random;

/**
 * One direction of the link between the regions, with a delay, a bandwidth and a queue. When other traffic saturates
 * the link, each message waits behind a full buffer, and some are lost once and retransmitted by TCP.
 */
final class RegionLink {
    static final double BYTES_PER_MS = 20e6 / 8 / 1_000;
    private static final long DELAY_MS = 8;
    private static final long FULL_BUFFER_DELAY_MS = 100;
    private static final double LOSS_FRACTION_WHEN_SATURATED = 0.02;
    private static final long RETRANSMIT_DELAY_MS = 250;

    private final Timeline timeline;
    private final Random random;
    private double freeAtMs;
    private long internalBytes;
    private long callBytes;
    boolean saturated;

    RegionLink(Timeline timeline, Random random) {
        this.timeline = timeline;
        this.random = random;
    }

    /** Sends internal traffic, such as the status of a peer or a record. */
    void sendInternal(int bytes, Runnable onArrival) {
        internalBytes += bytes;
        send(bytes, onArrival);
    }

    /** Sends a caller's request or the response to it. */
    void sendCall(int bytes, Runnable onArrival) {
        callBytes += bytes;
        send(bytes, onArrival);
    }

    long internalBytes() {
        return internalBytes;
    }

    long callBytes() {
        return callBytes;
    }

    private void send(int bytes, Runnable onArrival) {
        freeAtMs = Math.max(freeAtMs, timeline.nowMs()) + bytes / BYTES_PER_MS;
        long delayMs = DELAY_MS + Math.round(freeAtMs - timeline.nowMs());
        if (saturated) {
            delayMs += FULL_BUFFER_DELAY_MS
                    + (random.nextDouble() < LOSS_FRACTION_WHEN_SATURATED ? RETRANSMIT_DELAY_MS : 0);
        }
        timeline.after(delayMs, onArrival);
    }
}
