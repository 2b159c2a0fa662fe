package org.fulmarreach.bench.policy;

import java.util.Random;

/**
 * One direction of the link between the regions: a delay, a bandwidth, and a queue. When other traffic fills it, each
 * message waits for a full buffer, and some are lost once and sent again by TCP.
 */
final class RegionLink {
    static final double BYTES_PER_MS = 20e6 / 8 / 1_000;
    private static final long DELAY_MS = 8;
    private static final long FULL_BUFFER_MS = 100;
    private static final double FULL_LOSS = 0.02;
    private static final long RESEND_MS = 250;

    private final Timeline timeline;
    private final Random random;
    private double freeAtMs;
    private long ownBytes;
    private long callBytes;
    boolean full;

    RegionLink(Timeline timeline, Random random) {
        this.timeline = timeline;
        this.random = random;
    }

    /** Sends a message of the system's own, such as a peer's status or a record. */
    void sendOwn(int bytes, Runnable arrival) {
        ownBytes += bytes;
        send(bytes, arrival);
    }

    /** Sends a caller's request or answer. */
    void sendCall(int bytes, Runnable arrival) {
        callBytes += bytes;
        send(bytes, arrival);
    }

    long ownBytes() {
        return ownBytes;
    }

    long callBytes() {
        return callBytes;
    }

    private void send(int bytes, Runnable arrival) {
        freeAtMs = Math.max(freeAtMs, timeline.nowMs()) + bytes / BYTES_PER_MS;
        long delayMs = DELAY_MS + Math.round(freeAtMs - timeline.nowMs());
        if (full) {
            delayMs += FULL_BUFFER_MS + (random.nextDouble() < FULL_LOSS ? RESEND_MS : 0);
        }
        timeline.after(delayMs, arrival);
    }
}
