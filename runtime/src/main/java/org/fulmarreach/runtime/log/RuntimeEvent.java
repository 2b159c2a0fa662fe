package org.fulmarreach.runtime.log;

import java.util.logging.Level;

/** Events of the process life cycle and of connections, and the violation of an invariant. */
public enum RuntimeEvent implements Event {
    /** Start. */
    STARTED(1001, Level.INFO, "The process listens and is ready."),
    /** Settings are wrong. */
    SETTINGS_REFUSED(1002, Level.SEVERE, "Settings are missing or out of range; correct those that are listed."),
    /** SIGTERM. */
    DRAINING(1003, Level.INFO, "The process received SIGTERM, refuses new work and finishes what runs."),
    /** End of drain. */
    STOPPED(1004, Level.INFO, "The process has finished its work and exits."),
    /** Drain took too long. */
    DRAIN_TIMEOUT(
            1005, Level.WARNING, "The drain bound passed with work left; raise drain-timeout-ms if it is too short."),
    /** Log queue full. */
    LOG_LINES_DROPPED(1006, Level.WARNING, "Log lines were dropped because standard output did not keep up."),
    /** SIGHUP. */
    SETTINGS_RELOADED(1007, Level.INFO, "The settings file was read again; what changed is named."),
    /** New connection. */
    CONNECTION_OPENED(1101, Level.FINE, "A connection to another process was opened."),
    /** Connection ended. */
    CONNECTION_CLOSED(1102, Level.INFO, "A connection to another process ended and is dialled again if it was ours."),
    /** Frames could not be sent in time. */
    SEND_BUFFER_FULL(1103, Level.WARNING, "A peer does not read; its connection is closed. Check that process."),
    /** Malformed frame. */
    FRAME_REFUSED(1104, Level.WARNING, "A malformed frame arrived; its connection is closed. Run the same version."),
    /** Invariant violated. */
    INVARIANT_VIOLATED(9001, Level.SEVERE, "An invariant did not hold; the part that found it has stopped. Report it.");

    private final int number;
    private final Level level;
    private final String description;

    RuntimeEvent(int number, Level level, String description) {
        this.number = number;
        this.level = level;
        this.description = description;
    }

    @Override
    public int number() {
        return number;
    }

    @Override
    public Level level() {
        return level;
    }

    @Override
    public String description() {
        return description;
    }
}
