package org.fulmarreach.core.exc;

/** Base class of the exceptions of this system; contains the {@link Problem} that it reports. */
public class FulmarreachException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final transient Problem problem;

    /** Constructs an exception for {@code problem}. */
    public FulmarreachException(Problem problem) {
        this(problem, null);
    }

    /** Constructs an exception for {@code problem} with its cause, which may be null. */
    public FulmarreachException(Problem problem, Throwable cause) {
        super(problem.code() + ": " + problem.message() + " Remedy: " + problem.remedy(), cause);
        this.problem = problem;
    }

    /** Returns the reported problem. */
    public Problem problem() {
        return problem;
    }
}
