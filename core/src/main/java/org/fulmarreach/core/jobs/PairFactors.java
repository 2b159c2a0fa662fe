package org.fulmarreach.core.jobs;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Estimates the interference factors of all best-effort images on one serving image with a Kalman filter. A change of
 * pressure between two samples is an accurate observation, since the serving task's own load changes slowly; the
 * absolute level of the pressure is an inaccurate one. Not thread-safe.
 */
final class PairFactors {
    /** Factor of a pair before the first observation: low, since most pairs interfere little and must be tried once. */
    static final double PRIOR_FACTOR = 0.3;

    /** Variance of a factor before the first observation; pairs that interfere have factors of 1 to 5. */
    private static final double PRIOR_VARIANCE = LearnedInterference.MAX_VARIANCE;

    /** Mean load of a serving task before the first observation. */
    static final double PRIOR_LOAD = 0.4;

    /** Variance of the load of a serving task before the first observation. */
    private static final double PRIOR_LOAD_VARIANCE = 0.04;

    /** A load that varies by half within 10 s changes by 0.06 in half a second; tails are measured to within 5%. */
    private static final double CHANGE_VARIANCE = 0.05 * 0.05;

    /** Load varies by 0.15; the factor 10 is there because ten successive samples observe the same variation. */
    private static final double LEVEL_VARIANCE = 10 * 0.15 * 0.15;

    /** Increase of a factor's variance per sample, since interference changes over time. */
    private static final double DRIFT_VARIANCE = 0.002;

    /** Minimum pressure that a serving task causes by its own load, reduced by the measurement error. */
    private static final double MIN_OWN_PRESSURE = 0.05;

    /** Minimum share of the processors at which the pressure level is used as an upper bound of a factor. */
    private static final double MIN_SHARE = 0.03;

    private static final double MAX_FACTOR = LearnedInterference.MAX_MEAN;

    /** Variance below which a factor has been observed, and not only assumed. */
    private static final double OBSERVED_VARIANCE = 0.9 * PRIOR_VARIANCE;

    /** Increase of the variance of a factor that a former leader has learned, since it is some seconds old. */
    private static final double TAKEOVER_VARIANCE = 0.1;

    /** Bounds the size of the matrix; slots are reused in turn, beginning with the image that was added first. */
    private static final int MAX_IMAGES = 32;

    /** Index of the serving image's own load; the best-effort images follow it. */
    private static final int LOAD_INDEX = 0;

    private final List<String> images = new ArrayList<>();
    private final double[] mean = new double[MAX_IMAGES + 1];
    private final double[][] covariance = new double[MAX_IMAGES + 1][MAX_IMAGES + 1];
    private int nextReplaced;

    PairFactors() {
        mean[LOAD_INDEX] = PRIOR_LOAD;
        covariance[LOAD_INDEX][LOAD_INDEX] = PRIOR_LOAD_VARIANCE;
    }

    /** Returns the factor of a best-effort image. */
    double factor(String bestEffort) {
        int index = images.indexOf(bestEffort);
        return index < 0 ? PRIOR_FACTOR : mean[index + 1];
    }

    /** Returns the factors that have been observed, by best-effort image. */
    Map<String, LearnedInterference.Factor> observedFactors() {
        Map<String, LearnedInterference.Factor> observed = new HashMap<>();
        for (int i = 1; i <= images.size(); i++) {
            if (covariance[i][i] < OBSERVED_VARIANCE) {
                observed.put(images.get(i - 1), new LearnedInterference.Factor(mean[i], Math.max(0, covariance[i][i])));
            }
        }
        return observed;
    }

    /** Takes over what a former leader has learned. */
    void restore(LearnedInterference.Serving learned) {
        mean[LOAD_INDEX] = learned.load();
        learned.factors().forEach((bestEffort, factor) -> {
            int index = indexOf(bestEffort);
            mean[index] = factor.mean();
            covariance[index][index] = Math.min(PRIOR_VARIANCE, factor.variance() + TAKEOVER_VARIANCE);
        });
    }

    /** Returns the mean load of the serving image. */
    double load() {
        return mean[LOAD_INDEX];
    }

    /**
     * Updates the factors from the change between two samples.
     *
     * @param shareChanges change of the share of processors, by best-effort image
     * @param pressureChange change of the pressure on the serving image
     */
    void learnChange(Map<String, Double> shareChanges, double pressureChange) {
        double[] weights = weightsOf(shareChanges);
        for (int i = 1; i <= images.size(); i++) {
            if (weights[i] != 0) {
                covariance[i][i] = Math.min(PRIOR_VARIANCE, covariance[i][i] + DRIFT_VARIANCE);
            }
        }
        update(weights, pressureChange, CHANGE_VARIANCE);
    }

    /** Updates the estimates from the pressure level of one sample, which also bounds each factor from above. */
    void learnLevel(Map<String, Double> shares, double pressure) {
        double[] weights = weightsOf(shares);
        weights[LOAD_INDEX] = 1;
        update(weights, pressure, LEVEL_VARIANCE);
        for (int i = 1; i <= images.size(); i++) {
            if (weights[i] >= MIN_SHARE) {
                mean[i] = Math.min(mean[i], Math.max(0, pressure - MIN_OWN_PRESSURE) / weights[i]);
            }
        }
    }

    /*
     * Helpers
     */

    private double[] weightsOf(Map<String, Double> shares) {
        double[] weights = new double[MAX_IMAGES + 1];
        shares.forEach((bestEffort, share) -> {
            if (share != 0) {
                weights[indexOf(bestEffort)] = share;
            }
        });
        return weights;
    }

    private int indexOf(String bestEffort) {
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
            reset(index + 1);
        }
        return index + 1;
    }

    private void reset(int row) {
        for (int i = 0; i <= MAX_IMAGES; i++) {
            covariance[row][i] = 0;
            covariance[i][row] = 0;
        }
        mean[row] = PRIOR_FACTOR;
        covariance[row][row] = PRIOR_VARIANCE;
    }

    /** Visits only what changes: a worker has few of the images, and most pairs of images have no covariance. */
    private void update(double[] weights, double observed, double noiseVariance) {
        int size = images.size() + 1;
        double[] projected = new double[size];
        double variance = noiseVariance;
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
