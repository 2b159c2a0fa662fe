package org.fulmarreach.core.exc;

/**
 * An expected failure as data: its kind, what happened, and the remedy. Immutable.
 *
 * @param code kind of failure
 * @param message what happened, with the values involved
 * @param remedy what to do about it
 * @param retryAfterMs when to come back in milliseconds; 0 when a retry is of no use
 */
public record Problem(ErrorCode code, String message, String remedy, long retryAfterMs) {
    /** Returns a problem with the usual remedy of its kind and no time to come back. */
    public static Problem of(ErrorCode code, String message) {
        return new Problem(code, message, code.remedy(), 0);
    }

    /** Returns a copy that says when to come back. */
    public Problem withRetryAfterMs(long newRetryAfterMs) {
        return new Problem(code, message, remedy, newRetryAfterMs);
    }
}
