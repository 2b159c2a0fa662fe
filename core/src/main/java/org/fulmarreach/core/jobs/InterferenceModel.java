package org.fulmarreach.core.jobs;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Learns how much filling tasks disturb serving ones, by pair of images. A tail latency rises like that of a queue:
 * with pressure p from 0 to 1 it is base / (1 - p). Pressure is additive: the load of the serving task itself, and for
 * each filling image a factor times its share of the worker's processors. Each serving image has a
 * {@link PairFactors} of its own. Not thread-safe.
 */
final class InterferenceModel {
    /** Part of the target latency that a task without any pressure is taken to need before it was seen. */
    private static final double PRIOR_BASE_SHARE = 0.25;

    /** The figures of two looks that are closer than this overlap, since each covers the last half second. */
    private static final long MIN_GAP_MS = 450;

    /** Between looks that are further apart, the load of a serving task has changed by more than a pair could tell. */
    private static final long MAX_GAP_MS = 1_500;

    /** Images that were not used for longest are forgotten first; bounds memory where names of images change. */
    private static final int MAX_SERVING_IMAGES = 256;

    private final Map<String, PairFactors> factors = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, PairFactors> eldest) {
            return size() > MAX_SERVING_IMAGES;
        }
    };
    private final Map<String, Double> baseMs = new HashMap<>();
    private final Map<String, Look> lastLooks = new HashMap<>();

    /**
     * One look at a worker.
     *
     * @param atMs when it was taken
     * @param fillShares share of the worker's processors in use by filling image
     * @param pressures mean pressure by serving image
     */
    record Look(long atMs, Map<String, Double> fillShares, Map<String, Double> pressures) {}

    /** Returns the factor of a pair: pressure on the serving image by one whole worker of the filling one. */
    double factor(String filling, String serving) {
        PairFactors known = factors.get(serving);
        return known == null ? PairFactors.PRIOR_FACTOR : known.factor(filling);
    }

    /** Returns the pressure that a serving image usually puts on itself. */
    double ownPressure(String serving) {
        PairFactors known = factors.get(serving);
        return known == null ? PairFactors.PRIOR_LOAD : known.load();
    }

    /** Returns the pressure that a tail latency tells of, and remembers the lowest tail of the image. */
    double pressure(String serving, long tailMs, int targetMs) {
        double base = baseMs.getOrDefault(serving, targetMs * PRIOR_BASE_SHARE);
        if (tailMs > 0 && tailMs < base) {
            base = tailMs;
            baseMs.put(serving, base);
        }
        return tailMs <= base ? 0 : 1 - base / tailMs;
    }

    /** Returns the pressure at a share of the target latency. */
    double pressureAt(String serving, double shareOfTarget, int targetMs) {
        double base = baseMs.getOrDefault(serving, targetMs * PRIOR_BASE_SHARE);
        return Math.max(0, 1 - base / (shareOfTarget * targetMs));
    }

    /** Learns from a look at a worker and the one before it. */
    void learn(String worker, Look look) {
        Look before = lastLooks.get(worker);
        if (before != null && look.atMs() - before.atMs() < MIN_GAP_MS) {
            return;
        }
        lastLooks.put(worker, look);
        boolean comparable = before != null && look.atMs() - before.atMs() <= MAX_GAP_MS;
        look.pressures().forEach((serving, pressure) -> {
            PairFactors known = factors.computeIfAbsent(serving, unused -> new PairFactors());
            if (comparable && before.pressures().containsKey(serving)) {
                Map<String, Double> changes = new HashMap<>(look.fillShares());
                before.fillShares().forEach((filling, share) -> changes.merge(filling, -share, Double::sum));
                known.learnChange(changes, pressure - before.pressures().get(serving));
            }
            known.learnLevel(look.fillShares(), pressure);
        });
    }
}
