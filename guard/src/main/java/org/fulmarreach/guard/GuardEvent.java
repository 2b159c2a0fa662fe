package org.fulmarreach.guard;

import java.util.logging.Level;

import org.fulmarreach.runtime.log.Event;

/** Events of the guard: tasks 2200 to 2299, calls 3100 to 3199. */
public enum GuardEvent implements Event {
    /** Task runs. */
    TASK_STARTED(2201, Level.INFO, "The worker agent started a task."),
    /** Task ended. */
    TASK_ENDED(2202, Level.INFO, "A task stopped, succeeded or failed; the heartbeat reports it until acknowledged."),
    /** Task refused. */
    TASK_REFUSED(2203, Level.INFO, "A task was not started; the reason names what it did not fit or who outran it."),
    /** Grant lapsed. */
    GRANT_LAPSED(2204, Level.WARNING, "The grant of a task ended and it is stopped; check the shard's leader."),
    /** Task throttled. */
    TASK_THROTTLED(2205, Level.INFO, "The share of processors of a task changed."),
    /** Adopted. */
    TASK_ADOPTED(2206, Level.INFO, "A task of an earlier incarnation runs; it is renewed only if its leader says so."),
    /** Eviction. */
    EVICTION_NEEDED(2207, Level.WARNING, "A task at the lowest share still harms the target; the leader may evict it."),
    /** Worker fails. */
    WORKER_FAILING(2208, Level.WARNING, "The last starts on this VM all failed; check its worker agent."),
    /** Worker silent. */
    WORKER_UNREACHABLE(2209, Level.WARNING, "The worker agent does not answer; check that it runs."),
    /** Message of an old leader. */
    TERM_REFUSED(2210, Level.INFO, "A message of a former leader of a shard was ignored."),
    /** Target found. */
    TARGET_READY(3101, Level.INFO, "The target announced itself and gets calls."),
    /** Target lost. */
    TARGET_UNREADY(3102, Level.WARNING, "The target failed three polls and gets no calls; check that it runs."),
    /** Leaving. */
    LEAVING(3103, Level.INFO, "The guard refuses new calls and tasks; the cause is in the event."),
    /** Back. */
    RETURNED(3104, Level.INFO, "The target no longer leaves, and the guard takes calls and tasks again."),
    /** Outcome unknown. */
    CALL_UNKNOWN(3105, Level.WARNING, "The target's connection ended within a call, which may have run."),
    /** Drained. */
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
