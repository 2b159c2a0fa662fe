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

    /**
     * Something happened on a connection that this entry dialled.
     *
     * @param address address that was dialled
     * @param event what happened
     */
    record Dialled(String address, LinkEvent event) implements PeersCommand {}

    /**
     * Asks for this entry and its peers as sites of the rules.
     *
     * @param reply gets one row per entry
     */
    record ListSites(Consumer<List<SiteView>> reply) implements PeersCommand {}

    /**
     * Asks to be told which entries live, at once and after each change.
     *
     * @param receiver gets the live entries, on the actor's thread
     */
    record SubscribeLive(Consumer<LiveEntries> receiver) implements PeersCommand {}

    /**
     * Forwards a call to another region.
     *
     * @param request the call
     * @param reply gets the answer once
     */
    record Forward(CallRequest request, Consumer<CallAnswer> reply) implements PeersCommand {}

    /**
     * Reads the log through a peer.
     *
     * @param entryId the peer
     * @param read what to read
     * @param reply completed with the peer's answer; exceptionally when it is not connected
     */
    record ReadThroughPeer(String entryId, ReadLog read, CompletableFuture<ReadLogResult> reply)
            implements PeersCommand {}

    /**
     * The guards of this region changed.
     *
     * @param summary the guards in short
     */
    record GuardsSummarized(GuardSummary summary) implements PeersCommand {}

    /**
     * Newer rules are in force here.
     *
     * @param rules the rules
     */
    record RulesChanged(RulesInForce rules) implements PeersCommand {}

    /** This entry shuts down. */
    record Leave() implements PeersCommand {}

    /** Time has passed. */
    record Tick() implements PeersCommand {}
}
