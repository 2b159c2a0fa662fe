package org.fulmarreach.guard.jobs;

import java.util.logging.Level;

import org.fulmarreach.runtime.log.Event;

/** Events of a guard that manages a worker for jobs: 4100 to 4199. Each constant's description is its documentation. */
public enum RelayEvent implements Event {
    WORKER_LIFETIME(
            4101,
            Level.INFO,
            "The worker has answered for the first time, or after it started again, and a heartbeat describes it."),
    WORKER_STATE(4102, Level.INFO, "The worker became ready or began to drain, or is another one than was believed."),
    WORKER_SILENT(4103, Level.WARNING, "The worker does not answer; its lease is not extended until it does."),
    WORKER_ANSWERS(4104, Level.INFO, "The worker answers again."),
    LEASE_LAPSED(4105, Level.WARNING, "The lease of a worker that does not answer has run out; nothing runs on it."),
    WORKER_LEFT(
            4106, Level.INFO, "A worker deregistered. Its lease ends early only if it drains and refuses connections."),
    HEARTBEAT_REFUSED(
            4107,
            Level.WARNING,
            "A heartbeat could not be decoded, is older than one that was received before or contradicts it, or names a"
                    + " lifetime that the worker has not confirmed."),
    LIFETIME_CLAIMED(
            4109,
            Level.INFO,
            "A heartbeat names a lifetime of the worker that has not answered yet; the guard asks the worker."),
    ROWS_SKIPPED(
            4108, Level.WARNING, "The worker's lists have another number of rows that name no run; they are left out."),
    CHECKPOINTS_LEFT_OUT(
            4118,
            Level.WARNING,
            "The worker lists another number of checkpoints that are too long to be kept; these runs have none."),
    START_DONE(4110, Level.INFO, "The worker accepted the start of a run."),
    START_REFUSED(4111, Level.INFO, "The worker, or the guard on its behalf, refused the start of a run."),
    START_EXPIRED(
            4117, Level.WARNING, "A start was delayed for too long and is dropped; the leader repeats it if needed."),
    START_UNANSWERED(
            4112, Level.WARNING, "The worker did not answer a start; the event says whether the guard sends it again."),
    STOP_DONE(4113, Level.INFO, "The worker accepted the stop of a run."),
    STOP_FAILED(
            4114,
            Level.WARNING,
            "The worker refused or did not answer a stop or a change of a run's share; the leader repeats a stop."),
    PACE_DONE(4115, Level.INFO, "The worker accepted a change of a run's share."),
    ORDERS_IGNORED(4116, Level.WARNING, "Orders of an older term or for another lifetime of the worker are ignored."),
    LEADER_FOUND(4120, Level.INFO, "A leader accepted this guard's session."),
    LEADER_LOST(4121, Level.WARNING, "The session with the leader ended; the guard searches for the current leader."),
    LEADER_DOUBTED(
            4123,
            Level.INFO,
            "The leader cannot write and the store names another one; the guard connects to that one."),
    LEADER_SILENT(
            4124,
            Level.INFO,
            "An entry has not answered for too long; the guard closes the connection and searches for the leader."),
    LEADER_SOUGHT(4122, Level.FINE, "An address was tried in search of the leader."),
    LEADER_ADDRESS_REFUSED(
            4125,
            Level.WARNING,
            "The sender named a leader without a usable address; the guard goes on with the other ways to find it.");

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
