package org.fulmarreach.standin;

import java.util.Random;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Fault settings and byte counters of one direction of a proxied address, shared by all of its connections.
 * Thread-safe.
 */
final class ProxyFaults {
    private final Random random;
    private long delayMs;
    private long jitterMs;
    private long bitsPerS;
    private boolean dropping;
    private long truncateAfter = Long.MAX_VALUE;
    private long linkIdleAtNanos;
    private long bytesForwarded;
    private long bytesDropped;

    ProxyFaults(long seed) {
        this.random = new Random(seed);
    }

    /** Applies the settings that are present; a setting that is absent keeps its value. */
    synchronized void configure(JsonNode settings) {
        delayMs = settings.path("delayMs").asLong(delayMs);
        jitterMs = settings.path("jitterMs").asLong(jitterMs);
        bitsPerS = settings.path("bitsPerS").asLong(bitsPerS);
        dropping = settings.path("drop").asBoolean(dropping);
        if (settings.has("truncateAfter")) {
            long bytes = settings.get("truncateAfter").asLong();
            truncateAfter = bytes < 0 ? Long.MAX_VALUE : bytes;
        }
    }

    synchronized boolean isDropping() {
        return dropping;
    }

    /**
     * Returns how many of the next {@code length} bytes may be forwarded on a connection that has already forwarded
     * {@code forwarded} bytes.
     */
    synchronized int countForwardable(long forwarded, int length) {
        return (int) Math.max(0, Math.min(length, truncateAfter - forwarded));
    }

    /**
     * Returns when {@code length} bytes that arrive at {@code nowNanos} are to be delivered, per bandwidth, delay and
     * jitter.
     */
    synchronized long scheduleDeliveryNanos(long nowNanos, int length) {
        long startNanos = Math.max(nowNanos, linkIdleAtNanos);
        long sendNanos = bitsPerS <= 0 ? 0 : length * 8L * 1_000_000_000L / bitsPerS;
        linkIdleAtNanos = startNanos + sendNanos;
        long jitterNanos = jitterMs <= 0 ? 0 : (long) (random.nextDouble() * jitterMs * 1e6);
        return linkIdleAtNanos + delayMs * 1_000_000 + jitterNanos;
    }

    synchronized void countForwarded(int bytes) {
        bytesForwarded += bytes;
    }

    synchronized void countDropped(int bytes) {
        bytesDropped += bytes;
    }

    synchronized long bytesForwarded() {
        return bytesForwarded;
    }

    synchronized long bytesDropped() {
        return bytesDropped;
    }
}
