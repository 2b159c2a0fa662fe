package org.fulmarreach.core.jobs;

import java.util.Map;

/**
 * Record of a leader about the guards that get no lease from it. Immutable.
 *
 * @param term term of the leader
 * @param remainingMs by guard, time after which every lease of its worker is over, in milliseconds, counted from before
 *     the record was stored
 */
public record WithheldLeases(long term, Map<String, Long> remainingMs) {
    /** Copies the map. */
    public WithheldLeases {
        remainingMs = Map.copyOf(remainingMs);
    }
}
