package org.fulmarreach.core.work;

import java.util.List;

import org.fulmarreach.core.model.Resources;
import org.fulmarreach.core.model.TaskId;

/** What a shard leader tells a guard. Immutable. */
public sealed interface GuardMessage {
    /** Returns the term of the leader. */
    long term();

    /**
     * Starts a task.
     *
     * @param term term of the leader
     * @param task task
     * @param command what the worker runs
     * @param size expected size
     * @param checkpoint progress to go on from; null to begin
     * @param tickEchoMs tick of the guard's last heartbeat
     * @param leaseMs life of the grant, from that tick
     * @param member member that the work is for
     * @param guardIncarnation incarnation that may start it
     * @param standing whether it is standing work
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
     * @param leaseMs life of the grants, from that tick
     * @param tasks tasks
     */
    record Renew(long term, long tickEchoMs, long leaseMs, List<TaskId> tasks) implements GuardMessage {
        /** Constructs a message with its own copy of the list. */
        public Renew {
            tasks = List.copyOf(tasks);
        }
    }

    /**
     * Stops a task, or refuses its start for ever when the guard has not seen it.
     *
     * @param term term of the leader
     * @param task task
     * @param withCheckpoint whether to take a checkpoint first
     */
    record Stop(long term, TaskId task, boolean withCheckpoint) implements GuardMessage {}

    /**
     * The log has the final status of tasks.
     *
     * @param term term of the leader
     * @param tasks tasks
     */
    record Acknowledge(long term, List<TaskId> tasks) implements GuardMessage {
        /** Constructs a message with its own copy of the list. */
        public Acknowledge {
            tasks = List.copyOf(tasks);
        }
    }

    /**
     * Makes the guard refuse lower terms.
     *
     * @param term term of the leader
     */
    record Fence(long term) implements GuardMessage {}
}
