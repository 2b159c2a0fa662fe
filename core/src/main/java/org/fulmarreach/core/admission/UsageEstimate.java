package org.fulmarreach.core.admission;

import org.fulmarreach.core.model.Resources;

/**
 * Estimate of the resources that one task needs. It starts from a prior, rises at once to a higher usage plus a margin
 * of 10%, and decays towards a lower usage with a half-life of one minute; it is never below the last usage. The number
 * of accelerators stays at the prior, because their usage is not reported. Not thread-safe: confined to one thread.
 */
public final class UsageEstimate {
    private static final double MARGIN_FACTOR = 1.1;
    private static final double HALF_LIFE_MS = 60_000;

    private final int accelerators;
    private double milliCores;
    private double memoryMb;
    private Resources lastUsed = Resources.NONE;
    private long lastObservedMs;

    /** Constructs an estimate that starts from {@code prior}, a declared or learned size. */
    public UsageEstimate(Resources prior, long nowMs) {
        this.milliCores = prior.milliCores();
        this.memoryMb = prior.memoryMb();
        this.accelerators = prior.accelerators();
        this.lastObservedMs = nowMs;
    }

    /** Updates the estimate with the reported usage. */
    public void observe(Resources used, long nowMs) {
        double decay = Math.pow(0.5, Math.max(0, nowMs - lastObservedMs) / HALF_LIFE_MS);
        lastObservedMs = Math.max(lastObservedMs, nowMs);
        milliCores = riseOrDecay(milliCores, used.milliCores() * MARGIN_FACTOR, decay);
        memoryMb = riseOrDecay(memoryMb, used.memoryMb() * MARGIN_FACTOR, decay);
        lastUsed = used;
    }

    /** Returns the estimate. */
    public Resources estimate() {
        return new Resources((int) Math.ceil(milliCores), (long) Math.ceil(memoryMb), accelerators);
    }

    /** Returns the usage that was reported last; {@link Resources#NONE} before the first report. */
    public Resources lastUsed() {
        return lastUsed;
    }

    private static double riseOrDecay(double estimate, double observed, double decay) {
        return observed >= estimate ? observed : observed + (estimate - observed) * decay;
    }
}
