package org.fulmarreach.guard;

import org.apache.pekko.actor.typed.ActorRef;
import org.fulmarreach.protocol.thrift.Body;

/** Messages of the actor that owns the tasks of the VM. */
sealed interface TaskCommand {
    /**
     * A latency window of the target closed.
     *
     * @param p99Ms 99th percentile of the target's time in milliseconds; 0 without calls
     * @param calls calls in the window
     * @param busySlots slots in use
     * @param service name of the service
     */
    record WindowClosed(int p99Ms, int calls, int busySlots, String service) implements TaskCommand {}

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
}
