package org.fulmarreach.core.interference;

/**
 * Latency of the service without batch pressure, and the present latency over it. Lower latency is followed quickly,
 * higher latency only while the tasks cannot be its cause. Owned by one thread.
 */
final class Baseline {
    /**
     * With a higher weight the baseline follows the low side of the noise, and the mean looks like a slowdown: a 99th
     * percentile of 90 calls scatters by 20%.
     */
    private static final double DOWN_WEIGHT = 0.05;

    private static final double UP_WEIGHT = 0.1;
    /** While tasks run at a share that may matter, the baseline can still drift with the load: 1.5% in a minute. */
    private static final double DRIFT_WEIGHT = 0.0005;
    /** From this many calls on a window's percentile is taken as it is; with fewer it is smoothed. */
    private static final double TRUSTED_CALLS = 500;

    private static final double LOWEST_WEIGHT = 0.1;

    /** The first windows are averaged, so that the noise of a single one does not set the baseline. */
    private static final int FIRST_WINDOWS = 8;

    private double baselineMs = -1;
    private double latencyMs = -1;
    private int windows;

    /** Notes a window; {@code blameless} tells that tasks cannot be the cause of its latency. */
    void observe(double p99Ms, int calls, boolean blameless) {
        if (calls == 0) {
            return;
        }
        double measuredMs = Math.max(0.1, p99Ms);
        windows++;
        double weight = Math.max(1.0 / windows, Math.clamp(calls / TRUSTED_CALLS, LOWEST_WEIGHT, 1));
        latencyMs = latencyMs < 0 ? measuredMs : latencyMs + weight * (measuredMs - latencyMs);
        if (windows <= FIRST_WINDOWS) {
            baselineMs = latencyMs;
            return;
        }
        double up = blameless ? UP_WEIGHT : DRIFT_WEIGHT;
        baselineMs += (latencyMs < baselineMs ? DOWN_WEIGHT : up) * (latencyMs - baselineMs);
    }

    /** Returns latency over baseline; 1 before the first window. */
    double slowdown() {
        return baselineMs <= 0 ? 1 : latencyMs / baselineMs;
    }

    /** Returns a latency or a change of it over the baseline; 0 before the first window. */
    double slowdownOf(double differenceMs) {
        return baselineMs <= 0 ? 0 : differenceMs / baselineMs;
    }

    /** Returns the present latency in milliseconds; negative before the first window. */
    double latencyMs() {
        return latencyMs;
    }
}
