package org.fulmarreach.core.jobs;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Learns how long tasks run relative to the estimate of their submitter, by queue, image and shape of the step. Only
 * runs of a task that are the first one and succeed count, since a later one may resume from a checkpoint. Submitters
 * are off by up to 5 times either way, and a few tasks take several times as long as the others, so a distribution is
 * kept and not a mean; the estimate itself is its prior. Memory is bounded by {@value #MAX_CLASSES} classes. Not
 * thread-safe.
 */
final class RunTimeModel {
    /** Quantile for ranks and targets: a few tasks that take several times as long do not move it. */
    static final double MEDIAN = 0.5;

    private static final int MAX_CLASSES = 256;

    /** Buckets of a quarter octave from 1/16 to 16 times the estimate: an error of at most 9%. */
    private static final int BUCKETS_PER_OCTAVE = 4;

    private static final int OCTAVES = 4;
    private static final int BUCKETS = 2 * OCTAVES * BUCKETS_PER_OCTAVE + 1;
    private static final int PRIOR_BUCKET = OCTAVES * BUCKETS_PER_OCTAVE;

    /** Number of runs that count as much as the estimate. One step can have 20 tasks that are off in the same way. */
    private static final double PRIOR_WEIGHT = 30;

    /** Number of runs above which older ones count half. */
    private static final double MAX_WEIGHT = 400;

    /** Weight of the newest delay of a start in the mean one. */
    private static final double DELAY_WEIGHT = 0.05;

    private static final double LOG_2 = Math.log(2);

    private final Map<StepClass, Histogram> histograms = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<StepClass, Histogram> eldest) {
            return size() > MAX_CLASSES;
        }
    };
    private double startDelayMs;

    /** Steps whose tasks are expected to be off from their estimate in the same way; demand in powers of two. */
    private record StepClass(String queue, String image, int demandOctave, boolean bestEffort) {
        static StepClass of(String queue, JobStep step) {
            int octave =
                    Integer.SIZE - Integer.numberOfLeadingZeros(step.demand().milliCores());
            return new StepClass(queue, step.image(), octave, step.bestEffort());
        }
    }

    /** Weights of the ratios of run time to estimate, and the ratio for the median, which each pass asks for. */
    private static final class Histogram {
        private final double[] weights = new double[BUCKETS];
        private double total = PRIOR_WEIGHT;
        private double median = 1;

        Histogram() {
            weights[PRIOR_BUCKET] = PRIOR_WEIGHT;
        }

        void add(double ratio) {
            int bucket = PRIOR_BUCKET + (int) Math.round(BUCKETS_PER_OCTAVE * Math.log(ratio) / LOG_2);
            weights[Math.clamp(bucket, 0, BUCKETS - 1)]++;
            total++;
            if (total > MAX_WEIGHT) {
                for (int i = 0; i < BUCKETS; i++) {
                    weights[i] /= 2;
                }
                total /= 2;
            }
            median = quantile(MEDIAN);
        }

        double quantile(double quantile) {
            double left = quantile * total;
            int bucket = 0;
            while (bucket < BUCKETS - 1 && left > weights[bucket]) {
                left -= weights[bucket];
                bucket++;
            }
            return Math.pow(2, (double) (bucket - PRIOR_BUCKET) / BUCKETS_PER_OCTAVE);
        }
    }

    /** Records that the start of a run was ordered some time before its worker first listed it. */
    void recordStart(long delayMs) {
        startDelayMs += DELAY_WEIGHT * (Math.max(0, delayMs) - startDelayMs);
    }

    /**
     * Records the end of a run that succeeded.
     *
     * @param queue queue of the job
     * @param elapsedMs time from the order to the report of the end, in milliseconds
     */
    void recordDone(String queue, JobStep step, long elapsedMs) {
        if (step.estimatedMs() > 0) {
            double runMs = Math.max(1, elapsedMs - startDelayMs);
            histograms
                    .computeIfAbsent(StepClass.of(queue, step), unused -> new Histogram())
                    .add(runMs / step.estimatedMs());
        }
    }

    /** Returns the number of classes of steps about which something is known. */
    int classes() {
        return histograms.size();
    }

    /** Returns the time from the order of a start until the run is listed, in milliseconds; 0 while unknown. */
    long startDelayMs() {
        return (long) startDelayMs;
    }

    /** Returns the median time for which a task of a step is expected to run, in milliseconds. */
    long expectedMs(String queue, JobStep step) {
        Histogram known = histograms.get(StepClass.of(queue, step));
        return known == null ? step.estimatedMs() : Math.round(known.median * step.estimatedMs());
    }

    /**
     * Returns a quantile of the time for which a task of a step is expected to run, in milliseconds.
     *
     * @param quantile share of the tasks that take no longer, from 0 to 1
     */
    long expectedMs(String queue, JobStep step, double quantile) {
        Histogram known = histograms.get(StepClass.of(queue, step));
        return known == null ? step.estimatedMs() : Math.round(known.quantile(quantile) * step.estimatedMs());
    }
}
