package org.fulmarreach.core.routing;

/**
 * Estimate of the service time of a call: exponential moving average of the measured times of a service's targets. Not
 * thread-safe: confined to one thread or actor.
 */
public final class ServiceTime {
    private static final double SMOOTHING_FACTOR = 0.1;

    private double estimateMs;

    /** Constructs an estimate with the initial value {@code initialMs}, in milliseconds. */
    public ServiceTime(double initialMs) {
        estimateMs = initialMs;
    }

    /** Records a measured service time in milliseconds. */
    public void record(double measuredMs) {
        estimateMs += SMOOTHING_FACTOR * (Math.max(0, measuredMs) - estimateMs);
    }

    /** Returns the estimate in milliseconds. */
    public double estimateMs() {
        return estimateMs;
    }
}
