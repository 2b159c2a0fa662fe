package org.fulmarreach.runtime.log;

import java.util.logging.Level;

/** Events of the process life cycle and of connections, and the violation of an invariant. */
public enum RuntimeEvent implements Event {
    STARTED(1001, Level.INFO, "The process listens and is ready."),
    SETTINGS_REFUSED(1002, Level.SEVERE, "Settings are missing or out of range; correct those that are listed."),
    DRAINING(1003, Level.INFO, "The process received SIGTERM, refuses new work and finishes the work in progress."),
    STOPPED(1004, Level.INFO, "The process has finished its work and exits."),
    DRAIN_TIMEOUT(
            1005,
            Level.WARNING,
            "The drain timed out with work in progress; raise drain-timeout-ms if it is too short."),
    LOG_LINES_DROPPED(1006, Level.WARNING, "Log lines were dropped because standard output did not keep up."),
    SETTINGS_RELOADED(
            1007,
            Level.INFO,
            "The settings file was read again; the event says whether it changed. Changes apply at the next start."),
    CONNECTION_OPENED(1101, Level.FINE, "A connection to another process was opened."),
    CONNECTION_CLOSED(
            1102, Level.INFO, "A connection to another process ended; it is reopened if this process had opened it."),
    SEND_BUFFER_FULL(
            1103, Level.WARNING, "A peer does not read its messages, so its connection is closed; check that process."),
    FRAME_REFUSED(
            1104,
            Level.WARNING,
            "A malformed frame arrived, so its connection is closed; run the same version in both processes."),
    ADDRESS_REFUSED(
            1105,
            Level.WARNING,
            "An address of another process is malformed or has no usable port, so no connection is opened to it."),
    CLIENT_REFUSED(
            1106,
            Level.WARNING,
            "A client of a listener was refused or its connection was closed; written at most once in 5 s per"
                    + " reason, with the total."),
    FRAME_NOT_SENT(
            1107,
            Level.SEVERE,
            "A message to another process is over the limit of a frame and was dropped; report it."),
    INVARIANT_VIOLATED(
            9001,
            Level.SEVERE,
            "An invariant was violated, and the component that detected it has stopped; report it.");

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
