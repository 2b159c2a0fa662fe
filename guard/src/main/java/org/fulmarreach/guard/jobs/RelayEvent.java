package org.fulmarreach.guard.jobs;

import java.util.logging.Level;

import org.fulmarreach.runtime.log.Event;

/** Events of the guard beside a worker that runs jobs. */
public enum RelayEvent implements Event {
    /** Lifetime seen. */
    WORKER_LIFETIME(4101, Level.INFO, "The worker reported for the first time, or started again."),
    /** State changed. */
    WORKER_STATE(4102, Level.INFO, "The worker became ready or began to drain."),
    /** Silent. */
    WORKER_SILENT(4103, Level.WARNING, "The worker does not answer; its lease is not extended until it does."),
    /** Back. */
    WORKER_ANSWERS(4104, Level.INFO, "The worker answers again."),
    /** Lapsed. */
    LEASE_LAPSED(4105, Level.WARNING, "The lease of a worker that does not answer has run out; nothing runs on it."),
    /** Gone. */
    WORKER_LEFT(4106, Level.INFO, "The worker took its leave."),
    /** Bad heartbeat. */
    HEARTBEAT_REFUSED(4107, Level.WARNING, "A heartbeat could not be decoded or is older than a former one."),
    /** Start carried out. */
    START_DONE(4110, Level.INFO, "The worker took a start."),
    /** Start refused. */
    START_REFUSED(4111, Level.INFO, "The worker, or the guard for it, did not take a start."),
    /** Start without answer. */
    START_EXPIRED(
            4117, Level.WARNING, "A start was held up on its way and is dropped; the leader repeats it if needed."),
    START_UNANSWERED(4112, Level.WARNING, "The worker gave no answer to a start; it is sent again."),
    /** Stop carried out. */
    STOP_DONE(4113, Level.INFO, "The worker took a stop."),
    /** Stop failed. */
    STOP_FAILED(4114, Level.WARNING, "The worker did not take a stop; the leader repeats it."),
    /** Pace. */
    PACE_DONE(4115, Level.INFO, "The worker was told the share at which a run works."),
    /** Old orders. */
    ORDERS_IGNORED(4116, Level.WARNING, "Orders of an older term or for another lifetime of the worker are ignored."),
    /** Leader found. */
    LEADER_FOUND(4120, Level.INFO, "A leader took this guard's session."),
    /** Leader lost. */
    LEADER_LOST(4121, Level.WARNING, "The session with the leader ended; the guard looks for it."),
    /** Other leader. */
    LEADER_DOUBTED(4123, Level.INFO, "The leader cannot write and the store names another one; the guard goes there."),
    /** No leader. */
    LEADER_SOUGHT(4122, Level.FINE, "An address was tried in search of the leader.");

    private final int number;
    private final Level level;
    private final String description;

    RelayEvent(int number, Level level, String description) {
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
