package org.fulmarreach.core.exc;

/**
 * Either a value or the problem that prevented it. Immutable if the value is immutable.
 *
 * @param <T> type of the value
 */
public sealed interface Result<T> {
    /**
     * The operation succeeded.
     *
     * @param value result of the operation
     * @param <T> type of the value
     */
    record Ok<T>(T value) implements Result<T> {}

    /**
     * The operation failed.
     *
     * @param problem why there is no value
     * @param <T> type of the value in case of success
     */
    record Err<T>(Problem problem) implements Result<T> {}

    /** Returns a success with the given value. */
    static <T> Result<T> ok(T value) {
        return new Ok<>(value);
    }

    /** Returns a failure with the default remedy of its error code. */
    static <T> Result<T> err(ErrorCode code, String message) {
        return new Err<>(Problem.of(code, message));
    }

    /** Returns a failure with the given problem. */
    static <T> Result<T> err(Problem problem) {
        return new Err<>(problem);
    }
}
