package org.fulmarreach.core.exc;

/**
 * Description of a failure: its error code, what happened, and the remedy. Immutable.
 *
 * @param code error code
 * @param message what happened, with the values involved
 * @param remedy what the caller or operator can do about it
 * @param retryAfterMs delay before a retry in milliseconds; 0 if a retry does not help
 */
public record Problem(ErrorCode code, String message, String remedy, long retryAfterMs) {
    /** Returns a problem with the default remedy of its error code and without a retry delay. */
    public static Problem of(ErrorCode code, String message) {
        return new Problem(code, message, code.remedy(), 0);
    }

    /** Returns a copy with the given retry delay in milliseconds. */
    public Problem withRetryAfterMs(long newRetryAfterMs) {
        return new Problem(code, message, remedy, newRetryAfterMs);
    }
}
