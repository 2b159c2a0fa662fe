package org.fulmarreach.core.exc;

/** Thrown if a frame from another process cannot be decoded. */
public final class FrameException extends FulmarreachException {
    private static final long serialVersionUID = 1L;

    /** Constructs an exception with a message that names the values involved. */
    public FrameException(String message) {
        super(Problem.of(ErrorCode.BAD_FRAME, message));
    }

    /** Constructs an exception with a message and its cause. */
    public FrameException(String message, Throwable cause) {
        super(Problem.of(ErrorCode.BAD_FRAME, message), cause);
    }
}
