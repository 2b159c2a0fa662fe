package org.fulmarreach.core.routing;

/** Running estimate of how long a service's targets take for a call. Owned by one thread or actor. */
public final class ServiceTime {
    private static final double WEIGHT = 0.1;

    private double estimateMs;

    /** Constructs an estimate that starts from {@code initialMs} milliseconds. */
    public ServiceTime(double initialMs) {
        estimateMs = initialMs;
    }

    /** Takes in a measured time in milliseconds. */
    public void record(double measuredMs) {
        estimateMs += WEIGHT * (Math.max(0, measuredMs) - estimateMs);
    }

    /** Returns the estimate in milliseconds. */
    public double estimateMs() {
        return estimateMs;
    }
}
