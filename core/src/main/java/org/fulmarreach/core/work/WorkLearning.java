package org.fulmarreach.core.work;

import java.util.HashMap;
import java.util.Map;

import org.fulmarreach.core.model.Resources;

/**
 * Learns sizes and run times of work; declarations are only the first guess. Not thread-safe; owned by its scheduler.
 */
final class WorkLearning {
    /** Allowance over the largest recent usage. */
    private static final double SIZE_MARGIN = 1.1;

    /** Weight of one report when usage falls; about a minute of heartbeats halves the distance. */
    private static final double DECAY = 0.006;

    /** Weight of one finished run in the run time. */
    private static final double RUNTIME_WEIGHT = 0.5;

    private static final class Learned {
        private double milliCores;
        private double memoryMb;
        private double runtimeMs;
    }

    private final Map<String, Learned> byWork = new HashMap<>();

    /** Takes the usage of a running task; zero means that nothing has been measured. */
    void observeUsage(String work, Resources used) {
        if (used.milliCores() <= 0 && used.memoryMb() <= 0) {
            return;
        }
        Learned learned = byWork.computeIfAbsent(work, name -> new Learned());
        learned.milliCores = follow(learned.milliCores, used.milliCores());
        learned.memoryMb = follow(learned.memoryMb, used.memoryMb());
    }

    void observeRuntime(String work, long runtimeMs) {
        Learned learned = byWork.computeIfAbsent(work, name -> new Learned());
        learned.runtimeMs = learned.runtimeMs == 0
                ? runtimeMs
                : learned.runtimeMs + RUNTIME_WEIGHT * (runtimeMs - learned.runtimeMs);
    }

    Resources estimateSize(String work, Resources declared) {
        Learned learned = byWork.get(work);
        if (learned == null || learned.milliCores == 0 && learned.memoryMb == 0) {
            return declared;
        }
        return new Resources(
                (int) Math.ceil(learned.milliCores * SIZE_MARGIN),
                (long) Math.ceil(learned.memoryMb * SIZE_MARGIN),
                declared.accelerators());
    }

    long estimateRuntimeMs(String work, long declaredMs) {
        Learned learned = byWork.get(work);
        return learned == null || learned.runtimeMs == 0 ? declaredMs : (long) learned.runtimeMs;
    }

    private static double follow(double estimate, double observed) {
        return observed >= estimate ? observed : estimate + DECAY * (observed - estimate);
    }
}
