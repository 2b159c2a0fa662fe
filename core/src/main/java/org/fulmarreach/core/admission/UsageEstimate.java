package org.fulmarreach.core.admission;

import org.fulmarreach.core.model.Resources;

/**
 * Estimate of what one task needs. It starts from a prior, follows higher use at once with a margin of 10%, and decays
 * towards lower use with a half-life of one minute; it is never below the last use. Accelerators keep the prior, since
 * no use of them is reported. Owned by one thread.
 */
public final class UsageEstimate {
    private static final double MARGIN = 1.1;
    private static final double HALF_LIFE_MS = 60_000;

    private final int accelerators;
    private double milliCores;
    private double memoryMb;
    private Resources lastUsed = Resources.NONE;
    private long lastMs;

    /** Constructs an estimate at {@code prior}, a declared or learned size. */
    public UsageEstimate(Resources prior, long nowMs) {
        this.milliCores = prior.milliCores();
        this.memoryMb = prior.memoryMb();
        this.accelerators = prior.accelerators();
        this.lastMs = nowMs;
    }

    /** Notes reported use. */
    public void observe(Resources used, long nowMs) {
        double kept = Math.pow(0.5, Math.max(0, nowMs - lastMs) / HALF_LIFE_MS);
        lastMs = Math.max(lastMs, nowMs);
        milliCores = follow(milliCores, used.milliCores() * MARGIN, kept);
        memoryMb = follow(memoryMb, used.memoryMb() * MARGIN, kept);
        lastUsed = used;
    }

    /** Returns the estimate. */
    public Resources estimate() {
        return new Resources((int) Math.ceil(milliCores), (long) Math.ceil(memoryMb), accelerators);
    }

    /** Returns the use reported last. */
    public Resources lastUsed() {
        return lastUsed;
    }

    private static double follow(double estimate, double observed, double kept) {
        return observed >= estimate ? observed : observed + (estimate - observed) * kept;
    }
}
