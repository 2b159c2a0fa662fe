package org.fulmarreach.core.interference;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Interference of each work with each service: the increase of the service's slowdown when the CPU share of the work
 * grows from 0 to 1. It is learned by regression of the slowdown on share changes with exponentially decreasing weight
 * of older changes (normalized least mean squares). Works whose shares changed together are told apart as soon as one
 * of them changes alone. Not thread-safe: confined to one thread.
 */
final class WorkInterferenceModel {
    private static final double LEARNING_RATE = 0.5;
    /** Squared share change below which an observation has less weight, because noise dominates it. */
    private static final double MIN_SQUARED_CHANGE = 0.005;

    private static final int MAX_PAIRS = 1_024;

    private final Map<Pair, Double> interferenceByPair = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Pair, Double> eldest) {
            return size() > MAX_PAIRS;
        }
    };

    private record Pair(String service, String work) {}

    /** Returns the interference of a work with a service, or {@code prior} before the first observation. */
    double interference(String service, String work, double prior) {
        Double learned = interferenceByPair.get(new Pair(service, work));
        return learned == null ? prior : learned;
    }

    /**
     * Updates the model with the observed effect of one adjustment of shares.
     *
     * @param service name of the service
     * @param changes sum of the share changes by work
     * @param priors interference by work to use before the first observation
     * @param slowdownChange change of the slowdown since the adjustment
     */
    void observe(String service, Map<String, Double> changes, Map<String, Double> priors, double slowdownChange) {
        double predicted = 0;
        double sumOfSquares = MIN_SQUARED_CHANGE;
        for (Map.Entry<String, Double> change : changes.entrySet()) {
            double interference = interference(service, change.getKey(), priors.get(change.getKey()));
            predicted += interference * change.getValue();
            sumOfSquares += change.getValue() * change.getValue();
        }
        double error = slowdownChange - predicted;
        for (Map.Entry<String, Double> change : changes.entrySet()) {
            double previous = interference(service, change.getKey(), priors.get(change.getKey()));
            double updated = previous + LEARNING_RATE * error * change.getValue() / sumOfSquares;
            interferenceByPair.put(new Pair(service, change.getKey()), Math.max(0, updated));
        }
    }
}
