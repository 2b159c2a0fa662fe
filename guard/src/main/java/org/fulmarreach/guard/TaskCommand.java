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
     * @param p99Ms 99th percentile of the target's time in milliseconds; 0 without calls
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
    record Received(Body body) implements TaskCommand {}

    /**
     * Changes whether new tasks are refused. On leaving, all tasks are stopped with a checkpoint.
     *
     * @param leaving whether the VM is being emptied
     */
    record SetLeaving(boolean leaving) implements TaskCommand {}

    /**
     * Asks for the state.
     *
     * @param replyTo gets the state
     */
    record Report(ActorRef<LinksCommand> replyTo) implements TaskCommand {}

    /**
     * The worker agent answered a start, or did not.
     *
     * @param task id
     * @param outcome its answer; null when it is not known
     * @param failure why it is not known; null otherwise
     */
    record StartAnswered(TaskId task, WorkerStart outcome, Throwable failure) implements TaskCommand {}

    /**
     * The worker agent answered a stop, or did not.
     *
     * @param stop what was asked for
     * @param checkpoint checkpoint taken before; null for none
     * @param failure why the stop is not confirmed; null otherwise
     */
    record StopAnswered(TaskAction.Stop stop, String checkpoint, Throwable failure) implements TaskCommand {}

    /**
     * The worker agent answered a change of a share, or did not.
     *
     * @param task id
     * @param share share that was asked for
     * @param applied whether the agent applied it
     */
    record ThrottleAnswered(TaskId task, double share, boolean applied) implements TaskCommand {}

    /**
     * The worker agent listed its tasks.
     *
     * @param tasks the tasks
     * @param askedMs when it was asked
     */
    record Listed(List<WorkerTask> tasks, long askedMs) implements TaskCommand {}

    /**
     * The worker agent did not list its tasks.
     *
     * @param reason why
     */
    record ListFailed(String reason) implements TaskCommand {}

    /**
     * The worker agent told the resources of the VM, or did not.
     *
     * @param capacity the resources; null when not known
     */
    record CapacityAnswered(Resources capacity) implements TaskCommand {}

    /** Periodic work. */
    enum Timer implements TaskCommand {
        /** Checks grants and renews leases. */
        TICK,
        /** Lists the worker agent's tasks. */
        LIST
    }
}
