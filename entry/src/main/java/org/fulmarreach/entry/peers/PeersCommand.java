package org.fulmarreach.entry.peers;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

import org.apache.pekko.actor.typed.ActorRef;
import org.fulmarreach.core.rules.RulesInForce;
import org.fulmarreach.entry.calls.CallAnswer;
import org.fulmarreach.entry.calls.CallRequest;
import org.fulmarreach.entry.guards.GuardSummary;
import org.fulmarreach.protocol.thrift.Body;
import org.fulmarreach.protocol.thrift.ReadLog;
import org.fulmarreach.protocol.thrift.ReadLogResult;
import org.fulmarreach.runtime.net.LinkEvent;

/** Messages to the {@link PeersActor}. */
public sealed interface PeersCommand {
    /**
     * Adds a subscriber. It receives {@link PeerEvent.Updated} for each connected peer immediately, and at each status.
     *
     * @param subscriber receives the events
     */
    record Subscribe(ActorRef<PeerEvent> subscriber) implements PeersCommand {}

    /**
     * Sends a one-way message to a peer. The message is dropped if the peer is not connected.
     *
     * @param entryId id of the receiver
     * @param body the message
     */
    record SendToPeer(String entryId, Body body) implements PeersCommand {}

    /**
     * An event on an inbound connection.
     *
     * @param event the event
     */
    record LinkChanged(LinkEvent event) implements PeersCommand {}

    /**
     * An event on an outbound connection, which this entry opened.
     *
     * @param address remote address
     * @param event the event
     */
    record OutboundLinkChanged(String address, LinkEvent event) implements PeersCommand {}

    /**
     * Requests the sites in which rules are in force, as known to the peers: this entry, the other entries, and the
     * guards of each entry in another region, summarized.
     *
     * @param reply receives the sites
     */
    record ListSites(Consumer<List<SiteView>> reply) implements PeersCommand {}

    /**
     * Subscribes to the live entries. The receiver is called immediately and after each change.
     *
     * @param receiver receives the live entries, on the actor's thread
     */
    record SubscribeLive(Consumer<LiveEntries> receiver) implements PeersCommand {}

    /**
     * Forwards a call to another region.
     *
     * @param request the call
     * @param reply receives the answer, exactly once
     */
    record Forward(CallRequest request, Consumer<CallAnswer> reply) implements PeersCommand {}

    /**
     * Reads the log through a peer.
     *
     * @param entryId id of the peer
     * @param read the read request
     * @param reply completed with the peer's answer; exceptionally if the peer is not connected
     */
    record ReadThroughPeer(String entryId, ReadLog read, CompletableFuture<ReadLogResult> reply)
            implements PeersCommand {}

    /**
     * The guards of this region changed.
     *
     * @param summary summary of the guards
     */
    record GuardSummaryChanged(GuardSummary summary) implements PeersCommand {}

    /**
     * Newer rules are in force at this entry.
     *
     * @param rules the rules
     */
    record RulesChanged(RulesInForce rules) implements PeersCommand {}

    /** This entry is shutting down. */
    record Leave() implements PeersCommand {}

    /** Periodic timer tick. */
    record Tick() implements PeersCommand {}
}
