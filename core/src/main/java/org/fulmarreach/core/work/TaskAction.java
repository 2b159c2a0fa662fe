package org.fulmarreach.core.work;

import org.fulmarreach.core.model.Resources;
import org.fulmarreach.core.model.TaskId;

/** An action that the guard must perform at the worker agent. Immutable. */
public sealed interface TaskAction {
    /**
     * Start a task.
     *
     * @param task id of the task
     * @param leaseMs lease at the agent in milliseconds; never longer than the rest of the grant
     * @param size declared resource usage
     * @param command command to run
     * @param checkpoint checkpoint to resume from; null to start from the beginning
     */
    record Start(TaskId task, int leaseMs, Resources size, String command, String checkpoint) implements TaskAction {}

    /**
     * Extend a lease.
     *
     * @param task id of the task
     * @param leaseMs lease at the agent in milliseconds; never longer than the rest of the grant
     */
    record Renew(TaskId task, int leaseMs) implements TaskAction {}

    /**
     * Stop a task.
     *
     * @param task id of the task
     * @param checkpoint whether to take a checkpoint first
     * @param conclusive whether the agent's answer proves that the task has ended; false while a start is pending,
     *     because the agent may handle the start after the stop
     */
    record Stop(TaskId task, boolean checkpoint, boolean conclusive) implements TaskAction {}
}
