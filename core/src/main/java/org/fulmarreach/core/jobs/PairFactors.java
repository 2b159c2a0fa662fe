package org.fulmarreach.core.jobs;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Estimates the interference factors of all best-effort images on one serving image with a Kalman filter, together with
 * the present load of each standing job of that image. The load of a job swings by more than most best-effort tasks
 * interfere, but alike on all workers that run it, since its users' requests are spread over its tasks: what differs
 * between its workers at one time is interference. Without loads of their own, a rising load would count as
 * interference of whatever has been placed meanwhile. What is left beyond both lasts from one sample of a worker to the
 * next, since requests are not spread evenly; the filter allows for that, so that a change on one worker counts more
 * than its level. Not thread-safe.
 */
final class PairFactors {
    /** Factor of a pair before the first observation: the mean of all pairs, of which up to half interfere strongly. */
    static final double PRIOR_FACTOR = 0.6;

    /** Variance of a factor before the first observation; pairs that interfere have factors of 1 to 5. */
    private static final double PRIOR_VARIANCE = LearnedInterference.MAX_VARIANCE;

    /** Mean load of a serving task before the first observation. */
    static final double PRIOR_LOAD = 0.4;

    /** Variance of the load of a job that has not been observed for long. */
    private static final double PRIOR_LOAD_VARIANCE = 0.04;

    /** Increase of the variance of a job's load in a second: a load that varies by half within 10 s changes by 0.1. */
    private static final double LOAD_VARIANCE_PER_SECOND = 0.01;

    /** Part of a worker's deviation from the job's load and the known interference that is left at the next sample. */
    private static final double DEVIATION_LEFT = 0.7;

    /** Variance of the new part of the deviation; tail latencies of a few milliseconds are reported in whole ones. */
    private static final double SAMPLE_VARIANCE = 0.06 * 0.06;

    /** Increase of a factor's variance per sample, since interference changes over time. */
    private static final double DRIFT_VARIANCE = 0.002;

    /** Minimum pressure that a serving task causes by its own load, reduced by the measurement error. */
    private static final double MIN_OWN_PRESSURE = 0.05;

    /** Minimum share of the processors at which the pressure level is used as an upper bound of a factor. */
    private static final double MIN_SHARE = 0.03;

    /** Weight of one sample in the mean load of all jobs. */
    private static final double MEAN_LOAD_WEIGHT = 0.01;

    private static final double MAX_FACTOR = LearnedInterference.MAX_MEAN;

    /** Variance below which a factor has been observed, and not only assumed. */
    private static final double OBSERVED_VARIANCE = 0.9 * PRIOR_VARIANCE;

    /** Increase of the variance of a factor that a former leader has learned, since it is some seconds old. */
    private static final double TAKEOVER_VARIANCE = 0.1;

    /** Bounds the size of the matrix; slots are reused in turn, beginning with the image that was added first. */
    private static final int MAX_IMAGES = 32;

    /** Bounds the size of the matrix; the slot of the job that was not observed for the longest time is reused. */
    private static final int MAX_JOBS = 16;

    private static final double MS_PER_SECOND = 1_000;

    /** The loads of the jobs have the first rows; the best-effort images follow them. */
    private static final int FIRST_IMAGE = MAX_JOBS;

    private final List<String> images = new ArrayList<>();
    private final Map<String, Integer> rowsByJob = new LinkedHashMap<>(MAX_JOBS, 0.75f, true);
    private final long[] observedAtMs = new long[MAX_JOBS];
    private final double[] mean = new double[MAX_JOBS + MAX_IMAGES];
    private final double[][] covariance = new double[MAX_JOBS + MAX_IMAGES][MAX_JOBS + MAX_IMAGES];
    private double meanLoad = PRIOR_LOAD;
    private int nextReplaced;

    /**
     * What a sample of a job on a worker leaves for the next one there.
     *
     * @param shares share of the worker's processors in use, by best-effort image
     * @param beyondLoad pressure beyond the load of the job
     */
    record Deviation(Map<String, Double> shares, double beyondLoad) {
        /** Nothing, as before the first sample. */
        static final Deviation NONE = new Deviation(Map.of(), 0);
    }

    /** Returns the factor of a best-effort image. */
    double factor(String bestEffort) {
        int index = images.indexOf(bestEffort);
        return index < 0 ? PRIOR_FACTOR : mean[FIRST_IMAGE + index];
    }

    /** Returns the factors that have been observed, by best-effort image. */
    Map<String, LearnedInterference.Factor> observedFactors() {
        Map<String, LearnedInterference.Factor> observed = new HashMap<>();
        for (int i = 0; i < images.size(); i++) {
            int row = FIRST_IMAGE + i;
            if (covariance[row][row] < OBSERVED_VARIANCE) {
                double variance = Math.max(0, covariance[row][row]);
                observed.put(images.get(i), new LearnedInterference.Factor(mean[row], variance));
            }
        }
        return observed;
    }

