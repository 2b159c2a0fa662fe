package org.fulmarreach.core.exc;

/**
 * Either a value or the problem that prevented it. Immutable when the value is.
 *
 * @param <T> type of the value
 */
public sealed interface Result<T> {
    /**
     * The value.
     *
     * @param value result of the operation
     * @param <T> type of the value
     */
    record Ok<T>(T value) implements Result<T> {}

    /**
     * The failure.
     *
     * @param problem why there is no value
     * @param <T> type of the value that is missing
     */
    record Err<T>(Problem problem) implements Result<T> {}

    /** Returns a success. */
    static <T> Result<T> ok(T value) {
        return new Ok<>(value);
    }

    /** Returns a failure with the usual remedy of its kind. */
    static <T> Result<T> err(ErrorCode code, String message) {
        return new Err<>(Problem.of(code, message));
    }

    /** Returns a failure. */
    static <T> Result<T> err(Problem problem) {
        return new Err<>(problem);
    }
}
