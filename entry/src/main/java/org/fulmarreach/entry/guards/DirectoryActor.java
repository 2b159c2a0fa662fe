package org.fulmarreach.entry.guards;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.fulmarreach.entry.EntryEvent;
import org.fulmarreach.entry.FrameDispatch;
import org.fulmarreach.entry.calls.CallRouter;
import org.fulmarreach.protocol.thrift.Body;
import org.fulmarreach.protocol.thrift.Drain;
import org.fulmarreach.protocol.thrift.Heartbeat;
import org.fulmarreach.protocol.thrift.HeartbeatAck;
import org.fulmarreach.protocol.thrift.Hello;
import org.fulmarreach.protocol.thrift.Welcome;
import org.fulmarreach.runtime.log.EventLog;
import org.fulmarreach.runtime.net.FrameLink;
import org.fulmarreach.runtime.net.LinkEvent;
import org.fulmarreach.runtime.util.MonotonicClock;

import io.micrometer.core.instrument.MeterRegistry;

/**
 * Owns the connections to the guards, the directory and the pending calls. One actor owns both calls and directory,
 * because routing a call needs the state of guards, and a state change of a guard affects its calls.
 */
public final class DirectoryActor {
    private static final Duration TICK_INTERVAL = Duration.ofMillis(10);

    private final DirectorySettings settings;
    private final GuardDirectory directory;
    private final CallRouter router;
    private final MonotonicClock clock;
    private final EventLog log;
    private final CallGauges gauges;
    private final List<ActorRef<GuardEvent>> subscribers = new ArrayList<>();
    private final List<Consumer<GuardSummary>> summarySubscribers = new ArrayList<>();
    private List<String> entries;
    private long rulesRevision;
    private long nextSummaryMs;

    private DirectoryActor(
            DirectorySettings settings,
            GuardDirectory directory,
            CallRouter router,
            MonotonicClock clock,
            EventLog log,
            CallGauges gauges) {
        this.settings = settings;
        this.directory = directory;
        this.router = router;
        this.clock = clock;
        this.log = log;
        this.gauges = gauges;
        this.entries = List.of(settings.address());
    }

    /**
     * Constructs the behavior of the actor.
     *
     * @param settings identity, intervals and limits
     * @param directory directory that {@code router} uses; owned by the actor after this call
     * @param router router of calls; owned by the actor after this call
     * @param clock monotonic clock
     * @param log receives the events
     * @param meters registry for the gauges of pending calls and guards
     */
    public static Behavior<DirectoryCommand> construct(
            DirectorySettings settings,
            GuardDirectory directory,
            CallRouter router,
            MonotonicClock clock,
            EventLog log,
            MeterRegistry meters) {
        return Behaviors.withTimers(timers -> {
            timers.startTimerWithFixedDelay(new DirectoryCommand.Tick(), TICK_INTERVAL);
            DirectoryActor actor =
                    new DirectoryActor(settings, directory, router, clock, log, new CallGauges(meters, settings));
            return Behaviors.receiveMessage(command -> {
                actor.receive(command);
                return Behaviors.same();
            });
        });
    }

    private void receive(DirectoryCommand command) {
        switch (command) {
            case DirectoryCommand.SubmitCall submit -> router.submit(submit.request(), submit.reply());
            case DirectoryCommand.LinkChanged changed -> handleLinkEvent(changed.event());
            case DirectoryCommand.Tick tick -> handleTick();
            case DirectoryCommand.MintId mint -> mint.reply().accept(router.mintId(mint.service()));
            case DirectoryCommand.QueryRequest query -> router.query(query.id(), query.reply());
            case DirectoryCommand.Subscribe subscribe -> subscribers.add(subscribe.subscriber());
            case DirectoryCommand.SendToGuard send ->
                directory.findByVm(send.vmId()).ifPresent(session -> session.send(0, send.body()));
            case DirectoryCommand.ListTargets list ->
                list.reply().accept(DirectoryViews.listTargets(directory, router));
            case DirectoryCommand.DrainTarget drain -> drain.reply().accept(drain(drain.vmId()));
            case DirectoryCommand.EntriesChanged changed -> entries = List.copyOf(changed.addresses());
            case DirectoryCommand.RulesRevised revised -> rulesRevision = Math.max(rulesRevision, revised.revision());
            case DirectoryCommand.SubscribeSummary subscribe -> summarySubscribers.add(subscribe.receiver());
        }
    }

