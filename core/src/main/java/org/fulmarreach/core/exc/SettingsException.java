package org.fulmarreach.core.exc;

/** Thrown if a setting is missing or out of range. */
public final class SettingsException extends FulmarreachException {
    private static final long serialVersionUID = 1L;

    /** Constructs an exception with a message that names the values involved. */
    public SettingsException(String message) {
        super(Problem.of(ErrorCode.BAD_SETTING, message));
    }

    /** Constructs an exception with a message and its cause. */
    public SettingsException(String message, Throwable cause) {
        super(Problem.of(ErrorCode.BAD_SETTING, message), cause);
    }
}
