package org.fulmarreach.guard;

import java.util.List;

import org.apache.pekko.actor.typed.ActorRef;
import org.fulmarreach.core.model.Resources;
import org.fulmarreach.protocol.thrift.TaskStatus;
import org.fulmarreach.runtime.cfg.Address;
import org.fulmarreach.runtime.net.LinkEvent;

/** Messages of the actor that owns the connections to the entries. */
sealed interface LinksCommand {
    /**
     * A connection was opened, received a frame or was closed; frames for other actors are not passed here.
     *
     * @param address address that was dialled
     * @param event event of the connection
     */
    record LinkChanged(Address address, LinkEvent event) implements LinksCommand {}

    /**
     * Dials an address again.
     *
     * @param address address of an entry
     */
    record Redial(Address address) implements LinksCommand {}

    /**
     * State of the calls; sent on request, and immediately when it changes between ready and leaving.
     *
     * @param status the state
     * @param urgent whether heartbeats are sent at once
     */
    record CallsReported(CallStatus status, boolean urgent) implements LinksCommand {}

    /**
     * State of the tasks.
     *
     * @param tasks running tasks and final states that are not acknowledged
     * @param capacity resources of the VM; none until they are known
     * @param free resources for further tasks
     * @param workerFailing whether the last starts all failed or the worker agent does not answer
     * @param listed whether the worker agent has listed the running tasks of an earlier incarnation
     */
    record TasksReported(
            List<TaskStatus> tasks, Resources capacity, Resources free, boolean workerFailing, boolean listed)
            implements LinksCommand {}

    /** The actor that owns the tasks has stopped; no task is renewed or started any more. */
    record TasksLost() implements LinksCommand {}

    /**
     * Asks whether the entries know that the guard is leaving and have received its answers; see
     * {@link StopConfirmation}.
     *
     * @param replyTo receives {@link GuardCommand.Step#ENTRIES_CONFIRMED} or
     *     {@link GuardCommand.Step#ENTRIES_SILENT}
     */
    record ConfirmStop(ActorRef<GuardCommand> replyTo) implements LinksCommand {}

    /** Timers of the actor. */
    enum Timer implements LinksCommand {
        /** Sends heartbeats. */
        HEARTBEAT,
        /** The time for the confirmation of a planned stop has passed. */
        CONFIRMATION_OVERDUE
    }
}
