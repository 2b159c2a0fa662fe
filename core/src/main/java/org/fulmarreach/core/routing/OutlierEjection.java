package org.fulmarreach.core.routing;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Keeps work away from targets of one service that fail. A target with more than half failures in its last
 * {@link #WINDOW} results is ejected for {@link #FIRST_EJECTION_MS}, doubling to {@link #MAX_EJECTION_MS} while its
 * probes fail. At most half of the targets are ejected at a time, because losing more costs more than it saves. Owned
 * by one thread or actor; times are passed in and come from one monotonic clock.
 */
public final class OutlierEjection {
    /** Results that are remembered for each target. */
    public static final int WINDOW = 20;

    /** Length of the first ejection in milliseconds. */
    public static final long FIRST_EJECTION_MS = 5_000;

    /** Longest ejection in milliseconds. */
    public static final long MAX_EJECTION_MS = 60_000;

    /** A probe without a result is given up after this time in milliseconds. */
    private static final long PROBE_TIMEOUT_MS = 10_000;

    private static final int WINDOW_MASK = (1 << WINDOW) - 1;

    private final Map<String, Health> healthById = new HashMap<>();

    private static final class Health {
        private int failureBits;
        private boolean ejected;
        private boolean probing;
        private long untilMs;
        private long ejectionMs;

        void recover() {
            failureBits = 0;
            ejected = false;
            probing = false;
        }

        void eject(long lengthMs, long nowMs) {
            ejected = true;
            probing = false;
            ejectionMs = Math.min(lengthMs, MAX_EJECTION_MS);
            untilMs = nowMs + ejectionMs;
        }
    }

    /**
     * Records the result of a call.
     *
     * @param id target
     * @param success whether the target answered as it should
     * @param nowMs present time in milliseconds
     * @return whether this result ejected the target
     */
    public boolean record(String id, boolean success, long nowMs) {
        Health health = healthById.get(id);
        if (health == null) {
            return false;
        }
        health.failureBits = (health.failureBits << 1 | (success ? 0 : 1)) & WINDOW_MASK;
        if (health.ejected) {
            // Results of calls that were sent before the ejection say nothing about the target now.
            if (health.probing && success) {
                health.recover();
            } else if (health.probing) {
                health.eject(health.ejectionMs * 2, nowMs);
            }
            return false;
        }
        boolean failing = Integer.bitCount(health.failureBits) * 2 > WINDOW;
        if (failing && (countEjected() + 1) * 2 <= healthById.size()) {
            health.eject(FIRST_EJECTION_MS, nowMs);
            return true;
        }
        return false;
    }

    /** Tells whether a target may take a call at {@code nowMs}, as a probe if its ejection is over. */
    public boolean isAvailable(String id, long nowMs) {
        Health health = healthById.get(id);
        return health == null || !health.ejected || nowMs >= health.untilMs;
    }

    /** Notes that a call is sent; if the target's ejection is over, it is the probe, and no other is sent meanwhile. */
    public void recordSend(String id, long nowMs) {
        Health health = healthById.get(id);
        if (health != null && health.ejected && nowMs >= health.untilMs) {
            health.probing = true;
            health.untilMs = nowMs + PROBE_TIMEOUT_MS;
        }
    }

    /**
     * Sets the targets that exist. If more than half of those that remain are ejected, the ones whose ejection ends
     * first return at once.
     */
    public void retain(Set<String> ids) {
        healthById.keySet().retainAll(ids);
        ids.forEach(id -> healthById.computeIfAbsent(id, key -> new Health()));
        while (countEjected() * 2 > healthById.size()) {
            healthById.values().stream()
                    .filter(health -> health.ejected)
                    .min(Comparator.comparingLong(health -> health.untilMs))
                    .ifPresent(Health::recover);
        }
    }

    /** Returns the number of ejected targets, those that are probed included. */
    public int countEjected() {
        return (int)
                healthById.values().stream().filter(health -> health.ejected).count();
    }
}
