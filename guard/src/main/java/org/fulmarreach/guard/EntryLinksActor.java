package org.fulmarreach.guard;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.javadsl.AbstractBehavior;
import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.actor.typed.javadsl.Receive;
import org.apache.pekko.actor.typed.javadsl.TimerScheduler;
import org.fulmarreach.core.model.Resources;
import org.fulmarreach.protocol.io.TaskChangesWriter;
import org.fulmarreach.protocol.thrift.Body;
import org.fulmarreach.protocol.thrift.GuardState;
import org.fulmarreach.protocol.thrift.Heartbeat;
import org.fulmarreach.protocol.thrift.HeartbeatAck;
import org.fulmarreach.protocol.thrift.Hello;
import org.fulmarreach.protocol.thrift.Welcome;
import org.fulmarreach.runtime.cfg.Address;
import org.fulmarreach.runtime.net.FrameLink;
import org.fulmarreach.runtime.net.LinkEvent;
import org.fulmarreach.runtime.util.MonotonicClock;

/**
 * Owns the connections to the entries: connects to every address that the settings or an entry names, sends the Hello
 * and the heartbeats. Frames for calls and tasks go directly to the actors that own them.
 */
final class EntryLinksActor extends AbstractBehavior<LinksCommand> {
    private static final long MIN_BACKOFF_MS = 50;
    private static final long MAX_BACKOFF_MS = 1_000;
    /** The second address of a connected entry is dialled at this interval, in case the first stops working. */
    private static final long DUPLICATE_REDIAL_MS = 5_000;

    /** Entries that hang delay a planned stop by this; others answer a heartbeat within milliseconds. */
    private static final Duration CONFIRMATION_TIMEOUT = Duration.ofSeconds(2);

    private static final long ADDRESS_EXPIRY_MS = 60_000;
    /** Longest delay of the first dial for the answers of the target and the worker agent, which the Hello contains. */
    private static final long FIRST_DIAL_WAIT_MS = 3_000;
    /**
     * A leader treats a task that a restarted guard does not report as ended. Without a list from the agent, the guard
     * therefore waits until tasks of the earlier incarnation have expired: the worker lease, plus 2 s for a start in
     * flight and 1 s of margin.
     */
    private static final long UNLISTED_TASKS_MARGIN_MS = 3_000;

    private final Dependencies dependencies;
    private final TimerScheduler<LinksCommand> timers;
    private final Map<Address, Peer> peers = new LinkedHashMap<>();
    private final long startedMs;
    private final StopConfirmation confirmation = new StopConfirmation();
    private ActorRef<GuardCommand> confirmationReplyTo;
    private CallStatus calls = CallStatus.NONE;
    private LinksCommand.TasksReported tasks =
            new LinksCommand.TasksReported(List.of(), Resources.NONE, Resources.NONE, false, false);
    private Resources announcedCapacity = Resources.NONE;
    private boolean dialling;
    private long rulesRevision;

    /**
     * Settings and collaborators of the actor.
     *
     * @param identity identity of this guard in the Hello
     * @param entries addresses from the settings
     * @param heartbeatMs interval of heartbeats
     * @param hasWorker whether the VM has a worker agent
     * @param workerLeaseMs lease of tasks at the agent, in milliseconds
     * @param dialler opens connections
     * @param router passes frames to other actors
     * @param clock clock of this guard
     * @param random source of jitter
     */
    record Dependencies(
            Identity identity,
            List<Address> entries,
            long heartbeatMs,
            boolean hasWorker,
            long workerLeaseMs,
            Dialler dialler,
            Router router,
            MonotonicClock clock,
            RandomGenerator random) {}

    /**
     * Identity of this guard.
     *
     * @param guardId id of the guard
     * @param vm name of the VM
     * @param incarnation incarnation of this guard
     * @param zone availability zone
     * @param region region
     * @param rack rack
     */
    record Identity(String guardId, String vm, long incarnation, String zone, String region, String rack) {}

    /** Opens connections; see {@link org.fulmarreach.runtime.net.FrameTransport#connect}. */
    interface Dialler {
        void connect(String host, int port, Consumer<LinkEvent> listener);
    }

    /** Passes frames and closed connections to the actors for calls and tasks; called on stream threads. */
    interface Router {
        /** Passes the event on; returns true if it is for another actor only. */
        boolean route(LinkEvent event);

        /** Requests the states of the other actors. */
        void requestReports(ActorRef<LinksCommand> replyTo);
    }

    private static final class Peer {
        private final boolean fromSettings;
        private FrameLink link;
        private TaskChangesWriter taskChanges;
        private String entryId;
        private boolean duplicate;
        private long backoffMs;
        private long lastSeenMs;

        Peer(boolean fromSettings, long nowMs) {
            this.fromSettings = fromSettings;
            this.lastSeenMs = nowMs;
        }
    }

    private EntryLinksActor(
            ActorContext<LinksCommand> context, TimerScheduler<LinksCommand> timers, Dependencies dependencies) {
        super(context);
        this.dependencies = dependencies;
        this.timers = timers;
        this.startedMs = dependencies.clock.nowMs();
        for (Address address : dependencies.entries) {
            peers.put(address, new Peer(true, startedMs));
        }
    }

