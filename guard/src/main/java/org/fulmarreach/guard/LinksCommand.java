package org.fulmarreach.guard;

import java.util.List;

import org.fulmarreach.core.model.Resources;
import org.fulmarreach.protocol.thrift.TaskStatus;
import org.fulmarreach.runtime.cfg.Address;
import org.fulmarreach.runtime.net.LinkEvent;

/** Messages of the actor that owns the connections to the entries. */
sealed interface LinksCommand {
    /**
     * Something happened on a connection; frames for other actors do not come here.
     *
     * @param address address that was dialled
     * @param event what happened
     */
    record LinkChanged(Address address, LinkEvent event) implements LinksCommand {}

    /**
     * Dials an address again.
     *
     * @param address address of an entry
     */
    record Redial(Address address) implements LinksCommand {}

    /**
     * State of the calls, on request or at once when it changes between ready and leaving.
     *
     * @param status the state
     * @param urgent whether heartbeats are sent at once
     */
    record CallsReported(CallStatus status, boolean urgent) implements LinksCommand {}

    /**
     * State of the tasks.
     *
     * @param tasks running tasks and final states that are not acknowledged
     * @param capacity resources of the VM; none while not known
     * @param free resources for further tasks
     * @param workerFailing whether the last starts all failed
     * @param listed whether the worker agent has told which tasks of an earlier incarnation run
     */
    record TasksReported(
            List<TaskStatus> tasks, Resources capacity, Resources free, boolean workerFailing, boolean listed)
            implements LinksCommand {}

    /** The owner of the tasks has stopped; no task is renewed any more and none can be started. */
    record TasksLost() implements LinksCommand {}

    /** Periodic work. */
    enum Timer implements LinksCommand {
        /** Sends heartbeats. */
        HEARTBEAT
    }
}
