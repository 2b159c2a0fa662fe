package org.fulmarreach.guard;

import java.util.logging.Level;

import org.fulmarreach.runtime.log.Event;

/**
 * Events of the guard: tasks 2200 to 2299, calls 3100 to 3199. Each constant's description is its documentation.
 */
public enum GuardEvent implements Event {
    TASK_STARTED(2201, Level.INFO, "The worker agent started a task."),
    TASK_ENDED(2202, Level.INFO, "A task stopped, succeeded or failed; the heartbeat reports it until acknowledged."),
    TASK_REFUSED(
            2203, Level.INFO, "A task was not started; the reason says why, for example NO_CAPACITY or EPOCH_LIVE."),
    GRANT_LAPSED(2204, Level.WARNING, "The grant of a task expired and the task is stopped; check the shard's leader."),
    TASK_THROTTLED(2205, Level.INFO, "The processor share of a task changed."),
    TASK_ADOPTED(
            2206,
            Level.INFO,
            "A task that an earlier incarnation started is running; it is renewed only on request of its leader."),
    EVICTION_NEEDED(
            2207,
            Level.WARNING,
            "Throttling to the lowest share did not help, or memory is short; the leader may evict the task."),
    WORKER_FAILING(
            2208,
            Level.WARNING,
            "The last starts on this VM all failed, or the worker agent does not answer; check the agent."),
    WORKER_UNREACHABLE(2209, Level.WARNING, "The worker agent does not answer; check that it runs."),
    TERM_REFUSED(2210, Level.INFO, "A message from a former leader of a shard was ignored."),
    TARGET_READY(3101, Level.INFO, "The target announced itself and gets calls."),
    TARGET_UNREADY(3102, Level.WARNING, "The target failed three polls and gets no calls; check that it runs."),
    LEAVING(3103, Level.INFO, "The guard refuses new calls and tasks; the cause is in the event."),
    RETURNED(3104, Level.INFO, "The target is no longer leaving; the guard accepts calls and tasks again."),
    CALL_UNKNOWN(3105, Level.WARNING, "The connection to the target ended during a call, which may have run."),
    STOP_UNCONFIRMED(
            3107,
            Level.WARNING,
            "An entry did not confirm the planned stop in time; calls that it sent last may get no answer."),
    DRAINED(3106, Level.INFO, "All calls have ended and all tasks have been reported.");

    private final int number;
    private final Level level;
    private final String description;

    GuardEvent(int number, Level level, String description) {
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