    static Behavior<LinksCommand> create(Dependencies dependencies) {
        return Behaviors.setup(context -> Behaviors.withTimers(timers -> {
            timers.startTimerAtFixedRate(LinksCommand.Timer.HEARTBEAT, Duration.ofMillis(dependencies.heartbeatMs));
            EntryLinksActor actor = new EntryLinksActor(context, timers, dependencies);
            actor.requestReports();
            return actor;
        }));
    }

    @Override
    public Receive<LinksCommand> createReceive() {
        return newReceiveBuilder().onAnyMessage(this::apply).build();
    }

    private Behavior<LinksCommand> apply(LinksCommand command) {
        switch (command) {
            case LinksCommand.LinkChanged changed -> applyLinkEvent(changed.address(), changed.event());
            case LinksCommand.Redial redial -> dial(redial.address());
            case LinksCommand.CallsReported reported -> {
                calls = reported.status();
                if (reported.urgent()) {
                    sendHeartbeats();
                } else {
                    confirmation.recordReport();
                    advanceConfirmation();
                }
            }
            case LinksCommand.TasksReported reported -> {
                tasks = reported;
                reconnectOnNewCapacity();
            }
            case LinksCommand.TasksLost lost ->
                tasks = new LinksCommand.TasksReported(List.of(), tasks.capacity(), Resources.NONE, true, true);
            case LinksCommand.ConfirmStop confirm -> confirmStop(confirm.replyTo());
            case LinksCommand.Timer timer -> {
                if (timer == LinksCommand.Timer.HEARTBEAT) {
                    onHeartbeatTimer();
                } else {
                    endConfirmation(GuardCommand.Step.ENTRIES_SILENT);
                }
            }
        }
        return this;
    }

    /*
     * Heartbeats
     */

    private void onHeartbeatTimer() {
        startDialling();
        sendHeartbeats();
        requestReports();
    }

    private void requestReports() {
        confirmation.recordReportRequest();
        dependencies.router.requestReports(getContext().getSelf());
    }

    private void startDialling() {
        long waitedMs = dependencies.clock.nowMs() - startedMs;
        boolean hasCapacity = !dependencies.hasWorker || !tasks.capacity().equals(Resources.NONE);
        boolean statesKnown = calls.target() != null && hasCapacity;
        boolean tasksListedOrExpired = !dependencies.hasWorker
                || tasks.listed()
                || waitedMs >= dependencies.workerLeaseMs + UNLISTED_TASKS_MARGIN_MS;
        if (!dialling && tasksListedOrExpired && (statesKnown || waitedMs >= FIRST_DIAL_WAIT_MS)) {
            dialling = true;
            announcedCapacity = tasks.capacity();
            List.copyOf(peers.keySet()).forEach(this::dial);
        }
    }

    /** Reconnects to all entries when the capacity has changed, because only the Hello contains it. */
    private void reconnectOnNewCapacity() {
        if (dialling && !tasks.capacity().equals(announcedCapacity)) {
            announcedCapacity = tasks.capacity();
            for (Peer peer : peers.values()) {
                if (peer.link != null) {
                    peer.link.close();
                }
            }
        }
    }

    private void sendHeartbeats() {
        if (!dialling) {
            return;
        }
        Heartbeat heartbeat = buildHeartbeat();
        for (Peer peer : peers.values()) {
            if (peer.link != null) {
                sendHeartbeat(peer, heartbeat);
            }
        }
    }

    private void sendHeartbeat(Peer peer, Heartbeat heartbeat) {
        confirmation.recordHeartbeat(peer.link);
        peer.link.send(Body.heartbeat(peer.taskChanges.write(heartbeat, dependencies.clock.nowMs())));
    }

    /*
     * Planned stop
     */

    private void confirmStop(ActorRef<GuardCommand> replyTo) {
        confirmationReplyTo = replyTo;
        timers.startSingleTimer(LinksCommand.Timer.CONFIRMATION_OVERDUE, CONFIRMATION_TIMEOUT);
        confirmation.start();
        requestReports();
    }

    private void advanceConfirmation() {
        switch (confirmation.advance()) {
            case SEND_HEARTBEATS -> {
                sendHeartbeats();
                confirmation.awaitAcknowledgements();
                advanceConfirmation();
            }
            case REQUEST_REPORT -> requestReports();
            case FINISH -> endConfirmation(GuardCommand.Step.ENTRIES_CONFIRMED);
            default -> {
                // The next report, acknowledgement or end of a connection advances the confirmation.
            }
        }
    }

    private void endConfirmation(GuardCommand.Step outcome) {
        confirmation.stop();
        timers.cancel(LinksCommand.Timer.CONFIRMATION_OVERDUE);
        confirmationReplyTo.tell(outcome);
    }

