package org.fulmarreach.entry.work;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import java.util.function.Function;

import org.apache.pekko.Done;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.apache.pekko.actor.typed.javadsl.AskPattern;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.fulmarreach.core.exc.ErrorCode;
import org.fulmarreach.core.exc.Problem;
import org.fulmarreach.core.exc.Result;
import org.fulmarreach.core.rules.RulesInForce;
import org.fulmarreach.core.work.GuardReport;
import org.fulmarreach.core.work.ShardId;
import org.fulmarreach.core.work.Shards;
import org.fulmarreach.entry.guards.DirectoryCommand;
import org.fulmarreach.entry.guards.GuardEvent;
import org.fulmarreach.entry.peers.PeerEvent;
import org.fulmarreach.entry.peers.PeersCommand;

/**
 * Starts the actors of the region's shards and the actor that answers requests about all of them. The latter is
 * stateless and does not block; the state is in the shard actors.
 */
public final class WorkNode {
    private static final Duration DESCRIBE_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration CANCEL_TIMEOUT = Duration.ofSeconds(6);
    private static final Duration RESIGN_TIMEOUT = Duration.ofSeconds(2);

    private final ActorSystem<Void> system;
    private final List<ActorRef<ShardCommand>> shards;

    private WorkNode(ActorSystem<Void> system, List<ActorRef<ShardCommand>> shards) {
        this.system = system;
        this.shards = shards;
    }

    /**
     * Starts the actors as children of {@code context}.
     *
     * @param context context of the parent; called on its thread
     * @param settings settings of the shards
     * @param dependencies dependencies of the shard actors
     * @return the actor that handles requests about batch and standing work
     */
    public static ActorRef<WorkCommand> start(
            ActorContext<?> context, WorkSettings settings, WorkDependencies dependencies) {
        StoreProbe probe =
                new StoreProbe(dependencies.log(), settings.region(), settings.entryId(), dependencies.clock());
        List<ActorRef<ShardCommand>> shards = new ArrayList<>();
        for (int i = 0; i < settings.shards(); i++) {
            ShardId shard =
                    new ShardId(settings.region(), i, settings.shards(), settings.entryId(), settings.incarnation());
            shards.add(context.spawn(ShardActor.construct(shard, settings, dependencies, probe), shard.name()));
        }
        WorkNode node = new WorkNode(context.getSystem(), List.copyOf(shards));
        dependencies
                .directory()
                .tell(new DirectoryCommand.Subscribe(context.spawn(node.followGuards(), "work-guards")));
        dependencies.peers().tell(new PeersCommand.Subscribe(context.spawn(node.followPeers(), "work-peers")));
        dependencies.rules().accept(context.spawn(node.followRules(), "work-rules"));
        return context.spawn(node.answerCommands(), "work");
    }

    // Fan-out

    private Behavior<GuardEvent> followGuards() {
        return receive(event -> {
            switch (event) {
                case GuardEvent.HeartbeatReceived received -> {
                    GuardReport report = WorkMessageMapper.toReport(received.guard(), received.heartbeat());
                    tellAll(new ShardCommand.GuardReported(report));
                }
                case GuardEvent.Disconnected disconnected ->
                    tellAll(new ShardCommand.GuardDisconnected(
                            disconnected.guard().vm().id()));
            }
        });
    }

    private Behavior<PeerEvent> followPeers() {
        return receive(event -> tellAll(new ShardCommand.PeerChanged(event)));
    }

    private Behavior<RulesInForce> followRules() {
        return receive(inForce -> tellAll(new ShardCommand.RulesChanged(inForce.rules())));
    }

    private void tellAll(ShardCommand command) {
        shards.forEach(shard -> shard.tell(command));
    }

    // Commands

    private Behavior<WorkCommand> answerCommands() {
        return receive(command -> {
            switch (command) {
                case WorkCommand.ListWork list ->
                    describe().thenAccept(descriptions -> list.replyTo().tell(collectRuns(descriptions)));
                case WorkCommand.ExplainWork explain ->
                    describe()
                            .thenAccept(descriptions -> explain.replyTo().tell(explain(explain.name(), descriptions)));
                case WorkCommand.ListLeases list ->
                    describe()
                            .thenAccept(descriptions -> list.replyTo()
                                    .tell(descriptions.stream()
                                            .map(ShardCommand.ShardDescription::lease)
                                            .toList()));
                case WorkCommand.CancelWork cancel -> cancel(cancel);
                case WorkCommand.Resign resign -> resign(resign);
            }
        });
    }

