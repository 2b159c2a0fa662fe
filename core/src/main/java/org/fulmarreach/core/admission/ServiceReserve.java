package org.fulmarreach.core.admission;

import org.fulmarreach.core.model.Resources;

/**
 * Part of a VM's resources that is reserved for the service next to the guard. The worker agent reports the usage of
 * tasks only, so the demand of the service is estimated from its busy slots, at one core for each. The reserve covers
 * the recent peak of busy slots plus 25% and one slot: it rises with a new peak at once, decays with a half-life of ten
 * minutes, and is never less than 5% of the processors. The memory demand cannot be estimated from slots; 10% of the
 * memory is reserved. Not thread-safe: confined to one thread.
 */
public final class ServiceReserve {
    private static final int MILLI_CORES_PER_SLOT = 1_000;
    private static final double HEADROOM_FACTOR = 1.25;
    private static final double MIN_CPU_FRACTION = 0.05;
    private static final double MEMORY_FRACTION = 0.1;
    private static final double HALF_LIFE_MS = 600_000;

    private double peakSlots;
    private int slots;
    private long lastObservedMs;

    /** Records the current numbers of busy slots and of announced slots. */
    public void observe(int busySlots, int announcedSlots, long nowMs) {
        double decay = Math.pow(0.5, Math.max(0, nowMs - lastObservedMs) / HALF_LIFE_MS);
        lastObservedMs = nowMs;
        slots = announcedSlots;
        peakSlots = Math.max(busySlots, peakSlots * decay);
    }

    /** Returns the reserve on a VM of the given capacity. */
    public Resources reserve(Resources capacity) {
        double estimatedDemand = Math.min(slots, peakSlots * HEADROOM_FACTOR + 1) * MILLI_CORES_PER_SLOT;
        double reservedMilliCores = Math.max(capacity.milliCores() * MIN_CPU_FRACTION, estimatedDemand);
        return new Resources(
                (int) Math.min(capacity.milliCores(), Math.ceil(reservedMilliCores)),
                (long) Math.ceil(capacity.memoryMb() * MEMORY_FRACTION),
                0);
    }
}
