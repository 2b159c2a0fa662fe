package org.fulmarreach.entry.work;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import org.apache.pekko.Done;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.javadsl.AbstractBehavior;
import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.actor.typed.javadsl.Receive;
import org.apache.pekko.actor.typed.javadsl.TimerScheduler;
import org.fulmarreach.core.exc.ErrorCode;
import org.fulmarreach.core.exc.FrameException;
import org.fulmarreach.core.exc.Problem;
import org.fulmarreach.core.exc.Result;
import org.fulmarreach.core.work.Action;
import org.fulmarreach.core.work.GuardMessage;
import org.fulmarreach.core.work.LoggedBatch;
import org.fulmarreach.core.work.PeerMessage;
import org.fulmarreach.core.work.RunView;
import org.fulmarreach.core.work.ShardId;
import org.fulmarreach.core.work.ShardLeader;
import org.fulmarreach.core.work.WorkBatch;
import org.fulmarreach.entry.guards.DirectoryCommand;
import org.fulmarreach.entry.peers.PeerEvent;
import org.fulmarreach.entry.peers.PeerView;
import org.fulmarreach.entry.peers.PeersCommand;
import org.fulmarreach.platform.LogBatch;
import org.fulmarreach.platform.LogRead;
import org.fulmarreach.protocol.io.WorkRecords;
import org.fulmarreach.runtime.util.Invariants;

/**
 * Actor that follows one shard and leads it once its claim is accepted. It passes reads, heartbeats and messages to
 * {@link ShardLeader} and performs the resulting actions without blocking. A violated invariant stops the actor, and
 * another entry takes over the shard.
 */
final class ShardActor extends AbstractBehavior<ShardCommand> {
    private static final Duration TICK_INTERVAL = Duration.ofMillis(250);
    private static final Duration READ_RETRY_DELAY = Duration.ofMillis(500);
    private static final int MAX_RECORDS_PER_READ = 256;

    /** Maximum wait of a read; shorter once the leader is silent, so that a pending read does not delay a claim. */
    private static final int READ_WAIT_MS = 1_000;

    private static final int SILENT_LEADER_READ_WAIT_MS = 250;
    private static final long SILENT_LEADER_AGE_MS = 3_000;
    private static final long CANCEL_TIMEOUT_MS = 5_000;

    private record PendingCancel(ActorRef<Result<Done>> replyTo, long untilMs) {}

    private final ShardId shard;
    private final WorkDependencies dependencies;
    private final StoreProbe probe;
    private final ShardLeader leader;
    private final TimerScheduler<ShardCommand> timers;
    private final Map<Long, PendingCancel> cancels = new HashMap<>();
    private final List<ActorRef<Done>> resignations = new ArrayList<>();
    private long lastCancelId;

    private ShardActor(
            ActorContext<ShardCommand> context,
            TimerScheduler<ShardCommand> timers,
            ShardId shard,
            WorkSettings settings,
            WorkDependencies dependencies,
            StoreProbe probe) {
        super(context);
        this.shard = shard;
        this.dependencies = dependencies;
        this.probe = probe;
        this.timers = timers;
        Invariants invariants = new Invariants(dependencies.meters(), dependencies.events());
        this.leader = new ShardLeader(
                shard,
                settings.zone(),
                settings.times(),
                new Random(dependencies.random().nextLong()),
                invariants::check);
        timers.startTimerWithFixedDelay(ShardCommand.Timer.TICK, TICK_INTERVAL);
        read();
    }

    /** Returns the behavior of the actor of one shard. */
    static Behavior<ShardCommand> construct(
            ShardId shard, WorkSettings settings, WorkDependencies dependencies, StoreProbe probe) {
        return Behaviors.setup(context ->
                Behaviors.withTimers(timers -> new ShardActor(context, timers, shard, settings, dependencies, probe)));
    }

    @Override
    public Receive<ShardCommand> createReceive() {
        return newReceiveBuilder().onMessage(ShardCommand.class, this::receive).build();
    }

