package org.fulmarreach.core.work;

import java.util.List;

import org.fulmarreach.core.model.Resources;
import org.fulmarreach.core.model.TaskId;

/** A message from a shard leader to a guard. Immutable. */
public sealed interface GuardMessage {
    /** Returns the term of the leader. */
    long term();

    /**
     * Starts a task.
     *
     * @param term term of the leader
     * @param task id of the task
     * @param command command that the worker runs
     * @param size expected resource usage
     * @param checkpoint checkpoint to resume from; null to start from the beginning
     * @param tickEchoMs tick of the guard's last heartbeat
     * @param leaseMs duration of the grant in milliseconds, counted from that tick
     * @param member member that owns the work
     * @param guardIncarnation guard incarnation that may start the task
     * @param standing whether the task is standing work
     */
    record Start(
            long term,
            TaskId task,
            String command,
            Resources size,
            String checkpoint,
            long tickEchoMs,
            long leaseMs,
            String member,
            long guardIncarnation,
            boolean standing)
            implements GuardMessage {}

    /**
     * Extends the grants of running tasks.
     *
     * @param term term of the leader
     * @param tickEchoMs tick of the guard's last heartbeat
     * @param leaseMs duration of the grants in milliseconds, counted from that tick
     * @param tasks ids of the tasks
     */
    record Renew(long term, long tickEchoMs, long leaseMs, List<TaskId> tasks) implements GuardMessage {
        /** Constructs a message with its own copy of the list. */
        public Renew {
            tasks = List.copyOf(tasks);
        }
    }

    /**
     * Stops a task. A guard that has not seen the task permanently refuses to start it.
     *
     * @param term term of the leader
     * @param task id of the task
     * @param withCheckpoint whether to take a checkpoint first
     */
    record Stop(long term, TaskId task, boolean withCheckpoint) implements GuardMessage {}

    /**
     * Confirms that the final states of tasks are recorded in the log, so that the guard need not report them again.
     *
     * @param term term of the leader
     * @param tasks ids of the tasks
     */
    record Acknowledge(long term, List<TaskId> tasks) implements GuardMessage {
        /** Constructs a message with its own copy of the list. */
        public Acknowledge {
            tasks = List.copyOf(tasks);
        }
    }

    /**
     * Makes the guard reject messages with lower terms.
     *
     * @param term term of the leader
     */
    record Fence(long term) implements GuardMessage {}
}
