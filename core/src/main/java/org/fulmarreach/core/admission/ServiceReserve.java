package org.fulmarreach.core.admission;

import org.fulmarreach.core.model.Resources;

/**
 * The part of a VM that is kept for the service beside the guard. The worker agent reports the use of tasks only, so
 * the need of the service is learned from its busy slots: a busy slot is taken to need one core. The reserve follows a
 * higher number of busy slots at once, with a quarter and one slot more, decays with a half-life of ten minutes, and is
 * never below a floor of 5% of the processors. Memory cannot be learned this way; 10% are kept. Owned by one thread.
 */
public final class ServiceReserve {
    private static final int SLOT_MILLI_CORES = 1_000;
    private static final double HEADROOM = 1.25;
    private static final double FLOOR_PART = 0.05;
    private static final double MEMORY_PART = 0.1;
    private static final double HALF_LIFE_MS = 600_000;

    private double peakSlots;
    private int slots;
    private long lastMs;

    /** Notes the slots in use and those announced. */
    public void observe(int busySlots, int announcedSlots, long nowMs) {
        double kept = Math.pow(0.5, Math.max(0, nowMs - lastMs) / HALF_LIFE_MS);
        lastMs = nowMs;
        slots = announcedSlots;
        peakSlots = Math.max(busySlots, peakSlots * kept);
    }

    /** Returns the reserve on a VM of the given capacity. */
    public Resources reserve(Resources capacity) {
        double learned = Math.min(slots, peakSlots * HEADROOM + 1) * SLOT_MILLI_CORES;
        double cores = Math.max(capacity.milliCores() * FLOOR_PART, learned);
        return new Resources(
                (int) Math.min(capacity.milliCores(), Math.ceil(cores)),
                (long) Math.ceil(capacity.memoryMb() * MEMORY_PART),
                0);
    }
}
