package org.fulmarreach.bench.policy;

import java.util.EnumSet;
import java.util.Set;
import java.util.function.Consumer;

/**
 * A named scenario. Immutable.
 *
 * @param name name on the command line
 * @param site deployment
 * @param durationMs duration in virtual time
 * @param load ratio of offered calls to the capacity of all slots, by time and region
 * @param mix batch and standing work
 * @param minLagMs shortest lag of usage reports
 * @param maxLagMs longest lag of usage reports
 * @param faults schedules the faults of a simulation
 * @param baselines policies to compare with unless the command line names others
 */
record Scenario(
        String name,
        Site site,
        long durationMs,
        Load load,
        WorkMix mix,
        int minLagMs,
        int maxLagMs,
        Consumer<Simulation> faults,
        Set<Policy> baselines) {
    /** Virtual time before calls are measured. */
    static final long WARM_UP_MS = 120_000;

    Scenario withBaselines(Policy first, Policy... others) {
        return withBaselines(EnumSet.of(first, others));
    }

    Scenario withBaselines(Set<Policy> newBaselines) {
        return new Scenario(name, site, durationMs, load, mix, minLagMs, maxLagMs, faults, newBaselines);
    }

    /** Offered load of calls. */
    interface Load {
        /** Returns the ratio of the calls offered in one region to the capacity of all slots of the site. */
        double ratioAt(long nowMs, boolean home);
    }
}
