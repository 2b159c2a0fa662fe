package org.fulmarreach.entry.peers;

import org.fulmarreach.protocol.thrift.Body;

/** What the actor of peers tells its subscribers. */
public sealed interface PeerEvent {
    /**
     * A peer connected or reported its state.
     *
     * @param peer the peer
     */
    record Seen(PeerView peer) implements PeerEvent {}

    /**
     * The connection to a peer ended; it may be alive.
     *
     * @param peer the peer
     */
    record Lost(PeerView peer) implements PeerEvent {}

    /**
     * A message about shard leadership arrived ({@code ConfirmOutage}, {@code FenceLeader} and their results).
     *
     * @param entryId sender
     * @param body message
     */
    record LeadershipMessage(String entryId, Body body) implements PeerEvent {}
}
