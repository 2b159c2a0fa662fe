package org.fulmarreach.entry.peers;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.fulmarreach.core.exc.StoreException;
import org.fulmarreach.core.rules.RulesInForce;
import org.fulmarreach.entry.EntryEvent;
import org.fulmarreach.entry.FrameDispatch;
import org.fulmarreach.entry.guards.GuardSummary;
import org.fulmarreach.entry.rules.RulesCommand;
import org.fulmarreach.protocol.thrift.Body;
import org.fulmarreach.protocol.thrift.PeerHello;
import org.fulmarreach.protocol.thrift.PeerState;
import org.fulmarreach.protocol.thrift.PeerStateRequest;
import org.fulmarreach.protocol.thrift.PeerStatus;
import org.fulmarreach.protocol.thrift.ReadLogResult;
import org.fulmarreach.protocol.thrift.Welcome;
import org.fulmarreach.runtime.cfg.Address;
import org.fulmarreach.runtime.log.EventLog;
import org.fulmarreach.runtime.net.FrameLink;
import org.fulmarreach.runtime.net.FrameTransport;
import org.fulmarreach.runtime.net.LinkEvent;
import org.fulmarreach.runtime.util.MonotonicClock;

/**
 * Actor that owns the connections to the other entries: connects to the known addresses, discovers further ones,
 * exchanges status, and transports forwarded calls, reads of the log and the messages of shard leaders.
 */
public final class PeersActor {
    private static final Duration TICK_INTERVAL = Duration.ofMillis(50);
    private static final long RECONNECT_DELAY_MS = 1_000;
    private static final long RULES_REQUEST_INTERVAL_MS = 2_000;
    private static final int MAX_ADDRESSES = 512;

    private final PeersSettings settings;
    private final PeerDependencies dependencies;
    private final FrameTransport transport;
    private final ActorRef<PeersCommand> self;
    private final MonotonicClock clock;
    private final EventLog log;
    private final PeerTable peers = new PeerTable();
    private final PeerForwards forwards;
    private final PeerRequests requests;
    private final List<ActorRef<PeerEvent>> subscribers = new ArrayList<>();
    private final List<Consumer<LiveEntries>> liveReceivers = new ArrayList<>();
    private final Set<String> addresses = new LinkedHashSet<>();
    private final Map<String, Long> nextConnectMs = new HashMap<>();
    private final Map<String, FrameLink> outboundLinks = new HashMap<>();
    private final Map<Long, CompletableFuture<ReadLogResult>> reads = new ConcurrentHashMap<>();
    private LiveEntries live;
    private GuardSummary guards = GuardSummary.NONE;
    private RulesInForce rules;
    private boolean leaving;
    private long lastReadId;
    private long nextStatusMs;
    private long nextRulesRequestMs;

    private PeersActor(
            PeersSettings settings,
            PeerDependencies dependencies,
            FrameTransport transport,
            ActorRef<PeersCommand> self,
            MonotonicClock clock,
            EventLog log) {
        this.settings = settings;
        this.dependencies = dependencies;
        this.transport = transport;
        this.self = self;
        this.clock = clock;
        this.log = log;
        this.forwards = new PeerForwards(peers, settings.region(), clock);
        this.requests = new PeerRequests(dependencies, clock);
        this.live = peers.findLive(settings, false);
        this.nextRulesRequestMs = clock.nowMs() + RULES_REQUEST_INTERVAL_MS;
        settings.peers().forEach(this::addAddress);
    }

    /**
     * Constructs the behavior of the actor.
     *
     * @param settings identity, addresses and intervals
     * @param dependencies components that handle the messages of peers
     * @param transport transport that opens connections
     * @param clock monotonic clock
     * @param log event log
     */
    public static Behavior<PeersCommand> construct(
            PeersSettings settings,
            PeerDependencies dependencies,
            FrameTransport transport,
            MonotonicClock clock,
            EventLog log) {
        return Behaviors.setup(context -> Behaviors.withTimers(timers -> {
            timers.startTimerWithFixedDelay(new PeersCommand.Tick(), TICK_INTERVAL);
            PeersActor actor = new PeersActor(settings, dependencies, transport, context.getSelf(), clock, log);
            return Behaviors.receiveMessage(command -> {
                actor.receive(command);
                return Behaviors.same();
            });
        }));
    }

    private void receive(PeersCommand command) {
        switch (command) {
            case PeersCommand.LinkChanged changed -> receiveLink(changed.event());
            case PeersCommand.OutboundLinkChanged changed -> receiveOutbound(changed.address(), changed.event());
            case PeersCommand.Tick tick -> onTick();
            case PeersCommand.Forward forward -> forwards.forward(forward.request(), forward.reply());
            case PeersCommand.ReadThroughPeer read -> read(read);
            case PeersCommand.SendToPeer send ->
                peers.find(send.entryId()).ifPresent(peer -> send(peer, 0, send.body()));
            case PeersCommand.Subscribe subscribe -> {
                subscribers.add(subscribe.subscriber());
                peers.all().stream()
                        .filter(Peer::isConnected)
                        .forEach(peer -> subscribe.subscriber().tell(new PeerEvent.Updated(peer.toView())));
            }
            case PeersCommand.SubscribeLive subscribe -> {
                liveReceivers.add(subscribe.receiver());
                subscribe.receiver().accept(live);
            }
            case PeersCommand.ListSites list -> list.reply().accept(listSites());
            case PeersCommand.GuardSummaryChanged changed -> guards = changed.summary();
            case PeersCommand.RulesChanged changed -> rules = changed.rules();
            case PeersCommand.Leave leave -> {
                leaving = true;
                sendStatus();
                updateLive();
            }
        }
    }

