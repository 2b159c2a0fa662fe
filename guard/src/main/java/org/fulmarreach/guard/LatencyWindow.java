package org.fulmarreach.guard;

import java.util.Arrays;

/** Durations of the calls in the current window; a full window overwrites the oldest ones. Owned by one thread. */
final class LatencyWindow {
    private static final int MAX_SAMPLES = 1_024;
    private static final double QUANTILE = 0.99;

    private final int[] samplesMs = new int[MAX_SAMPLES];
    private int count;

    void add(int ms) {
        samplesMs[count % MAX_SAMPLES] = ms;
        count++;
    }

    /** Returns the number of calls since the last reset. */
    int count() {
        return count;
    }

    /** Returns the 99th percentile of the durations in milliseconds; 0 without calls. */
    int p99Ms() {
        int kept = Math.min(count, MAX_SAMPLES);
        if (kept == 0) {
            return 0;
        }
        int[] sorted = Arrays.copyOf(samplesMs, kept);
        Arrays.sort(sorted);
        return sorted[(int) Math.ceil(QUANTILE * kept) - 1];
    }

    void reset() {
        count = 0;
    }
}
