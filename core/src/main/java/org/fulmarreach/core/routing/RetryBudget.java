package org.fulmarreach.core.routing;

/**
 * Token bucket that limits retries to 10% of the calls, so that retries cannot amplify an overload. Not thread-safe:
 * confined to one thread or actor.
 */
public final class RetryBudget {
    /** Number of first attempts that earn one retry. */
    public static final int CALLS_PER_RETRY = 10;

    /** Capacity of the bucket: maximum number of retries that can be made in a burst. */
    public static final int MAX_BURST_RETRIES = 10;

    private int tokens = CALLS_PER_RETRY * MAX_BURST_RETRIES;

    /** Records the first attempt of a call, which adds one token. */
    public void recordFirstAttempt() {
        tokens = Math.min(tokens + 1, CALLS_PER_RETRY * MAX_BURST_RETRIES);
    }

    /** Consumes the tokens of one retry; returns false, and consumes none, if the bucket has too few. */
    public boolean tryAcquireRetry() {
        if (tokens < CALLS_PER_RETRY) {
            return false;
        }
        tokens -= CALLS_PER_RETRY;
        return true;
    }
}
