package org.fulmarreach.core.interference;

/**
 * Constants of the {@link ThrottleController}. Immutable.
 *
 * @param windowMs length of a latency window
 * @param badSlowdown latency over baseline above which tasks are throttled
 * @param goodSlowdown latency over baseline up to which shares recover; below {@code badSlowdown}, so that the
 *     controller rests between the two
 * @param decreaseFactor factor on the share of a throttled task
 * @param increaseStep what a share gains in one step of recovery
 * @param lowestShare lowest share
 * @param goodWindows good windows in a row before recovery
 * @param feedbackDelayMs time until a change of a share shows in the latency
 * @param evictAfterMs time at the lowest share without relief before an eviction is asked for
 * @param firstProbeMs time for which a share that did harm is not tried again; doubles with each failed trial
 * @param maxProbeMs bound of that time
 */
public record ThrottleSettings(
        int windowMs,
        double badSlowdown,
        double goodSlowdown,
        double decreaseFactor,
        double increaseStep,
        double lowestShare,
        int goodWindows,
        int feedbackDelayMs,
        int evictAfterMs,
        int firstProbeMs,
        int maxProbeMs) {
    /** The values of section 4.8 of docs/design.md; a failed share is tried again after 20 s, at most 320 s. */
    public static final ThrottleSettings DEFAULT =
            new ThrottleSettings(2_000, 1.3, 1.2, 0.5, 0.1, 0.1, 3, 4_000, 30_000, 20_000, 320_000);

    /** Returns a copy with another feedback delay in milliseconds. */
    public ThrottleSettings withFeedbackDelayMs(int newFeedbackDelayMs) {
        return new ThrottleSettings(
                windowMs,
                badSlowdown,
                goodSlowdown,
                decreaseFactor,
                increaseStep,
                lowestShare,
                goodWindows,
                newFeedbackDelayMs,
                evictAfterMs,
                firstProbeMs,
                maxProbeMs);
    }
}
