package org.fulmarreach.core.interference;

/**
 * Parameters of the {@link ThrottleController}. Immutable.
 *
 * @param windowMs length of a latency window in milliseconds
 * @param throttleThreshold ratio of latency to baseline above which tasks are throttled
 * @param recoveryThreshold ratio of latency to baseline up to which shares are raised again; below
 *     {@code throttleThreshold}, for hysteresis
 * @param decreaseFactor factor by which the share of a throttled task is multiplied
 * @param increaseStep amount by which a share is raised in one recovery step
 * @param minShare lower bound of the shares
 * @param windowsBeforeRecovery number of consecutive windows without slowdown before shares are raised
 * @param feedbackDelayMs delay in milliseconds until a share change affects the measured latency
 * @param evictAfterMs time in milliseconds at the minimum share, with the slowdown persisting, before a task is evicted
 * @param initialBackoffMs initial time in milliseconds for which a share that caused a slowdown is not retried; doubles
 *     with each failed retry
 * @param maxBackoffMs upper bound of that time in milliseconds
 */
public record ThrottleSettings(
        int windowMs,
        double throttleThreshold,
        double recoveryThreshold,
        double decreaseFactor,
        double increaseStep,
        double minShare,
        int windowsBeforeRecovery,
        int feedbackDelayMs,
        int evictAfterMs,
        int initialBackoffMs,
        int maxBackoffMs) {
    /**
     * The values of section 4.8 of docs/design.md; a failed share is retried after 20 s at first, after 320 s at most.
     */
    public static final ThrottleSettings DEFAULT =
            new ThrottleSettings(2_000, 1.3, 1.2, 0.5, 0.1, 0.1, 3, 4_000, 30_000, 20_000, 320_000);

    /** Returns a copy with another feedback delay in milliseconds. */
    public ThrottleSettings withFeedbackDelayMs(int newFeedbackDelayMs) {
        return new ThrottleSettings(
                windowMs,
                throttleThreshold,
                recoveryThreshold,
                decreaseFactor,
                increaseStep,
                minShare,
                windowsBeforeRecovery,
                newFeedbackDelayMs,
                evictAfterMs,
                initialBackoffMs,
                maxBackoffMs);
    }
}
