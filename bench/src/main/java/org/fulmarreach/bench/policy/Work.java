package org.fulmarreach.bench.policy;

import org.fulmarreach.core.model.Resources;

/**
 * Actual behaviour of a unit of work, which may differ from its rule.
 *
 * @param name name of the rule
 * @param region region of the rule
 * @param size resources that it actually uses
 * @param runtimeMs actual run time at full share; 0 for standing work
 * @param interference slowdown that it adds to the service on the same VM at full share
 * @param noisy whether its load alternates between high and low phases
 * @param alwaysFails whether it fails on every VM
 * @param phaseMs phase offset of the load cycle
 * @param line line of the rules file, with the declared sizes
 */
record Work(
        String name,
        String region,
        Resources size,
        long runtimeMs,
        double interference,
        boolean noisy,
        boolean alwaysFails,
        long phaseMs,
        String line) {
    private static final long LOAD_CYCLE_MS = 60_000;
    private static final double QUIET_ACTIVITY = 0.1;

    boolean standing() {
        return runtimeMs == 0;
    }

    /** Returns the current load as a fraction of full load, in (0, 1]; noisy work is quiet for half of each cycle. */
    double activity(long nowMs) {
        boolean loud = (nowMs + phaseMs) % LOAD_CYCLE_MS < LOAD_CYCLE_MS / 2;
        return !noisy || loud ? 1 : QUIET_ACTIVITY;
    }
}
