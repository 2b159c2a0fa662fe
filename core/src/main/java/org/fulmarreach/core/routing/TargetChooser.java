package org.fulmarreach.core.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Zone-aware load balancer that uses the power of two choices: it draws two targets at random and chooses the one with
 * the lower utilization. Always choosing the least utilized target would make all entries send to the same target until
 * the next heartbeat. Targets of the local availability zone are preferred; targets of the other zones are used as well
 * when the utilization of the local ones exceeds {@link #SPILL_PERCENT}. Immutable; the random generator is passed in.
 */
public final class TargetChooser {
    /** Utilization of the local slots, in percent, above which targets of other zones are used as well. */
    public static final int SPILL_PERCENT = 80;

    private final String zone;

    /** Constructs a chooser for an entry in the given availability zone. */
    public TargetChooser(String zone) {
        this.zone = zone;
    }

    /**
     * Chooses a target for one call.
     *
     * @param candidates targets of the region that are ready and not ejected
     * @param random random generator for the draws
     * @return a target with a free slot; empty if no candidate has one
     */
    public Optional<Candidate> choose(List<Candidate> candidates, RandomGenerator random) {
        List<Candidate> local = new ArrayList<>();
        List<Candidate> all = new ArrayList<>();
        long localSlots = 0;
        long localLoad = 0;
        for (Candidate candidate : candidates) {
            boolean isLocal = candidate.zone().equals(zone);
            if (isLocal) {
                localSlots += candidate.slots();
                localLoad += candidate.load();
            }
            if (candidate.hasFreeSlot()) {
                all.add(candidate);
                if (isLocal) {
                    local.add(candidate);
                }
            }
        }
        boolean isAboveSpillThreshold = localLoad * 100 > localSlots * SPILL_PERCENT;
        return chooseLessUtilizedOfTwo(local.isEmpty() || isAboveSpillThreshold ? all : local, random);
    }

    private static Optional<Candidate> chooseLessUtilizedOfTwo(List<Candidate> eligible, RandomGenerator random) {
        if (eligible.isEmpty()) {
            return Optional.empty();
        }
        int first = random.nextInt(eligible.size());
        if (eligible.size() == 1) {
            return Optional.of(eligible.get(first));
        }
        int second = random.nextInt(eligible.size() - 1);
        Candidate firstTarget = eligible.get(first);
        Candidate secondTarget = eligible.get(second >= first ? second + 1 : second);
        return Optional.of(secondTarget.isLessUtilizedThan(firstTarget) ? secondTarget : firstTarget);
    }
}