    private void cancel(WorkCommand.CancelWork cancel) {
        ActorRef<ShardCommand> shard = shards.get(Shards.findIndex(cancel.name(), shards.size()));
        this.<Result<Done>>ask(shard, replyTo -> new ShardCommand.Cancel(cancel.name(), replyTo), CANCEL_TIMEOUT)
                .whenComplete((result, failure) -> cancel.replyTo()
                        .tell(
                                failure == null
                                        ? result
                                        : Result.err(
                                                ErrorCode.STORE_UNAVAILABLE,
                                                "The shard did not answer; the cancellation may have taken effect.")));
    }

    private void resign(WorkCommand.Resign resign) {
        List<CompletableFuture<Done>> answers = new ArrayList<>();
        for (ActorRef<ShardCommand> shard : shards) {
            answers.add(this.<Done>ask(shard, ShardCommand.Resign::new, RESIGN_TIMEOUT)
                    .exceptionally(failure -> Done.getInstance())
                    .toCompletableFuture());
        }
        CompletableFuture.allOf(answers.toArray(CompletableFuture[]::new))
                .thenRun(() -> resign.replyTo().tell(Done.getInstance()));
    }

    private static List<WorkView> collectRuns(List<ShardCommand.ShardDescription> descriptions) {
        return descriptions.stream()
                .flatMap(shard -> shard.runs().stream())
                .sorted(Comparator.comparing(WorkView::name).thenComparingLong(WorkView::run))
                .toList();
    }

    private static Result<WorkExplanation> explain(String name, List<ShardCommand.ShardDescription> descriptions) {
        List<WorkView> runs = collectRuns(descriptions).stream()
                .filter(run -> run.name().equals(name))
                .sorted(Comparator.comparingLong(WorkView::run).reversed())
                .toList();
        if (runs.isEmpty()) {
            return Result.err(new Problem(
                    ErrorCode.NOT_FOUND,
                    "No batch or standing work named " + name + " is known in this region.",
                    "Check the name with fulmarctl work, or ask an entry of the region that its rule names.",
                    0));
        }
        List<String> sentences = new ArrayList<>();
        for (WorkView run : runs) {
            String title = run.kind().equals("standing") ? "Standing work" : "Run " + run.run();
            sentences.add(title + " is " + run.phase() + ": " + run.reason() + ".");
        }
        for (ShardCommand.ShardDescription shard : descriptions) {
            if (shard.lease().shard().equals(runs.get(0).shard())) {
                sentences.add(explainLease(shard.lease()));
            }
        }
        return Result.ok(new WorkExplanation(runs, List.copyOf(sentences)));
    }

    private static String explainLease(LeaseView lease) {
        if (lease.leader().isEmpty()) {
            return "No entry currently leads its shard " + lease.shard() + ".";
        }
        return "Its shard " + lease.shard() + " is led by " + lease.leader()
                + ", whose last record was seen in the log " + lease.ageMs() + " ms ago"
                + (lease.outage() ? "; the leader continues without the store." : ".");
    }

    // Helpers

    private CompletionStage<List<ShardCommand.ShardDescription>> describe() {
        List<CompletableFuture<ShardCommand.ShardDescription>> answers = new ArrayList<>();
        for (ActorRef<ShardCommand> shard : shards) {
            answers.add(this.<ShardCommand.ShardDescription>ask(shard, ShardCommand.Describe::new, DESCRIBE_TIMEOUT)
                    .exceptionally(failure -> null)
                    .toCompletableFuture());
        }
        return CompletableFuture.allOf(answers.toArray(CompletableFuture[]::new))
                .thenApply(done -> answers.stream()
                        .map(CompletableFuture::join)
                        .filter(description -> description != null)
                        .toList());
    }

    private <T> CompletionStage<T> ask(
            ActorRef<ShardCommand> shard, Function<ActorRef<T>, ShardCommand> message, Duration timeout) {
        return AskPattern.ask(shard, message::apply, timeout, system.scheduler());
    }

    private static <T> Behavior<T> receive(Consumer<T> handler) {
        return Behaviors.receiveMessage(message -> {
            handler.accept(message);
            return Behaviors.same();
        });
    }
}
