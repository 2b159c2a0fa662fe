package org.fulmarreach.cli;

/** Exit status of {@code fulmarctl}; scripts rely on the numbers. */
public enum ExitCode {
    /** Done. */
    OK(0),
    /** The entry refused, or the rules were not in force in time. */
    REFUSED(1),
    /** The command line or a setting is wrong, or a file cannot be read. */
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

    /** Returns the number that the process exits with. */
    public int status() {
        return status;
    }
}
