package org.fulmarreach.core.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Chooses the emptier of two targets drawn at random. Two draws avoid that all entries send to the one target that
 * looked emptiest in the last heartbeat. Targets of the own availability zone come first; the others of the region are
 * used when the local ones are above {@link #SPILL_PERCENT} full. Immutable; the random generator is passed in.
 */
public final class TargetChooser {
    /** Share of the local slots in use above which other zones are used as well. */
    public static final int SPILL_PERCENT = 80;

    private final String zone;

    /** Constructs a chooser for an entry in the given availability zone. */
    public TargetChooser(String zone) {
        this.zone = zone;
    }

    /**
     * Chooses among targets that may take work.
     *
     * @param candidates targets that are ready and not ejected
     * @param random source of the draws
     * @return a target with room; empty when none has any
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
            if (candidate.hasRoom()) {
                all.add(candidate);
                if (isLocal) {
                    local.add(candidate);
                }
            }
        }
        boolean spills = localLoad * 100 > localSlots * SPILL_PERCENT;
        return drawTwo(local.isEmpty() || spills ? all : local, random);
    }

    private static Optional<Candidate> drawTwo(List<Candidate> pool, RandomGenerator random) {
        if (pool.isEmpty()) {
            return Optional.empty();
        }
        int first = random.nextInt(pool.size());
        if (pool.size() == 1) {
            return Optional.of(pool.get(first));
        }
        int second = random.nextInt(pool.size() - 1);
        Candidate one = pool.get(first);
        Candidate other = pool.get(second >= first ? second + 1 : second);
        return Optional.of(other.isEmptierThan(one) ? other : one);
    }
}