    private Heartbeat buildHeartbeat() {
        Heartbeat heartbeat = new Heartbeat()
                .setTickMs(dependencies.clock.nowMs())
                .setState(calls.leaving() ? GuardState.LEAVING : GuardState.READY)
                .setSlotsInUse(calls.slotsInUse())
                .setConnectionsInUse(calls.slotsInUse())
                .setFree(toThrift(tasks.free()))
                .setRulesRevision(rulesRevision)
                .setTasks(tasks.tasks())
                .setLatencyP99Ms(calls.p99Ms())
                .setIncarnation(dependencies.identity.incarnation)
                .setSlots(calls.target() == null ? 0 : calls.target().slots())
                .setConnections(calls.target() == null ? 0 : calls.target().connections())
                .setWorkerFailing(tasks.workerFailing());
        if (calls.target() != null) {
            heartbeat.setServiceName(calls.target().service());
        }
        return heartbeat;
    }

    private Hello buildHello() {
        Identity identity = dependencies.identity;
        return new Hello()
                .setGuardId(identity.guardId)
                .setVm(identity.vm)
                .setIncarnation(identity.incarnation)
                .setZone(identity.zone)
                .setRegion(identity.region)
                .setRack(identity.rack)
                .setServiceName(calls.target() == null ? "" : calls.target().service())
                .setSlots(calls.target() == null ? 0 : calls.target().slots())
                .setConnections(calls.target() == null ? 0 : calls.target().connections())
                .setCapacity(toThrift(announcedCapacity));
    }

    static org.fulmarreach.protocol.thrift.Resources toThrift(Resources resources) {
        return new org.fulmarreach.protocol.thrift.Resources(
                resources.milliCores(), resources.memoryMb(), resources.accelerators());
    }

    /*
     * Connections
     */

    private void dial(Address address) {
        Peer peer = peers.get(address);
        if (peer == null || peer.link != null) {
            return;
        }
        ActorRef<LinksCommand> self = getContext().getSelf();
        dependencies.dialler.connect(address.host(), address.port(), event -> {
            if (!dependencies.router.route(event)) {
                self.tell(new LinksCommand.LinkChanged(address, event));
            }
        });
    }

    private void applyLinkEvent(Address address, LinkEvent event) {
        Peer peer = peers.get(address);
        if (peer == null) {
            return;
        }
        switch (event) {
            case LinkEvent.Opened opened -> {
                peer.link = opened.link();
                peer.taskChanges = new TaskChangesWriter();
                peer.link.send(Body.hello(buildHello()));
                sendHeartbeat(peer, buildHeartbeat());
            }
            case LinkEvent.Received received ->
                applyBody(address, peer, received.frame().getBody());
            case LinkEvent.Closed closed -> scheduleRedial(address, peer);
        }
    }

    private void applyBody(Address address, Peer peer, Body body) {
        switch (body.getSetField()) {
            case WELCOME -> applyWelcome(peer, body.getWelcome());
            case HEARTBEAT_ACK -> {
                HeartbeatAck ack = body.getHeartbeatAck();
                confirmation.recordAcknowledgement(peer.link);
                advanceConfirmation();
                rulesRevision = Math.max(rulesRevision, ack.getRulesRevision());
                addEntries(ack.getEntries());
            }
            default -> {
                // Ignores other bodies, which a newer entry may send.
            }
        }
        peer.lastSeenMs = dependencies.clock.nowMs();
    }

    private void applyWelcome(Peer peer, Welcome welcome) {
        peer.entryId = welcome.getEntryId();
        peer.backoffMs = 0;
        peer.duplicate = false;
        rulesRevision = Math.max(rulesRevision, welcome.getRulesRevision());
        for (Peer other : peers.values()) {
            if (other != peer && other.link != null && welcome.getEntryId().equals(other.entryId)) {
                peer.duplicate = true;
            }
        }
        if (peer.duplicate && peer.link != null) {
            peer.link.close();
        }
        addEntries(welcome.getEntries());
    }

    private void addEntries(List<String> entries) {
        if (entries == null) {
            return;
        }
        long nowMs = dependencies.clock.nowMs();
        for (String text : entries) {
            Address address;
            try {
                address = Address.parse(text);
            } catch (IllegalArgumentException e) {
                continue;
            }
            Peer existing = peers.get(address);
            if (existing == null) {
                peers.put(address, new Peer(false, nowMs));
                dial(address);
            } else {
                existing.lastSeenMs = nowMs;
            }
        }
    }

    private void scheduleRedial(Address address, Peer peer) {
        confirmation.removeLink(peer.link);
        peer.link = null;
        peer.entryId = null;
        advanceConfirmation();
        if (!peer.fromSettings && dependencies.clock.nowMs() - peer.lastSeenMs > ADDRESS_EXPIRY_MS) {
            peers.remove(address);
            return;
        }
        if (peer.duplicate) {
            timers.startSingleTimer(address, new LinksCommand.Redial(address), Duration.ofMillis(DUPLICATE_REDIAL_MS));
            return;
        }
        long delayMs = peer.backoffMs == 0 ? 0 : dependencies.random.nextLong(peer.backoffMs / 2, peer.backoffMs + 1);
        peer.backoffMs = Math.clamp(peer.backoffMs * 2, MIN_BACKOFF_MS, MAX_BACKOFF_MS);
        timers.startSingleTimer(address, new LinksCommand.Redial(address), Duration.ofMillis(delayMs));
    }
}
