package org.fulmarreach.core.exc;

/** Thrown if the log service failed or did not answer. Whether an append took effect is unknown. */
public final class StoreException extends FulmarreachException {
    private static final long serialVersionUID = 1L;

    /** Constructs an exception with a message that names the values involved. */
    public StoreException(String message) {
        super(Problem.of(ErrorCode.STORE_UNAVAILABLE, message));
    }

    /** Constructs an exception with a message and its cause. */
    public StoreException(String message, Throwable cause) {
        super(Problem.of(ErrorCode.STORE_UNAVAILABLE, message), cause);
    }
}