    /** Takes over what a former leader has learned. */
    void restore(LearnedInterference.Serving learned) {
        meanLoad = learned.load();
        learned.factors().forEach((bestEffort, factor) -> {
            int row = rowOfImage(bestEffort);
            mean[row] = factor.mean();
            covariance[row][row] = Math.min(PRIOR_VARIANCE, factor.variance() + TAKEOVER_VARIANCE);
        });
    }

    /** Returns the mean load of the serving image. */
    double load() {
        return meanLoad;
    }

    /**
     * Updates the estimates from a sample.
     *
     * @param job id of a standing job
     * @param shares share of the worker's processors in use, by best-effort image
     * @param pressure mean pressure on the tasks of the job there
     * @param before result for the last sample of the job on the same worker; {@link Deviation#NONE} if it is old
     */
    Deviation learn(String job, Map<String, Double> shares, double pressure, Deviation before, long nowMs) {
        int jobRow = rowOfJob(job, nowMs);
        double[] weights = new double[MAX_JOBS + MAX_IMAGES];
        shares.forEach((bestEffort, share) -> weights[rowOfImage(bestEffort)] = share);
        before.shares().forEach((bestEffort, share) -> {
            if (images.contains(bestEffort)) {
                weights[rowOfImage(bestEffort)] -= DEVIATION_LEFT * share;
            }
        });
        for (int row = FIRST_IMAGE; row < FIRST_IMAGE + images.size(); row++) {
            if (weights[row] != 0) {
                covariance[row][row] = Math.min(PRIOR_VARIANCE, covariance[row][row] + DRIFT_VARIANCE);
            }
        }
        weights[jobRow] = 1;
        update(weights, pressure - DEVIATION_LEFT * before.beyondLoad());
        shares.forEach((bestEffort, share) -> limit(rowOfImage(bestEffort), share, pressure));
        meanLoad += MEAN_LOAD_WEIGHT * (Math.min(1, mean[jobRow]) - meanLoad);
        return new Deviation(shares, pressure - mean[jobRow]);
    }

    /*
     * Helpers
     */

    /** Bounds a factor from above, since an image causes no more than all pressure that its task does not by itself. */
    private void limit(int row, double share, double pressure) {
        if (share >= MIN_SHARE) {
            mean[row] = Math.min(mean[row], Math.max(0, pressure - MIN_OWN_PRESSURE) / share);
        }
    }

    /** Returns the row of a job's load, with the uncertainty of the time since it was last observed. */
    private int rowOfJob(String job, long nowMs) {
        Integer known = rowsByJob.get(job);
        int row = known == null ? addJob(job) : known;
        double elapsedMs = known == null ? 0 : Math.max(0, nowMs - observedAtMs[row]);
        observedAtMs[row] = nowMs;
        covariance[row][row] = Math.min(
                PRIOR_LOAD_VARIANCE, covariance[row][row] + LOAD_VARIANCE_PER_SECOND * elapsedMs / MS_PER_SECOND);
        return row;
    }

    private int addJob(String job) {
        int row = rowsByJob.size();
        if (row == MAX_JOBS) {
            String eldest = rowsByJob.keySet().iterator().next();
            row = rowsByJob.remove(eldest);
        }
        rowsByJob.put(job, row);
        reset(row, meanLoad, PRIOR_LOAD_VARIANCE);
        return row;
    }

    private int rowOfImage(String bestEffort) {
        int index = images.indexOf(bestEffort);
        if (index < 0) {
            if (images.size() < MAX_IMAGES) {
                index = images.size();
                images.add(bestEffort);
            } else {
                index = nextReplaced;
                nextReplaced = (nextReplaced + 1) % MAX_IMAGES;
                images.set(index, bestEffort);
            }
            reset(FIRST_IMAGE + index, PRIOR_FACTOR, PRIOR_VARIANCE);
        }
        return FIRST_IMAGE + index;
    }

    private void reset(int row, double newMean, double variance) {
        for (int i = 0; i < covariance.length; i++) {
            covariance[row][i] = 0;
            covariance[i][row] = 0;
        }
        mean[row] = newMean;
        covariance[row][row] = variance;
    }

    /** Visits only what changes: a worker has few of the images, and most pairs of rows have no covariance. */
    private void update(double[] weights, double observed) {
        int size = FIRST_IMAGE + images.size();
        double[] projected = new double[size];
        double variance = SAMPLE_VARIANCE;
        double expected = 0;
        for (int j = 0; j < size; j++) {
            for (int i = 0; i < size && weights[j] != 0; i++) {
                projected[i] += covariance[i][j] * weights[j];
            }
        }
        for (int i = 0; i < size; i++) {
            variance += weights[i] * projected[i];
            expected += weights[i] * mean[i];
        }
        for (int i = 0; i < size; i++) {
            if (projected[i] == 0) {
                continue;
            }
            double next = mean[i] + projected[i] / variance * (observed - expected);
            mean[i] = Math.min(MAX_FACTOR, Math.max(0, next));
            for (int j = 0; j < size; j++) {
                if (projected[j] != 0) {
                    covariance[i][j] -= projected[i] * projected[j] / variance;
                }
            }
        }
    }
}
