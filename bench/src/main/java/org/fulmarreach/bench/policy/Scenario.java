package org.fulmarreach.bench.policy;

import java.util.EnumSet;
import java.util.Set;
import java.util.function.Consumer;

/**
 * A named scenario. Immutable.
 *
 * @param name name for the command line
 * @param site deployment
 * @param durationMs virtual time
 * @param load calls over the capacity of all slots, by time and region
 * @param mix work
 * @param minLagMs shortest lag of usage reports
 * @param maxLagMs longest lag of usage reports
 * @param faults plans the faults of a world
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
        Consumer<World> faults,
        Set<Policy> baselines) {
    /** Virtual time before calls are measured. */
    static final long WARM_UP_MS = 120_000;

    Scenario withBaselines(Policy first, Policy... others) {
        return withBaselines(EnumSet.of(first, others));
    }

    Scenario withBaselines(Set<Policy> newBaselines) {
        return new Scenario(name, site, durationMs, load, mix, minLagMs, maxLagMs, faults, newBaselines);
    }

    /** Offered calls. */
    interface Load {
        /** Returns the calls of one region over the capacity of all slots of the site. */
        double find(long nowMs, boolean home);
    }
}
