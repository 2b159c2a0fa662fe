package org.fulmarreach.entry.guards;

import org.apache.pekko.actor.typed.ActorRef;
import org.fulmarreach.protocol.thrift.Body;
import org.fulmarreach.runtime.net.LinkEvent;

/** Messages of the actor that owns the directory of guards. */
public sealed interface DirectoryCommand {
    /**
     * Adds a subscriber; it gets {@link GuardEvent.Seen} for each connected guard with its next heartbeat.
     *
     * @param subscriber receives the events
     */
    record Subscribe(ActorRef<GuardEvent> subscriber) implements DirectoryCommand {}

    /**
     * Sends a one-way message to a guard. It is dropped when the guard is not connected.
     *
     * @param vmId VM of the guard
     * @param body message
     */
    record SendToGuard(String vmId, Body body) implements DirectoryCommand {}

    /**
     * Something happened on a connection.
     *
     * @param event what happened
     */
    record LinkChanged(LinkEvent event) implements DirectoryCommand {}
}
