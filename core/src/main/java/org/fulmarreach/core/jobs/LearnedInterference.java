package org.fulmarreach.core.jobs;

import java.util.HashMap;
import java.util.Map;

/**
 * What a leader has learned of the interference of best-effort tasks with serving tasks. It is stored for the next
 * leader, which would otherwise place best-effort tasks where they interfere and throttle them until it has learned the
 * same. Immutable.
 *
 * @param servingByImage by serving image
 */
public record LearnedInterference(Map<String, Serving> servingByImage) {
    /** Nothing, as at the first leader. */
    public static final LearnedInterference NONE = new LearnedInterference(Map.of());

    /** Largest factor and load that a model estimates. */
    public static final double MAX_MEAN = 12;

    /** Largest variance of an estimate. */
    public static final double MAX_VARIANCE = 1;

    /** Copies the map. */
    public LearnedInterference {
        servingByImage = Map.copyOf(servingByImage);
    }

    /** Returns what is known of half of the serving images, or of none if there is one. */
    public LearnedInterference firstHalf() {
        Map<String, Serving> half = new HashMap<>();
        servingByImage.entrySet().stream()
                .sorted(Map.Entry.comparingByKey())
                .limit(servingByImage.size() / 2)
                .forEach(entry -> half.put(entry.getKey(), entry.getValue()));
        return new LearnedInterference(half);
    }

    /** Tells whether no factor of a pair of images is known. */
    public boolean isEmpty() {
        return servingByImage.values().stream()
                .allMatch(serving -> serving.factors().isEmpty());
    }

    /**
     * What is known of one serving image.
     *
     * @param baseMs lowest tail latency, in milliseconds; 0 if none was measured below the assumed one
     * @param load mean load, as a pressure from 0 to 1
     * @param factors factors of the best-effort images that have been observed
     */
    public record Serving(double baseMs, double load, Map<String, Factor> factors) {
        /** Copies the map. */
        public Serving {
            factors = Map.copyOf(factors);
        }
    }

    /**
     * Estimate of a factor.
     *
     * @param mean pressure on the serving image if the best-effort image used the whole worker
     * @param variance variance of the estimate
     */
    public record Factor(double mean, double variance) {}
}
