package org.fulmarreach.core.exc;

/** Thrown if an internal invariant of the system is violated. */
public final class InvariantViolationException extends FulmarreachException {
    private static final long serialVersionUID = 1L;

    /** Constructs an exception with a message that names the values involved. */
    public InvariantViolationException(String message) {
        super(Problem.of(ErrorCode.INVARIANT_VIOLATED, message));
    }

    /** Constructs an exception with a message and its cause. */
    public InvariantViolationException(String message, Throwable cause) {
        super(Problem.of(ErrorCode.INVARIANT_VIOLATED, message), cause);
    }
}
