package org.fulmarreach.cli;

/** Exit status of {@code fulmarctl}; scripts rely on the numbers. */
public enum ExitCode {
    /** The command succeeded. */
    OK(0),
    /** The entry refused the request, or the rules were not in force at all sites within the timeout. */
    REFUSED(1),
    /** The command line is invalid, or a file cannot be read. */
    USAGE(2),
    /** The rules file has faults; nothing was published. */
    BAD_RULES(3),
    /** Another operator published first; nothing was published. */
    CONFLICT(4),
    /** No entry answered. */
    UNREACHABLE(5);

    private final int status;

    ExitCode(int status) {
        this.status = status;
    }

    /** Returns the exit status of the process. */
    public int status() {
        return status;
    }
}
