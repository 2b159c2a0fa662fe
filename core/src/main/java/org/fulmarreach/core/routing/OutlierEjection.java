package org.fulmarreach.core.routing;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Outlier detection for the targets of one service: ejects failing targets from load balancing. A target is ejected
 * when more than half of its last {@link #WINDOW} results are failures. The first ejection lasts
 * {@link #FIRST_EJECTION_MS}; the length doubles up to {@link #MAX_EJECTION_MS} while probe calls fail. At most half of
 * the targets are ejected at a time, because the lost capacity would otherwise cost more than the avoided failures. Not
 * thread-safe: confined to one thread or actor. All times are passed in and come from one monotonic clock.
 */
public final class OutlierEjection {
    /** Number of recent results kept for each target. */
    public static final int WINDOW = 20;

    /** Duration of the first ejection in milliseconds. */
    public static final long FIRST_EJECTION_MS = 5_000;

    /** Maximum duration of an ejection in milliseconds. */
    public static final long MAX_EJECTION_MS = 60_000;

    /** Time in milliseconds after which a probe without a result counts as lost and another one may be sent. */
    private static final long PROBE_TIMEOUT_MS = 10_000;

    private static final int WINDOW_MASK = (1 << WINDOW) - 1;

    private final Map<String, TargetHealth> healthById = new HashMap<>();

    private static final class TargetHealth {
        private int failureBits;
        private boolean ejected;
        private boolean probing;
        private long unavailableUntilMs;
        private long ejectionMs;

        void reinstate() {
            failureBits = 0;
            ejected = false;
            probing = false;
        }

        void eject(long durationMs, long nowMs) {
            ejected = true;
            probing = false;
            ejectionMs = Math.min(durationMs, MAX_EJECTION_MS);
            unavailableUntilMs = nowMs + ejectionMs;
        }
    }

    /**
     * Records the result of a call.
     *
     * @param id id of the target
     * @param success whether the call succeeded
     * @param nowMs current time in milliseconds
     * @return whether this result ejected the target
     */
    public boolean record(String id, boolean success, long nowMs) {
        TargetHealth health = healthById.get(id);
        if (health == null) {
            return false;
        }
        health.failureBits = (health.failureBits << 1 | (success ? 0 : 1)) & WINDOW_MASK;
        if (health.ejected) {
            // Only the probe counts; results of calls sent before the ejection do not reflect the current state.
            if (health.probing && success) {
                health.reinstate();
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

    /** Returns whether a target may receive a call at {@code nowMs}; after an ejection, this call is the probe. */
    public boolean isAvailable(String id, long nowMs) {
        TargetHealth health = healthById.get(id);
        return health == null || !health.ejected || nowMs >= health.unavailableUntilMs;
    }

    /**
     * Records that a call is sent. If the target's ejection is over, the call is the probe, and the target is
     * unavailable for other calls until the probe has a result or times out.
     */
    public void recordSend(String id, long nowMs) {
        TargetHealth health = healthById.get(id);
        if (health != null && health.ejected && nowMs >= health.unavailableUntilMs) {
            health.probing = true;
            health.unavailableUntilMs = nowMs + PROBE_TIMEOUT_MS;
        }
    }

    /**
     * Sets the current targets and drops the state of all others. If more than half of the remaining targets are
     * ejected, those whose ejection ends first are reinstated at once.
     */
    public void setTargets(Set<String> ids) {
        healthById.keySet().retainAll(ids);
        ids.forEach(id -> healthById.computeIfAbsent(id, key -> new TargetHealth()));
        while (countEjected() * 2 > healthById.size()) {
            healthById.values().stream()
                    .filter(health -> health.ejected)
                    .min(Comparator.comparingLong(health -> health.unavailableUntilMs))
                    .ifPresent(TargetHealth::reinstate);
        }
    }

    /** Returns the number of ejected targets, including those with a probe in flight. */
    public int countEjected() {
        return (int)
                healthById.values().stream().filter(health -> health.ejected).count();
    }
}
