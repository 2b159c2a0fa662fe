package org.fulmarreach.core.work;

import org.fulmarreach.core.model.Resources;
import org.fulmarreach.core.model.TaskId;

/** What the guard must do at the worker agent. Immutable. */
public sealed interface TaskAction {
    /**
     * Start a task.
     *
     * @param task id
     * @param leaseMs lease at the agent in milliseconds; never beyond the grant
     * @param size declared size
     * @param command what to run
     * @param checkpoint progress to go on from; null for none
     */
    record Start(TaskId task, int leaseMs, Resources size, String command, String checkpoint) implements TaskAction {}

    /**
     * Extend a lease.
     *
     * @param task id
     * @param leaseMs lease at the agent in milliseconds; never beyond the grant
     */
    record Renew(TaskId task, int leaseMs) implements TaskAction {}

    /**
     * Stop a task.
     *
     * @param task id
     * @param checkpoint whether to take a checkpoint first
     * @param proves whether the agent's answer proves the end; not so while a start is under way, which may overtake it
     */
    record Stop(TaskId task, boolean checkpoint, boolean proves) implements TaskAction {}
}
