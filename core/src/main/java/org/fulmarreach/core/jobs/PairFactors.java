package org.fulmarreach.core.jobs;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Factors of all filling images on one serving image, with how sure they are: a Kalman filter. A change of the pressure
 * between two looks tells much, since the own load of a serving task moves slowly; its level tells little. Not
 * thread-safe.
 */
final class PairFactors {
    /** Factor of a pair before the first observation. Most pairs hardly disturb, and one never tried is not learned. */
    static final double PRIOR_FACTOR = 0.3;

    /** Spread of factors before the first observation: the pairs that disturb have factors of 1 to 5. */
    private static final double PRIOR_VARIANCE = 1;

    /** Mean load of a serving task and its spread, before the first observation. */
    static final double PRIOR_LOAD = 0.4;

    private static final double PRIOR_LOAD_VARIANCE = 0.04;

    /** A load that swings by half within 10 s changes by 0.06 in half a second; a tail is read to 5%. */
    private static final double CHANGE_VARIANCE = 0.05 * 0.05;

    /** A load swings by 0.15, and ten looks in a row see the same swing. */
    private static final double LEVEL_VARIANCE = 10 * 0.15 * 0.15;

    /** Growth of the variance by look, since a disturbance changes over time. */
    private static final double DRIFT_VARIANCE = 0.002;

    /** A serving task puts at least this pressure on itself, less the error of a reading. */
    private static final double MIN_OWN_PRESSURE = 0.05;

    /** Share of the processors from which a level bounds a factor. */
    private static final double MIN_SHARE = 0.03;

    private static final double MAX_FACTOR = 12;

    /** Bounds the size of the matrix; the image that was added first gives way. */
    private static final int MAX_IMAGES = 32;

    /** Index of the own load of the serving image; the images follow. */
    private static final int LOAD = 0;

    private final List<String> images = new ArrayList<>();
    private final double[] mean = new double[MAX_IMAGES + 1];
    private final double[][] covariance = new double[MAX_IMAGES + 1][MAX_IMAGES + 1];
    private int nextReplaced;

    PairFactors() {
        mean[LOAD] = PRIOR_LOAD;
        covariance[LOAD][LOAD] = PRIOR_LOAD_VARIANCE;
    }

    /** Returns the factor of a filling image. */
    double factor(String filling) {
        int index = images.indexOf(filling);
        return index < 0 ? PRIOR_FACTOR : mean[index + 1];
    }

    /** Returns the mean load of the serving image. */
    double load() {
        return mean[LOAD];
    }

    /**
     * Learns from a change between two looks.
     *
     * @param shareChanges change of the share of processors by filling image
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

    /** Learns from the level of the pressure at one look; no image can cause more pressure than there is. */
    void learnLevel(Map<String, Double> shares, double pressure) {
        double[] weights = weightsOf(shares);
        weights[LOAD] = 1;
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
        shares.forEach((filling, share) -> {
            if (share != 0) {
                weights[indexOf(filling)] = share;
            }
        });
        return weights;
    }

    private int indexOf(String filling) {
        int index = images.indexOf(filling);
        if (index < 0) {
            if (images.size() < MAX_IMAGES) {
                index = images.size();
                images.add(filling);
            } else {
                index = nextReplaced;
                nextReplaced = (nextReplaced + 1) % MAX_IMAGES;
                images.set(index, filling);
            }
            forget(index + 1);
        }
        return index + 1;
    }

    private void forget(int row) {
        for (int i = 0; i <= MAX_IMAGES; i++) {
            covariance[row][i] = 0;
            covariance[i][row] = 0;
        }
        mean[row] = PRIOR_FACTOR;
        covariance[row][row] = PRIOR_VARIANCE;
    }

    private void update(double[] weights, double observed, double noiseVariance) {
        int size = images.size() + 1;
        double[] projected = new double[size];
        double variance = noiseVariance;
        double expected = 0;
        for (int i = 0; i < size; i++) {
            for (int j = 0; j < size; j++) {
                projected[i] += covariance[i][j] * weights[j];
            }
            variance += weights[i] * projected[i];
            expected += weights[i] * mean[i];
        }
        for (int i = 0; i < size; i++) {
            double next = mean[i] + projected[i] / variance * (observed - expected);
            mean[i] = Math.min(MAX_FACTOR, Math.max(0, next));
            for (int j = 0; j < size; j++) {
                covariance[i][j] -= projected[i] * projected[j] / variance;
            }
        }
    }
}
