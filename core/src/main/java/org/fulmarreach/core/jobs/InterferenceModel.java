package org.fulmarreach.core.jobs;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Learns how much best-effort tasks interfere with serving tasks, by pair of images. Tail latency is modelled as that
 * of a queue: with pressure p from 0 to 1 it is base / (1 - p). Pressure is additive: the load of the serving task's
 * job, plus for each best-effort image a factor times its share of the worker's processors. Each serving image has its
 * own {@link PairFactors}. Not thread-safe.
 */
final class InterferenceModel {
    /** Base latency without any pressure, as a share of the target latency, assumed until a lower tail was measured. */
    private static final double PRIOR_BASE_SHARE = 0.25;

    /** Samples closer together than this overlap, since each measurement covers the last half second. */
    private static final long MIN_SAMPLE_GAP_MS = 450;

    /** Samples further apart are taken as independent. */
    private static final long MAX_SAMPLE_GAP_MS = 1_500;

    /** Bounds memory where image names keep changing; the least recently used image is evicted first. */
    private static final int MAX_SERVING_IMAGES = 256;

    private final Map<String, PairFactors> factors = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, PairFactors> eldest) {
            return size() > MAX_SERVING_IMAGES;
        }
    };
    private final Map<String, Double> baseMs = new HashMap<>();
    private final Map<String, LastSample> lastSamples = new HashMap<>();

    private record ServingJob(String image, String id) {}

    /** What the last sample of a worker leaves for the next one. */
    private record LastSample(long atMs, Map<ServingJob, PairFactors.Deviation> deviations) {}

    /**
     * Measurements of one worker at one time.
     *
     * @param atMs when the sample was taken
     * @param bestEffortShares share of the worker's processors in use, by best-effort image
     * @param pressures mean pressure, by serving image and id of the standing job
     */
    record Sample(long atMs, Map<String, Double> bestEffortShares, Map<String, Map<String, Double>> pressures) {}

    /** Returns what has been learned so far. */
    LearnedInterference learned() {
        Map<String, LearnedInterference.Serving> learned = new HashMap<>();
        factors.forEach((serving, pairs) -> learned.put(
                serving,
                new LearnedInterference.Serving(
                        baseMs.getOrDefault(serving, 0.0), pairs.load(), pairs.observedFactors())));
        return new LearnedInterference(learned);
    }

    /** Takes over what a former leader has learned; called before anything is learned here. */
    void restore(LearnedInterference learned) {
        learned.servingByImage().forEach((serving, known) -> {
            factors.computeIfAbsent(serving, unused -> new PairFactors()).restore(known);
            if (known.baseMs() > 0) {
                baseMs.put(serving, known.baseMs());
            }
        });
    }

    /** Returns the factor of a pair: pressure on the serving image if the best-effort image used the whole worker. */
    double factor(String bestEffort, String serving) {
        PairFactors pairFactors = factors.get(serving);
        return pairFactors == null ? PairFactors.PRIOR_FACTOR : pairFactors.factor(bestEffort);
    }

    /** Returns the mean pressure that a serving image causes by its own load. */
    double ownPressure(String serving) {
        PairFactors pairFactors = factors.get(serving);
        return pairFactors == null ? PairFactors.PRIOR_LOAD : pairFactors.load();
    }

    /** Returns the pressure that corresponds to a tail latency, and updates the lowest tail seen for the image. */
    double pressure(String serving, long tailMs, int targetMs) {
        double base = baseMs.getOrDefault(serving, targetMs * PRIOR_BASE_SHARE);
        if (tailMs > 0 && tailMs < base) {
            base = tailMs;
            baseMs.put(serving, base);
        }
        return tailMs <= base ? 0 : 1 - base / tailMs;
    }

    /** Returns the pressure at which the tail latency reaches a share of its target. */
    double pressureAt(String serving, double shareOfTarget, int targetMs) {
        double base = baseMs.getOrDefault(serving, targetMs * PRIOR_BASE_SHARE);
        return Math.max(0, 1 - base / (shareOfTarget * targetMs));
    }

    /** Updates the model from a sample of a worker; ignores samples that overlap. */
    void learn(String worker, Sample sample) {
        LastSample last = lastSamples.get(worker);
        if (last != null && sample.atMs() - last.atMs() < MIN_SAMPLE_GAP_MS) {
            return;
        }
        boolean comparable = last != null && sample.atMs() - last.atMs() <= MAX_SAMPLE_GAP_MS;
        Map<ServingJob, PairFactors.Deviation> before = comparable ? last.deviations() : Map.of();
        Map<ServingJob, PairFactors.Deviation> after = new HashMap<>();
        sample.pressures().forEach((image, byJob) -> {
            PairFactors pairFactors = factors.computeIfAbsent(image, unused -> new PairFactors());
            byJob.forEach((id, pressure) -> {
                ServingJob job = new ServingJob(image, id);
                PairFactors.Deviation deviation = before.getOrDefault(job, PairFactors.Deviation.NONE);
                after.put(job, pairFactors.learn(id, sample.bestEffortShares(), pressure, deviation, sample.atMs()));
            });
        });
        lastSamples.put(worker, new LastSample(sample.atMs(), after));
    }
}