    private void handleLinkEvent(LinkEvent event) {
        switch (event) {
            case LinkEvent.Opened opened -> {
                // Nothing to send: the guard sends the first frame, its hello.
            }
            case LinkEvent.Received received -> FrameDispatch.dispatch(received, this::handleFrame, log);
            case LinkEvent.Closed closed ->
                directory.disconnect(closed.link()).ifPresent(session -> handleLostGuard(session, closed.reason()));
        }
    }

    private void handleFrame(FrameLink link, long correlationId, Body body) {
        if (body.isSetHello()) {
            register(link, body.getHello());
            return;
        }
        GuardSession session = directory.findByLink(link).orElse(null);
        if (session == null) {
            // The frame is from a connection that a newer one has replaced.
            return;
        }
        session.recordFrame(clock.nowMs());
        switch (body.getSetField()) {
            case HEARTBEAT -> handleHeartbeat(session, body.getHeartbeat());
            case CALL_RESULT -> router.receiveResult(session, correlationId, body.getCallResult());
            case RESOLVE_RESULT -> router.receiveResolve(session, correlationId, body.getResolveResult());
            default -> {
                log.emit(EntryEvent.UNEXPECTED_FRAME, "remote", link.remoteAddress(), "frame", body.getSetField());
                link.close();
            }
        }
    }

    private void register(FrameLink link, Hello hello) {
        switch (directory.register(link, hello, clock.nowMs())) {
            case GuardDirectory.Change.Added added -> acceptGuard(added.session(), EntryEvent.GUARD_CONNECTED);
            case GuardDirectory.Change.Reconnected reconnected -> {
                router.disconnectGuard(reconnected.session());
                acceptGuard(reconnected.session(), EntryEvent.GUARD_CONNECTED);
            }
            case GuardDirectory.Change.Replaced replaced -> {
                router.disconnectGuard(replaced.old());
                acceptGuard(replaced.session(), EntryEvent.GUARD_REPLACED);
            }
            case GuardDirectory.Change.Refused refused ->
                log.emit(EntryEvent.GUARD_REFUSED, "remote", link.remoteAddress(), "guard", hello.getGuardId());
        }
    }

    private void acceptGuard(GuardSession session, EntryEvent event) {
        GuardView view = session.view();
        log.emit(event, "guard", view.guardId(), "vm", view.vm().id(), "incarnation", view.incarnation());
        session.send(0, Body.welcome(new Welcome(settings.entryId(), entries, rulesRevision)));
        router.connectGuard(session);
    }

    private void handleHeartbeat(GuardSession session, Heartbeat heartbeat) {
        if (heartbeat.getIncarnation() != session.view().incarnation() || heartbeat.getState() == null) {
            // Later heartbeats contain only changes since this one, so the connection is unusable without it.
            session.link().close();
            return;
        }
        session.update(heartbeat, clock.nowMs());
        session.send(0, Body.heartbeatAck(new HeartbeatAck(heartbeat.getTickMs(), rulesRevision, entries)));
        router.updateGuard(session);
        GuardEvent event = new GuardEvent.HeartbeatReceived(session.view(), heartbeat);
        subscribers.forEach(subscriber -> subscriber.tell(event));
    }

    private void handleLostGuard(GuardSession session, String reason) {
        log.emit(EntryEvent.GUARD_LOST, "guard", session.view().guardId(), "reason", reason);
        router.disconnectGuard(session);
        GuardEvent event = new GuardEvent.Disconnected(session.view());
        subscribers.forEach(subscriber -> subscriber.tell(event));
    }

    private boolean drain(String vmId) {
        GuardSession session = directory.findByVm(vmId).orElse(null);
        if (session == null || !session.isConnected()) {
            return false;
        }
        session.send(0, Body.drain(new Drain("operator")));
        return true;
    }

    private void handleTick() {
        long nowMs = clock.nowMs();
        for (GuardSession session : directory.findSilent(settings.silenceTimeoutMs(), nowMs)) {
            log.emit(EntryEvent.GUARD_SILENT, "guard", session.view().guardId());
            FrameLink link = session.link();
            directory.disconnect(link);
            link.close();
            handleLostGuard(session, "silent");
        }
        router.tick();
        if (nowMs < nextSummaryMs) {
            return;
        }
        nextSummaryMs = nowMs + settings.heartbeatMs();
        directory.removeExpired(nowMs).forEach(router::removeGuard);
        GuardSummary summary = DirectoryViews.summarize(directory);
        summarySubscribers.forEach(receiver -> receiver.accept(summary));
        gauges.update(router.countPending(), router.countQueued(), summary.guards());
    }
}
