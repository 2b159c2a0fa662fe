package org.fulmarreach.core.jobs;

/**
 * What the leader has seen of a run. Times are readings of the leader's monotonic clock. Immutable.
 *
 * @param orderedAtMs when the run was ordered or, by a new leader, first found in the log
 * @param sentAtMs when the order to start it was last sent
 * @param repeated whether that order may have been sent before {@code sentAtMs}, by this leader or a former one
 * @param startedAtMs when its worker first listed it; 0 before
 * @param percent progress from 0 to 100 as last listed
 * @param advancedAtMs when {@code percent} last changed
 * @param usage usage figure of the worker: tail latency in milliseconds for a serving task, else processors in use
 * @param checkpoint newest checkpoint that the worker listed; empty for none
 * @param stopOrderedAtMs when a stop was last sent; 0 for never
 * @param stopConfirmed whether the worker answered a stop
 */
public record RunProgress(
        long orderedAtMs,
        long sentAtMs,
        boolean repeated,
        long startedAtMs,
        int percent,
        long advancedAtMs,
        long usage,
        String checkpoint,
        long stopOrderedAtMs,
        boolean stopConfirmed) {
    /** Nothing seen. */
    public static final RunProgress NONE = new RunProgress(0, 0, false, 0, 0, 0, 0, "", 0, false);

    /** Returns the progress of a run that is ordered for the first time. */
    static RunProgress firstOrderedAt(long nowMs) {
        return new RunProgress(nowMs, nowMs, false, 0, 0, nowMs, 0, "", 0, false);
    }

    /** Returns the progress of a run that a former leader ordered and may have ordered more than once. */
    static RunProgress orderedAt(long nowMs) {
        return new RunProgress(nowMs, nowMs, true, 0, 0, nowMs, 0, "", 0, false);
    }

    /** Tells whether the worker has listed the run. */
    public boolean isSeen() {
        return startedAtMs > 0;
    }

    /**
     * Tells whether the run may have begun although a start of it was refused. Only the refusal of the one start that
     * was ever sent proves that it has not: an earlier one may have been carried out, or may still be.
     */
    boolean mayHaveBegun() {
        return isSeen() || repeated;
    }

    RunProgress withListing(int newPercent, long newUsage, String newCheckpoint, long nowMs) {
        return new RunProgress(
                orderedAtMs,
                sentAtMs,
                repeated,
                startedAtMs > 0 ? startedAtMs : nowMs,
                newPercent,
                newPercent != percent || startedAtMs == 0 ? nowMs : advancedAtMs,
                newUsage,
                newCheckpoint,
                stopOrderedAtMs,
                stopConfirmed);
    }

    RunProgress withSent(long nowMs) {
        return new RunProgress(
                orderedAtMs,
                nowMs,
                true,
                startedAtMs,
                percent,
                advancedAtMs,
                usage,
                checkpoint,
                stopOrderedAtMs,
                stopConfirmed);
    }

    RunProgress withStopOrdered(long nowMs) {
        return new RunProgress(
                orderedAtMs,
                sentAtMs,
                repeated,
                startedAtMs,
                percent,
                advancedAtMs,
                usage,
                checkpoint,
                nowMs,
                stopConfirmed);
    }

    RunProgress withStopConfirmed() {
        return new RunProgress(
                orderedAtMs,
                sentAtMs,
                repeated,
                startedAtMs,
                percent,
                advancedAtMs,
                usage,
                checkpoint,
                stopOrderedAtMs,
                true);
    }
}
