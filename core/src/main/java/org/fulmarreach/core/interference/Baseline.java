package org.fulmarreach.core.interference;

/**
 * Baseline latency of the service, without interference by tasks, and the current latency relative to it. The baseline
 * follows a lower latency quickly, and a higher latency only while tasks are ruled out as its cause. Not thread-safe:
 * confined to one thread.
 */
final class Baseline {
    /**
     * With a higher factor the baseline follows the low values of the noise, so that the mean looks like a slowdown:
     * the 99th percentile of 90 calls varies by 20%.
     */
    private static final double FALLING_SMOOTHING_FACTOR = 0.05;

    private static final double RISING_SMOOTHING_FACTOR = 0.1;
    /** Even while tasks may be the cause of a higher latency, the baseline drifts with the load: by 1.5% per minute. */
    private static final double DRIFT_SMOOTHING_FACTOR = 0.0005;
    /** Number of calls from which on a window's percentile is used unsmoothed; with fewer calls it is smoothed. */
    private static final double UNSMOOTHED_CALLS = 500;

    private static final double MIN_LATENCY_SMOOTHING_FACTOR = 0.1;

    /** The first windows are averaged, so that the noise of a single window does not determine the baseline. */
    private static final int INITIAL_WINDOWS = 8;

    private double baselineMs = -1;
    private double latencyMs = -1;
    private int windows;

    /** Records a latency window; {@code tasksRuledOut} means that tasks cannot be the cause of its latency. */
    void observe(double p99Ms, int calls, boolean tasksRuledOut) {
        if (calls == 0) {
            return;
        }
        double measuredMs = Math.max(0.1, p99Ms);
        windows++;
        double smoothingFactor =
                Math.max(1.0 / windows, Math.clamp(calls / UNSMOOTHED_CALLS, MIN_LATENCY_SMOOTHING_FACTOR, 1));
        latencyMs = latencyMs < 0 ? measuredMs : latencyMs + smoothingFactor * (measuredMs - latencyMs);
        if (windows <= INITIAL_WINDOWS) {
            baselineMs = latencyMs;
            return;
        }
        double risingFactor = tasksRuledOut ? RISING_SMOOTHING_FACTOR : DRIFT_SMOOTHING_FACTOR;
        baselineMs += (latencyMs < baselineMs ? FALLING_SMOOTHING_FACTOR : risingFactor) * (latencyMs - baselineMs);
    }

    /** Returns the ratio of the current latency to the baseline; 1 before the first window. */
    double slowdown() {
        return baselineMs <= 0 ? 1 : latencyMs / baselineMs;
    }

    /** Returns the ratio of a latency difference to the baseline; 0 before the first window. */
    double slowdownOf(double differenceMs) {
        return baselineMs <= 0 ? 0 : differenceMs / baselineMs;
    }

    /** Returns the current smoothed latency in milliseconds; negative before the first window. */
    double latencyMs() {
        return latencyMs;
    }
}
