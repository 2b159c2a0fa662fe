package org.fulmarreach.core.exc;

/** Thrown if the worker agent refused an operation or did not answer. */
public final class WorkerException extends FulmarreachException {
    private static final long serialVersionUID = 1L;

    /** Constructs an exception with a message that names the values involved. */
    public WorkerException(String message) {
        super(Problem.of(ErrorCode.WORKER_FAILED, message));
    }

    /** Constructs an exception with a message and its cause. */
    public WorkerException(String message, Throwable cause) {
        super(Problem.of(ErrorCode.WORKER_FAILED, message), cause);
    }
}
