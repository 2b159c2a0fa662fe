package org.fulmarreach.entry.peers;

import org.apache.pekko.actor.typed.ActorRef;
import org.fulmarreach.protocol.thrift.Body;
import org.fulmarreach.runtime.net.LinkEvent;

/** Messages of the actor that owns the connections to other entries. */
public sealed interface PeersCommand {
    /**
     * Adds a subscriber; it gets {@link PeerEvent.Seen} for each connected peer at once and at each status.
     *
     * @param subscriber receives the events
     */
    record Subscribe(ActorRef<PeerEvent> subscriber) implements PeersCommand {}

    /**
     * Sends a one-way message to a peer. It is dropped when the peer is not connected.
     *
     * @param entryId receiver
     * @param body message
     */
    record SendToPeer(String entryId, Body body) implements PeersCommand {}

    /**
     * Something happened on a connection.
     *
     * @param event what happened
     */
    record LinkChanged(LinkEvent event) implements PeersCommand {}
}