    private Behavior<ShardCommand> receive(ShardCommand command) {
        try {
            handle(command);
            return this;
        } catch (RuntimeException e) {
            dependencies.events().emit(WorkEvent.SHARD_STOPPED, "shard", shard.name(), "reason", e);
            throw e;
        }
    }

    private void handle(ShardCommand command) {
        long nowMs = dependencies.clock().nowMs();
        switch (command) {
            case ShardCommand.RulesChanged changed -> leader.onRules(changed.rules());
            case ShardCommand.GuardReported reported -> leader.onHeartbeat(reported.report(), nowMs);
            case ShardCommand.GuardDisconnected disconnected -> leader.onGuardLost(disconnected.vm());
            case ShardCommand.PeerChanged changed -> receivePeer(changed.event(), nowMs);
            case ShardCommand.ReadDone done -> receiveRead(done, nowMs);
            case ShardCommand.AppendDone done -> leader.onAppendResult(done.batchId(), done.success(), nowMs);
            case ShardCommand.ProbeDone done -> leader.onProbeResult(done.success(), nowMs);
            case ShardCommand.Describe describe -> describe.replyTo().tell(describe(nowMs));
            case ShardCommand.Cancel cancel -> {
                lastCancelId++;
                cancels.put(lastCancelId, new PendingCancel(cancel.replyTo(), nowMs + CANCEL_TIMEOUT_MS));
                leader.cancel(lastCancelId, cancel.work());
            }
            case ShardCommand.Resign resign -> {
                resignations.add(resign.replyTo());
                leader.resign();
            }
            case ShardCommand.Timer timer -> {
                if (timer == ShardCommand.Timer.READ) {
                    read();
                } else {
                    leader.tick(nowMs, dependencies.wallClock().millis());
                    expireCancels(nowMs);
                }
            }
        }
        leader.drain().forEach(this::perform);
    }

    // Inputs

    private void receivePeer(PeerEvent event, long nowMs) {
        switch (event) {
            case PeerEvent.Updated updated -> {
                PeerView peer = updated.peer();
                if (peer.region().equals(shard.region())) {
                    leader.onPeer(peer.entryId(), peer.zone(), peer.leaving());
                }
            }
            case PeerEvent.Disconnected disconnected ->
                leader.onPeerLost(disconnected.peer().entryId());
            case PeerEvent.LeadershipMessage message -> {
                PeerMessage decoded = WorkMessageMapper.fromBody(shard.name(), message.body());
                if (decoded != null) {
                    leader.onPeerMessage(message.entryId(), decoded, nowMs);
                }
            }
        }
    }

    private void receiveRead(ShardCommand.ReadDone done, long nowMs) {
        switch (done.read()) {
            case null -> {
                leader.onReadFailed(nowMs);
                timers.startSingleTimer(ShardCommand.Timer.READ, READ_RETRY_DELAY);
                return;
            }
            case LogRead.Batch read -> {
                List<LogBatch.Entry> records = read.batch().records();
                List<LoggedBatch> batches = records.stream().map(this::decode).toList();
                leader.onRead(done.issuedMs(), batches, records.size() < MAX_RECORDS_PER_READ, nowMs);
            }
            case LogRead.Truncated truncated -> leader.onTruncated(truncated.firstOffset(), nowMs);
        }
        read();
    }

    private LoggedBatch decode(LogBatch.Entry entry) {
        try {
            return new LoggedBatch(entry.offset(), WorkRecords.decode(entry.data()));
        } catch (FrameException e) {
            dependencies
                    .events()
                    .emit(
                            WorkEvent.SHARD_RECORD_SKIPPED,
                            "shard",
                            shard.name(),
                            "offset",
                            entry.offset(),
                            "reason",
                            e.getMessage());
            return new LoggedBatch(entry.offset(), null);
        }
    }

    private void read() {
        long issuedMs = dependencies.clock().nowMs();
        int waitMs = leader.findAgeMs(issuedMs) > SILENT_LEADER_AGE_MS ? SILENT_LEADER_READ_WAIT_MS : READ_WAIT_MS;
        ActorRef<ShardCommand> self = getContext().getSelf();
        dependencies
                .log()
                .read(shard.name(), leader.nextOffset(), MAX_RECORDS_PER_READ, waitMs)
                .whenComplete((read, failure) ->
                        self.tell(new ShardCommand.ReadDone(issuedMs, failure == null ? read : null)));
    }

