package org.fulmarreach.bench.policy;

import org.fulmarreach.core.model.Resources;

/**
 * What a unit of work does in truth, beside its rule.
 *
 * @param name name of the rule
 * @param region region of the rule
 * @param size size that it really uses
 * @param runtimeMs time that it really runs at full share; 0 for standing work
 * @param harm slowdown of the service beside it at full share
 * @param noisy whether its load comes and goes in waves
 * @param hopeless whether it fails wherever it is started
 * @param phaseMs shift of its waves
 * @param line rule, with the declared sizes
 */
record Work(
        String name,
        String region,
        Resources size,
        long runtimeMs,
        double harm,
        boolean noisy,
        boolean hopeless,
        long phaseMs,
        String line) {
    private static final long WAVE_MS = 60_000;
    private static final double QUIET_ACTIVITY = 0.1;

    boolean standing() {
        return runtimeMs == 0;
    }

    /** Returns how much of its load it makes now, in (0, 1]; half of each wave is quiet. */
    double activity(long nowMs) {
        boolean loud = (nowMs + phaseMs) % WAVE_MS < WAVE_MS / 2;
        return !noisy || loud ? 1 : QUIET_ACTIVITY;
    }
}
