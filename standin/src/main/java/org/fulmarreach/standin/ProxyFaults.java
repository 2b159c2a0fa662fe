package org.fulmarreach.standin;

import java.util.Random;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Faults of one direction of a proxied address, shared by all its connections, and its byte counters. Safe for use by
 * several threads.
 */
final class ProxyFaults {
    private final Random random;
    private long delayMs;
    private long jitterMs;
    private long bitsPerS;
    private boolean drop;
    private long truncateAfter = Long.MAX_VALUE;
    private long linkFreeNanos;
    private long bytesForwarded;
    private long bytesSwallowed;

    ProxyFaults(long seed) {
        this.random = new Random(seed);
    }

    /** Takes the settings that are present; the others stay. */
    synchronized void configure(JsonNode settings) {
        delayMs = settings.path("delayMs").asLong(delayMs);
        jitterMs = settings.path("jitterMs").asLong(jitterMs);
        bitsPerS = settings.path("bitsPerS").asLong(bitsPerS);
        drop = settings.path("drop").asBoolean(drop);
        if (settings.has("truncateAfter")) {
            long bytes = settings.get("truncateAfter").asLong();
            truncateAfter = bytes < 0 ? Long.MAX_VALUE : bytes;
        }
    }

    synchronized boolean isDropping() {
        return drop;
    }

    /** Returns how many of {@code length} bytes may pass on a connection that has passed {@code passed} so far. */
    synchronized int limit(long passed, int length) {
        return (int) Math.max(0, Math.min(length, truncateAfter - passed));
    }

    /** Returns the time at which {@code length} bytes that arrive now are due on the other side. */
    synchronized long scheduleNanos(long nowNanos, int length) {
        long startNanos = Math.max(nowNanos, linkFreeNanos);
        long sendNanos = bitsPerS <= 0 ? 0 : length * 8L * 1_000_000_000L / bitsPerS;
        linkFreeNanos = startNanos + sendNanos;
        long jitterNanos = jitterMs <= 0 ? 0 : (long) (random.nextDouble() * jitterMs * 1e6);
        return linkFreeNanos + delayMs * 1_000_000 + jitterNanos;
    }

    synchronized void countForwarded(int bytes) {
        bytesForwarded += bytes;
    }

    synchronized void countSwallowed(int bytes) {
        bytesSwallowed += bytes;
    }

    synchronized long bytesForwarded() {
        return bytesForwarded;
    }

    synchronized long bytesSwallowed() {
        return bytesSwallowed;
    }
}