    // Actions

    private void perform(Action action) {
        switch (action) {
            case Action.Append append -> append(append.batch());
            case Action.ToGuard message -> {
                count(message.message());
                dependencies
                        .directory()
                        .tell(new DirectoryCommand.SendToGuard(
                                message.vm(), WorkMessageMapper.toBody(shard.name(), message.message())));
            }
            case Action.ToPeer message ->
                dependencies
                        .peers()
                        .tell(new PeersCommand.SendToPeer(
                                message.entryId(), WorkMessageMapper.toBody(shard.name(), message.message())));
            case Action.ProbeStore store -> {
                ActorRef<ShardCommand> self = getContext().getSelf();
                probe.probe()
                        .whenComplete((success, failure) ->
                                self.tell(new ShardCommand.ProbeDone(failure == null && success)));
            }
            case Action.Notify notify -> {
                WorkEvent event = WorkEvent.fromNotice(notify.notice());
                dependencies.events().emit(event, "shard", shard.name(), "detail", notify.detail());
                dependencies
                        .meters()
                        .counter("fulmarreach.work.events", "event", event.name())
                        .increment();
            }
            case Action.CancelAnswer answer -> answerCancel(answer);
            case Action.Resigned resigned -> {
                resignations.forEach(replyTo -> replyTo.tell(Done.getInstance()));
                resignations.clear();
            }
        }
    }

    private void append(WorkBatch batch) {
        dependencies.meters().counter("fulmarreach.work.appends").increment();
        ActorRef<ShardCommand> self = getContext().getSelf();
        dependencies
                .log()
                .append(shard.name(), WorkRecords.encode(batch))
                .whenComplete(
                        (offset, failure) -> self.tell(new ShardCommand.AppendDone(batch.batchId(), failure == null)));
    }

    private void count(GuardMessage message) {
        if (message instanceof GuardMessage.Start) {
            dependencies.meters().counter("fulmarreach.work.starts").increment();
        }
    }

    private void answerCancel(Action.CancelAnswer answer) {
        PendingCancel pending = cancels.remove(answer.requestId());
        if (pending == null) {
            return;
        }
        switch (answer.result()) {
            case Result.Ok<String> ok -> pending.replyTo().tell(Result.ok(Done.getInstance()));
            case Result.Err<String> err -> pending.replyTo().tell(Result.err(err.problem()));
        }
    }

    private void expireCancels(long nowMs) {
        cancels.entrySet().removeIf(request -> {
            boolean expired = nowMs >= request.getValue().untilMs();
            if (expired) {
                leader.withdrawCancel(request.getKey());
                Problem problem = Problem.of(
                                ErrorCode.STORE_UNAVAILABLE,
                                "The store did not confirm the cancellation; it may have taken effect.")
                        .withRetryAfterMs(CANCEL_TIMEOUT_MS);
                request.getValue().replyTo().tell(Result.err(problem));
            }
            return expired;
        });
    }

    // Views

    private ShardCommand.ShardDescription describe(long nowMs) {
        var state = leader.state();
        String leaderId = state.resigned() ? "" : state.leader();
        int slash = leaderId.lastIndexOf('/');
        LeaseView lease = new LeaseView(
                shard.name(),
                slash < 0 ? leaderId : leaderId.substring(0, slash),
                state.term(),
                leader.findAgeMs(nowMs),
                leader.isOutage());
        List<WorkView> runs = leader.listRuns(dependencies.wallClock().millis()).stream()
                .map(this::toView)
                .toList();
        return new ShardCommand.ShardDescription(lease, runs);
    }

    private WorkView toView(RunView run) {
        return new WorkView(
                run.key().work(),
                run.key().run(),
                run.key().standing() ? "standing" : "batch",
                run.member(),
                shard.name(),
                run.phase().name(),
                run.vm(),
                run.epoch(),
                run.deadlineMs(),
                run.reason());
    }
}
