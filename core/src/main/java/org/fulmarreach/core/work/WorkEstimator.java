package org.fulmarreach.core.work;

import java.util.HashMap;
import java.util.Map;

import org.fulmarreach.core.model.Resources;

/**
 * Estimates the resource usage and run time of work from observations; declared values are used until something has
 * been observed. Not thread-safe; owned by its scheduler.
 */
final class WorkEstimator {
    /** Factor applied to the estimated peak usage as a safety margin. */
    private static final double SIZE_MARGIN = 1.1;

    /** Smoothing factor per report when usage falls; about one minute of heartbeats halves the difference. */
    private static final double USAGE_DECAY = 0.006;

    /** Smoothing factor of the run time average, applied per finished run. */
    private static final double RUNTIME_SMOOTHING = 0.5;

    private static final class Estimate {
        private double milliCores;
        private double memoryMb;
        private double runtimeMs;
    }

    private final Map<String, Estimate> byWork = new HashMap<>();

    /** Records the usage of a running task; zero cores and memory mean that nothing has been measured. */
    void observeUsage(String work, Resources used) {
        if (used.milliCores() <= 0 && used.memoryMb() <= 0) {
            return;
        }
        Estimate estimate = byWork.computeIfAbsent(work, name -> new Estimate());
        estimate.milliCores = updatePeak(estimate.milliCores, used.milliCores());
        estimate.memoryMb = updatePeak(estimate.memoryMb, used.memoryMb());
    }

    void observeRuntime(String work, long runtimeMs) {
        Estimate estimate = byWork.computeIfAbsent(work, name -> new Estimate());
        estimate.runtimeMs = estimate.runtimeMs == 0
                ? runtimeMs
                : estimate.runtimeMs + RUNTIME_SMOOTHING * (runtimeMs - estimate.runtimeMs);
    }

    Resources estimateSize(String work, Resources declared) {
        Estimate estimate = byWork.get(work);
        if (estimate == null || estimate.milliCores == 0 && estimate.memoryMb == 0) {
            return declared;
        }
        return new Resources(
                (int) Math.ceil(estimate.milliCores * SIZE_MARGIN),
                (long) Math.ceil(estimate.memoryMb * SIZE_MARGIN),
                declared.accelerators());
    }

    long estimateRuntimeMs(String work, long declaredMs) {
        Estimate estimate = byWork.get(work);
        return estimate == null || estimate.runtimeMs == 0 ? declaredMs : (long) estimate.runtimeMs;
    }

    /** Follows a rising value at once and a falling one slowly. */
    private static double updatePeak(double estimate, double observed) {
        return observed >= estimate ? observed : estimate + USAGE_DECAY * (observed - estimate);
    }
}