    /*
     * Helpers: connections
     */

    private void receiveOutbound(String address, LinkEvent event) {
        switch (event) {
            case LinkEvent.Opened opened -> {
                outboundLinks.put(address, opened.link());
                opened.link().send(Body.peerHello(toHello()));
            }
            case LinkEvent.Closed closed -> {
                outboundLinks.remove(address);
                nextConnectMs.put(address, clock.nowMs() + RECONNECT_DELAY_MS);
                receiveLink(event);
            }
            case LinkEvent.Received received -> receiveLink(event);
        }
    }

    private void receiveLink(LinkEvent event) {
        switch (event) {
            case LinkEvent.Opened opened -> {
                // The side that opened the connection sends the first message.
            }
            case LinkEvent.Received received -> FrameDispatch.dispatch(received, this::receiveFrame, log);
            case LinkEvent.Closed closed -> disconnect(closed.link(), closed.reason());
        }
    }

    private void disconnect(FrameLink link, String reason) {
        if (link == null) {
            return;
        }
        forwards.disconnect(link);
        Peer peer = peers.disconnect(link).orElse(null);
        if (peer != null && !peer.isConnected()) {
            log.emit(EntryEvent.PEER_LOST, "peer", peer.id(), "reason", reason);
            notifySubscribers(new PeerEvent.Disconnected(peer.toView()));
            updateLive();
        }
    }

    private void receiveFrame(FrameLink link, long correlationId, Body body) {
        if (body.isSetPeerHello()) {
            register(link, body.getPeerHello());
            return;
        }
        Peer peer = peers.findByLink(link).orElse(null);
        if (peer == null) {
            return;
        }
        switch (body.getSetField()) {
            case PEER_STATUS -> {
                peer.setStatus(body.getPeerStatus());
                notifySubscribers(new PeerEvent.Updated(peer.toView()));
                updateLive();
            }
            case WELCOME -> body.getWelcome().getEntries().forEach(this::addAddress);
            case CALL_RESULT -> forwards.receiveResult(link, correlationId, body.getCallResult());
            case FAILURE -> forwards.receiveFailure(link, correlationId);
            case READ_LOG_RESULT -> {
                CompletableFuture<ReadLogResult> reply = reads.remove(correlationId);
                if (reply != null) {
                    reply.complete(body.getReadLogResult());
                }
            }
            case PEER_STATE -> {
                PeerState state = body.getPeerState();
                dependencies.rules().tell(new RulesCommand.AdoptFromPeer(state.getRevision(), state.getLines()));
            }
            case PEER_STATE_REQUEST -> sendNewerRules(link, body.getPeerStateRequest());
            case FORWARD_CALL, RESOLVE, READ_LOG -> requests.receive(link, correlationId, body);
            case CONFIRM_OUTAGE, CONFIRM_OUTAGE_RESULT, FENCE_LEADER, FENCE_LEADER_RESULT ->
                notifySubscribers(new PeerEvent.LeadershipMessage(peer.id(), body));
            default -> {
                log.emit(EntryEvent.UNEXPECTED_FRAME, "remote", link.remoteAddress(), "frame", body.getSetField());
                link.close();
            }
        }
    }

    private void register(FrameLink link, PeerHello hello) {
        boolean isValid = hello.getEntryId() != null && hello.getRegion() != null && hello.getAddress() != null;
        boolean isSelf = settings.entryId().equals(hello.getEntryId());
        boolean isKnown = peers.findByLink(link).isPresent();
        Peer peer = isValid && !isSelf ? peers.register(link, hello).orElse(null) : null;
        if (peer == null) {
            link.close();
            return;
        }
        addAddress(hello.getAddress());
        if (!isKnown) {
            log.emit(EntryEvent.PEER_CONNECTED, "peer", peer.id(), "remote", link.remoteAddress());
            if (!outboundLinks.containsValue(link)) {
                link.send(Body.peerHello(toHello()));
            }
            link.send(Body.welcome(
                    new Welcome(settings.entryId(), List.copyOf(addresses), rules == null ? 0 : rules.revision())));
            link.send(Body.peerStatus(toStatus()));
            notifySubscribers(new PeerEvent.Updated(peer.toView()));
            updateLive();
        }
    }

    private void addAddress(String address) {
        boolean isOtherEntry = !address.isEmpty() && !address.equals(settings.address());
        if (isOtherEntry && addresses.size() < MAX_ADDRESSES && isAddress(address)) {
            addresses.add(address);
        }
    }

