package org.fulmarreach.core.jobs;

import java.util.Map;

/**
 * What a new leader knows of the leases that former leaders have granted. Times are readings of its monotonic clock.
 * Immutable.
 *
 * @param grantsUntilMs time until which a former leader may have granted leases
 * @param endsAtMs by guard, an earlier time by which all leases of its worker are over, if the former leader withheld
 *     further ones
 */
public record FormerLeases(long grantsUntilMs, Map<String, Long> endsAtMs) {
    /** Copies the map. */
    public FormerLeases {
        endsAtMs = Map.copyOf(endsAtMs);
    }

    /** Returns what is known without any record: a former leader grants until it learns that it was replaced. */
    public static FormerLeases unknown(JobTimeLimits limits, long nowMs) {
        return new FormerLeases(nowMs + limits.grantWithoutStoreMs(), Map.of());
    }

    /** Returns these bounds, with a time at the latest until which a former leader may have granted leases. */
    FormerLeases boundedBy(long untilMs) {
        return new FormerLeases(Math.min(grantsUntilMs, untilMs), endsAtMs);
    }

    /** Returns the time of the last grant that a guard may have received. */
    long lastGrantMs(String guard, JobTimeLimits limits) {
        Long endMs = endsAtMs.get(guard);
        return endMs == null ? grantsUntilMs : Math.min(grantsUntilMs, endMs - limits.leaseExpiryMs());
    }
}
