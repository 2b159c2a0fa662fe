package org.fulmarreach.core.jobs;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Learns how much filling tasks disturb serving ones, by pair of images. A tail latency rises like that of a queue:
 * with pressure p from 0 to 1 it is base / (1 - p). Pressure is additive: the load of the serving task itself, and for
 * each filling image a factor times its share of the worker's processors. The factors are learned from the changes
 * between two looks at a worker, and bounded by the level, since no image can cause more pressure than there is. Not
 * thread-safe.
 */
final class InterferenceModel {
    /** Factor of a pair before the first observation: low, since a pair that is never tried is never learned. */
    private static final double PRIOR_FACTOR = 0.5;

    /** A serving task puts at least this pressure on itself. */
    private static final double MIN_OWN_PRESSURE = 0.15;

    /** Weight of a new observation against what is known. */
    private static final double GAIN = 0.5;

    /** Squared change of a share below which an observation counts less, since changes of load outweigh it. */
    private static final double SMALL_CHANGE = 0.004;

    /** Share of the processors from which a level says something about a factor. */
    private static final double MIN_SHARE = 0.03;

    private static final double MAX_FACTOR = 12;

    /** Part of the target latency that a task without any pressure is taken to need before it was seen. */
    private static final double PRIOR_BASE_SHARE = 0.25;

    /** Pairs that were not used for longest are forgotten first; bounds memory where names of images change. */
    private static final int MAX_PAIRS = 4_096;

    private final Map<Pair, Double> factors = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Pair, Double> eldest) {
            return size() > MAX_PAIRS;
        }
    };
    private final Map<String, Double> baseMs = new HashMap<>();
    private final Map<String, Look> lastLooks = new HashMap<>();

    private record Pair(String filling, String serving) {}

    /**
     * One look at a worker.
     *
     * @param fillShares share of the worker's processors in use by filling image
     * @param pressures pressure by serving image
     */
    record Look(Map<String, Double> fillShares, Map<String, Double> pressures) {}

    /** Returns the factor of a pair: pressure on the serving image by one whole worker of the filling one. */
    double factor(String filling, String serving) {
        return factors.getOrDefault(new Pair(filling, serving), PRIOR_FACTOR);
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
        Look before = lastLooks.put(worker, look);
        look.pressures().forEach((serving, pressure) -> {
            if (before != null && before.pressures().containsKey(serving)) {
                learnFromChange(
                        serving, before, look, pressure - before.pressures().get(serving));
            }
            boundByLevel(serving, look, pressure);
        });
    }

    private void learnFromChange(String serving, Look before, Look look, double change) {
        Map<String, Double> changes = new HashMap<>(look.fillShares());
        before.fillShares().forEach((filling, share) -> changes.merge(filling, -share, Double::sum));
        double squares = SMALL_CHANGE;
        double predicted = 0;
        for (Map.Entry<String, Double> each : changes.entrySet()) {
            squares += each.getValue() * each.getValue();
            predicted += each.getValue() * factor(each.getKey(), serving);
        }
        double error = change - predicted;
        for (Map.Entry<String, Double> each : changes.entrySet()) {
            double next = factor(each.getKey(), serving) + GAIN * error * each.getValue() / squares;
            factors.put(new Pair(each.getKey(), serving), Math.min(MAX_FACTOR, Math.max(0, next)));
        }
    }

    private void boundByLevel(String serving, Look look, double pressure) {
        look.fillShares().forEach((filling, share) -> {
            double most = Math.max(0, pressure - MIN_OWN_PRESSURE) / share;
            if (share >= MIN_SHARE && factor(filling, serving) > most) {
                factors.put(new Pair(filling, serving), most);
            }
        });
    }
}
