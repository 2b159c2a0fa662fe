package org.fulmarreach.entry.peers;

import org.fulmarreach.protocol.thrift.Body;

/** Events that the {@link PeersActor} sends to its subscribers. */
public sealed interface PeerEvent {
    /**
     * A peer has connected or reported its status.
     *
     * @param peer the peer
     */
    record Updated(PeerView peer) implements PeerEvent {}

    /**
     * The last connection to a peer has ended. The peer may still be running.
     *
     * @param peer the peer
     */
    record Disconnected(PeerView peer) implements PeerEvent {}

    /**
     * A message about shard leadership arrived ({@code ConfirmOutage}, {@code FenceLeader} and their results).
     *
     * @param entryId id of the sender
     * @param body the message
     */
    record LeadershipMessage(String entryId, Body body) implements PeerEvent {}
}
