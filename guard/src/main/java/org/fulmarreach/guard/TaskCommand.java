package org.fulmarreach.guard;

import java.util.List;

import org.apache.pekko.actor.typed.ActorRef;
import org.fulmarreach.core.model.Resources;
import org.fulmarreach.core.model.TaskId;
import org.fulmarreach.core.work.TaskAction;
import org.fulmarreach.platform.WorkerStart;
import org.fulmarreach.platform.WorkerTask;
import org.fulmarreach.protocol.thrift.Body;

/** Messages of the actor that owns the tasks of the VM. */
sealed interface TaskCommand {
    /**
     * A latency window of the target closed.
     *
     * @param p99Ms 99th percentile of the target's response time in milliseconds; 0 without calls
     * @param calls calls in the window
     * @param busySlots slots in use
     * @param slots slots that the target announces
     * @param service name of the service
     */
    record WindowClosed(int p99Ms, int calls, int busySlots, int slots, String service) implements TaskCommand {}

    /**
     * An entry sent a message about tasks.
     *
     * @param body StartTask, RenewTasks, StopTask, TaskReportAck or Fence
     */
    record EntryMessage(Body body) implements TaskCommand {}

    /**
     * Sets whether new tasks are refused. When leaving begins, all tasks are stopped with a checkpoint.
     *
     * @param leaving whether the VM is being drained
     */
    record SetLeaving(boolean leaving) implements TaskCommand {}

    /**
     * Requests the state of the tasks.
     *
     * @param replyTo receives the state
     */
    record ReportStatus(ActorRef<LinksCommand> replyTo) implements TaskCommand {}

    /**
     * A start was answered by the worker agent or failed.
     *
     * @param task id of the task
     * @param outcome answer of the agent; null if it is not known
     * @param failure why the outcome is not known; null otherwise
     */
    record StartAnswered(TaskId task, WorkerStart outcome, Throwable failure) implements TaskCommand {}

    /**
     * A stop was answered by the worker agent or failed.
     *
     * @param stop the requested stop
     * @param checkpoint checkpoint taken before; null for none
     * @param failure why the stop is not confirmed; null otherwise
     */
    record StopAnswered(TaskAction.Stop stop, String checkpoint, Throwable failure) implements TaskCommand {}

    /**
     * A change of a share was answered by the worker agent or failed.
     *
     * @param task id of the task
     * @param share requested share
     * @param applied whether the agent applied it
     */
    record ThrottleAnswered(TaskId task, double share, boolean applied) implements TaskCommand {}

    /**
     * The worker agent listed its tasks.
     *
     * @param tasks the tasks
     * @param askedMs time at which the list was requested
     */
    record Listed(List<WorkerTask> tasks, long askedMs) implements TaskCommand {}

    /**
     * The list of tasks at the worker agent could not be read.
     *
     * @param reason description of the failure
     */
    record ListFailed(String reason) implements TaskCommand {}

    /**
     * The request for the resources of the VM was answered by the worker agent or failed.
     *
     * @param capacity the resources; null if it failed
     */
    record CapacityAnswered(Resources capacity) implements TaskCommand {}

    /** Timers of the actor. */
    enum Timer implements TaskCommand {
        /** Checks grants and renews leases. */
        TICK,
        /** Lists the worker agent's tasks. */
        LIST
    }
}
