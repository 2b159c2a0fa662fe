package org.fulmarreach.core.interference;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Harm of each work to each service: how much the slowdown grows with the share of the work from 0 to 1. It is learned
 * by regression of slowdown on share changes with exponentially falling weight of older changes (normalized least mean
 * squares), which also separates works that changed together once one of them changes alone. Owned by one thread.
 */
final class HarmModel {
    private static final double WEIGHT = 0.5;
    /** Squared share change below which an observation counts less, since noise outweighs it. */
    private static final double SMALL_CHANGE = 0.005;

    private static final int MAX_PAIRS = 1_024;

    private final Map<Pair, Double> harms = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Pair, Double> eldest) {
            return size() > MAX_PAIRS;
        }
    };

    private record Pair(String service, String work) {}

    /** Returns the harm of a pair, or {@code prior} before the first observation. */
    double harm(String service, String work, double prior) {
        Double known = harms.get(new Pair(service, work));
        return known == null ? prior : known;
    }

    /**
     * Notes the effect of one action.
     *
     * @param changes summed change of the shares by work
     * @param priors harm by work before the first observation
     * @param slowdownChange change of the slowdown since the action
     */
    void observe(String service, Map<String, Double> changes, Map<String, Double> priors, double slowdownChange) {
        double predicted = 0;
        double squares = SMALL_CHANGE;
        for (Map.Entry<String, Double> change : changes.entrySet()) {
            double harm = harm(service, change.getKey(), priors.get(change.getKey()));
            predicted += harm * change.getValue();
            squares += change.getValue() * change.getValue();
        }
        double error = slowdownChange - predicted;
        for (Map.Entry<String, Double> change : changes.entrySet()) {
            double old = harm(service, change.getKey(), priors.get(change.getKey()));
            double next = old + WEIGHT * error * change.getValue() / squares;
            harms.put(new Pair(service, change.getKey()), Math.max(0, next));
        }
    }
}
