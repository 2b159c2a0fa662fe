package org.fulmarreach.core.routing;

/**
 * Token bucket that bounds retries to a tenth of the calls, so that retries cannot multiply an overload. Owned by one
 * thread or actor.
 */
public final class RetryBudget {
    /** A retry costs as much as this many calls bring in. */
    public static final int CALLS_PER_RETRY = 10;

    /** Retries that can be saved up. */
    public static final int MAX_SAVED_RETRIES = 10;

    private int saved = CALLS_PER_RETRY * MAX_SAVED_RETRIES;

    /** Counts a call's first attempt. */
    public void recordCall() {
        saved = Math.min(saved + 1, CALLS_PER_RETRY * MAX_SAVED_RETRIES);
    }

    /** Takes one retry; false when the budget has none left. */
    public boolean tryRetry() {
        if (saved < CALLS_PER_RETRY) {
            return false;
        }
        saved -= CALLS_PER_RETRY;
        return true;
    }
}
