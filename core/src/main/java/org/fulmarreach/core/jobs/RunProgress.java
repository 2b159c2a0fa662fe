package org.fulmarreach.core.jobs;

/**
 * The leader's observations of a run. Times are readings of the leader's monotonic clock. Immutable.
 *
 * @param orderedAtMs when the run was ordered or, for a run of a former leader, when the new leader's term began
 * @param queuedAtMs when the start order was last queued; it is sent once the state with the run is stored
 * @param sentAtMs when the start order was first handed to a session of the guard, or may have been by a former leader;
 *     0 before
 * @param repeated whether the start order may have been handed over more than once, by this leader or a former one
 * @param startedAtMs when the worker first listed the run as running; 0 before
 * @param percent progress from 0 to 100 as last listed
 * @param advancedAtMs when {@code percent} last changed
 * @param usage tail latency in milliseconds for a serving task, otherwise millicores in use
 * @param checkpoint newest checkpoint that the worker listed; empty for none
 * @param stopOrderedAtMs when a stop order was last sent; 0 if none was sent
 * @param stopConfirmedAtMs when the leader learned that the worker has confirmed a stop order; 0 before
 */
public record RunProgress(
        long orderedAtMs,
        long queuedAtMs,
        long sentAtMs,
        boolean repeated,
        long startedAtMs,
        int percent,
        long advancedAtMs,
        long usage,
        String checkpoint,
        long stopOrderedAtMs,
        long stopConfirmedAtMs) {
    /** Initial value, without a run. */
    public static final RunProgress NONE = new RunProgress(0, 0, 0, false, 0, 0, 0, 0, "", 0, 0);

    /** Returns the progress of a run that is ordered for the first time. */
    static RunProgress firstOrderedAt(long nowMs) {
        return new RunProgress(nowMs, nowMs, 0, false, 0, 0, nowMs, 0, "", 0, 0);
    }

    /** Returns the progress of a run that a former leader ordered, possibly more than once. */
    static RunProgress orderedAt(long nowMs) {
        return new RunProgress(nowMs, nowMs, nowMs, true, 0, 0, nowMs, 0, "", 0, 0);
    }

    /** Tells whether the worker has listed the run as running. */
    public boolean isListed() {
        return startedAtMs > 0;
    }

    /** Tells whether a start order may have been handed to a session of the guard. */
    boolean isSent() {
        return sentAtMs > 0;
    }

    /** Tells whether the run may have started: it is listed, or a start order may have reached the worker. */
    boolean mayHaveStarted() {
        return isListed() || isSent();
    }

    /**
     * Tells whether the run may have started although a start order was refused. A refusal proves that it has not only
     * if that was the only start order sent: an earlier one may have been executed, or may still be.
     */
    boolean mayHaveStartedDespiteRefusal() {
        return isListed() || repeated;
    }

    /** Tells whether the worker has confirmed a stop order. */
    boolean isStopConfirmed() {
        return stopConfirmedAtMs > 0;
    }

    /** Tells whether a start that the worker has not listed as running is being withdrawn. */
    boolean isWithdrawn() {
        return stopOrderedAtMs > 0 && !isListed();
    }

    RunProgress withListing(int newPercent, long newUsage, String newCheckpoint, long nowMs) {
        return new RunProgress(
                orderedAtMs,
                queuedAtMs,
                sentAtMs,
                repeated,
                startedAtMs > 0 ? startedAtMs : nowMs,
                newPercent,
                newPercent != percent || startedAtMs == 0 ? nowMs : advancedAtMs,
                newUsage,
                newCheckpoint,
                stopOrderedAtMs,
                stopConfirmedAtMs);
    }

    /** Returns the progress after the start order was queued once more. */
    RunProgress withQueued(long nowMs) {
        return new RunProgress(
                orderedAtMs,
                nowMs,
                sentAtMs,
                repeated,
                startedAtMs,
                percent,
                advancedAtMs,
                usage,
                checkpoint,
                stopOrderedAtMs,
                stopConfirmedAtMs);
    }

    /** Returns the progress after the start order was handed to a session of the guard. */
    RunProgress withSent(long nowMs) {
        return new RunProgress(
                orderedAtMs,
                queuedAtMs,
                isSent() ? sentAtMs : nowMs,
                isSent(),
                startedAtMs,
                percent,
                advancedAtMs,
                usage,
                checkpoint,
                stopOrderedAtMs,
                stopConfirmedAtMs);
    }

    RunProgress withStopOrdered(long nowMs) {
        return new RunProgress(
                orderedAtMs,
                queuedAtMs,
                sentAtMs,
                repeated,
                startedAtMs,
                percent,
                advancedAtMs,
                usage,
                checkpoint,
                nowMs,
                stopConfirmedAtMs);
    }

    /** Returns the progress after the first confirmation of a stop; a later one changes nothing. */
    RunProgress withStopConfirmed(long nowMs) {
        return new RunProgress(
                orderedAtMs,
                queuedAtMs,
                sentAtMs,
                repeated,
                startedAtMs,
                percent,
                advancedAtMs,
                usage,
                checkpoint,
                stopOrderedAtMs,
                stopConfirmedAtMs > 0 ? stopConfirmedAtMs : nowMs);
    }
}