    private static boolean isAddress(String text) {
        try {
            return Address.parse(text).port() > 0;
        } catch (IllegalArgumentException e) {
            return false;
        }
    }

    private void connectMissing(long nowMs) {
        for (String address : addresses) {
            boolean isDue = nowMs >= nextConnectMs.getOrDefault(address, Long.MIN_VALUE);
            if (isDue && !outboundLinks.containsKey(address) && !peers.isConnectedTo(address)) {
                // The next attempt is not before the connect timeout; if this one is closed earlier, that sets the time
                // again.
                nextConnectMs.put(address, nowMs + 2 * RECONNECT_DELAY_MS);
                Address target = Address.parse(address);
                transport.connect(
                        target.host(),
                        target.port(),
                        event -> self.tell(new PeersCommand.OutboundLinkChanged(address, event)));
            }
        }
    }

    /*
     * Helpers: status
     */

    private void onTick() {
        long nowMs = clock.nowMs();
        if (!leaving) {
            connectMissing(nowMs);
        }
        forwards.expire(nowMs);
        if (nowMs >= nextStatusMs) {
            nextStatusMs = nowMs + settings.statusMs();
            sendStatus();
        }
        if (nowMs >= nextRulesRequestMs) {
            nextRulesRequestMs = nowMs + RULES_REQUEST_INTERVAL_MS;
            requestNewerRules();
        }
    }

    private void sendStatus() {
        Body status = Body.peerStatus(toStatus());
        peers.links().forEach(link -> link.send(status));
    }

    private void requestNewerRules() {
        long known = rules == null ? -1 : rules.revision();
        peers.all().stream()
                .filter(peer -> peer.isConnected() && peer.status().getRulesRevision() > Math.max(known, 0))
                .findFirst()
                .ifPresent(peer -> send(peer, 0, Body.peerStateRequest(new PeerStateRequest(known))));
    }

    private void sendNewerRules(FrameLink link, PeerStateRequest request) {
        if (rules != null && rules.revision() > request.getKnownRevision()) {
            link.send(
                    Body.peerState(new PeerState(rules.revision(), rules.rules().lines())));
        }
    }

    private void updateLive() {
        LiveEntries current = peers.findLive(settings, leaving);
        if (!current.equals(live)) {
            live = current;
            liveReceivers.forEach(receiver -> receiver.accept(current));
        }
        Set<String> services = new HashSet<>();
        for (Peer peer : peers.all()) {
            if (peer.isLive()
                    && !peer.hello().getRegion().equals(settings.region())
                    && peer.status().getServices() != null) {
                peer.status().getServices().stream()
                        .filter(summary -> summary.getSlots() > summary.getSlotsInUse())
                        .forEach(summary -> services.add(summary.getServiceName()));
            }
        }
        dependencies.servicesInOtherRegions().set(Set.copyOf(services));
    }

    private PeerHello toHello() {
        return new PeerHello(
                settings.entryId(), settings.zone(), settings.region(), settings.address(), settings.incarnation());
    }

    private PeerStatus toStatus() {
        return new PeerStatus(
                settings.entryId(),
                rules == null ? 0 : rules.revision(),
                guards.services(),
                guards.guards(),
                guards.lowestRevision(),
                dependencies.storeReachable().getAsBoolean(),
                leaving,
                settings.zone(),
                settings.region());
    }

    private List<SiteView> listSites() {
        List<SiteView> sites = new ArrayList<>();
        long revision = rules == null ? 0 : rules.revision();
        sites.add(new SiteView(settings.entryId(), "entry", settings.zone(), settings.region(), revision, true));
        for (Peer peer : peers.all()) {
            PeerStatus status = peer.status();
            PeerHello hello = peer.hello();
            sites.add(new SiteView(
                    peer.id(),
                    "entry",
                    hello.getZone(),
                    hello.getRegion(),
                    status.getRulesRevision(),
                    peer.isConnected()));
            if (status.getGuards() > 0 && !hello.getRegion().equals(settings.region())) {
                sites.add(new SiteView(
                        "guards of " + peer.id(),
                        "guard",
                        hello.getZone(),
                        hello.getRegion(),
                        status.getLowestGuardRevision(),
                        peer.isConnected()));
            }
        }
        return sites;
    }

    /*
     * Helpers: messages
     */

    private void read(PeersCommand.ReadThroughPeer read) {
        Peer peer = peers.find(read.entryId()).filter(Peer::isConnected).orElse(null);
        if (peer == null) {
            read.reply().completeExceptionally(new StoreException("entry " + read.entryId() + " is not connected"));
            return;
        }
        long correlationId = ++lastReadId;
        reads.put(correlationId, read.reply());
        read.reply().whenComplete((result, failure) -> {
            if (failure != null) {
                reads.remove(correlationId);
            }
        });
        send(peer, correlationId, Body.readLog(read.read()));
    }

    private static void send(Peer peer, long correlationId, Body body) {
        if (peer.isConnected()) {
            peer.links().get(peer.links().size() - 1).send(correlationId, body);
        }
    }

    private void notifySubscribers(PeerEvent event) {
        subscribers.forEach(subscriber -> subscriber.tell(event));
    }
}
