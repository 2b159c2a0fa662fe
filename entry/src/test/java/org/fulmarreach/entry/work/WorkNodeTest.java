package org.fulmarreach.entry.work;

import java.time.Clock;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BooleanSupplier;
import java.util.function.Function;

import org.apache.pekko.Done;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.Props;
import org.apache.pekko.actor.typed.SpawnProtocol;
import org.apache.pekko.actor.typed.javadsl.AskPattern;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.fulmarreach.core.exc.Result;
import org.fulmarreach.core.rules.ParseResult;
import org.fulmarreach.core.rules.Rules;
import org.fulmarreach.core.rules.RulesInForce;
import org.fulmarreach.core.rules.RulesParser;
import org.fulmarreach.core.work.WorkTimes;
import org.fulmarreach.entry.guards.DirectoryCommand;
import org.fulmarreach.entry.peers.PeerEvent;
import org.fulmarreach.entry.peers.PeerView;
import org.fulmarreach.entry.peers.PeersCommand;
import org.fulmarreach.protocol.thrift.Body;
import org.fulmarreach.runtime.log.EventLog;
import org.fulmarreach.runtime.util.ActorSystems;
import org.fulmarreach.runtime.util.MonotonicClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against decisions of shards that do not reach the guards, operators or other entries. */
class WorkNodeTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(10);

    private final ActorSystem<SpawnProtocol.Command> system =
            ActorSystems.construct(Behaviors.setup(context -> SpawnProtocol.create()), "test", 4);
    private final FakeStore store = new FakeStore();
    private final FakeDirectory guards = new FakeDirectory();
    private final ActorRef<DirectoryCommand> directory =
            system.systemActorOf(guards.construct(), "directory", Props.empty());
    private final Map<String, ActorRef<PeerEvent>> subscribers = new ConcurrentHashMap<>();
    private final Rules rules = ((ParseResult.Parsed) RulesParser.parse(
                    List.of("standing packer-sync region=sued cores=1 memory=2G # kreidekiste: Jonas")))
            .rules();

    @AfterEach
    void stop() {
        system.terminate();
    }

    @Test
    void standingWorkIsPlacedListedAndCancelled() {
        ActorRef<WorkCommand> first = start("entry-1", "sued-a");
        ActorRef<WorkCommand> second = start("entry-2", "sued-b");
        await(() -> count(Body._Fields.RENEW_TASKS) > 0);
        await(() -> list(second).stream().anyMatch(run -> run.vm().equals("vm-0")));
        WorkView run = list(first).get(0);
        assertEquals("ASSIGNED", run.phase());
        assertEquals("kreidekiste", run.member());
        assertEquals(1, count(Body._Fields.START_TASK));
        Result<WorkExplanation> why = ask(second, reply -> new WorkCommand.ExplainWork("packer-sync", reply));
        assertTrue(assertInstanceOf(Result.Ok.class, why).value().toString().contains("runs on vm-0"));

        assertInstanceOf(Result.Ok.class, cancel(second));
        await(() -> list(first).get(0).phase().equals("CANCELLED"));
        assertInstanceOf(Result.Err.class, cancel(first));
        await(() -> count(Body._Fields.STOP_TASK) > 0);
        await(() -> list(first).get(0).vm().isEmpty());
    }

    @Test
    void resignationHandsOverShardWithoutStoppingWork() {
        ActorRef<WorkCommand> first = start("entry-1", "sued-a");
        ActorRef<WorkCommand> second = start("entry-2", "sued-b");
        await(() -> count(Body._Fields.RENEW_TASKS) > 0);
        String leader = leases(first).get(0).leader();
        Done done = ask(leader.equals("entry-1") ? first : second, WorkCommand.Resign::new);
        assertEquals(Done.getInstance(), done);
        await(() -> !leases(second).get(0).leader().isEmpty()
                && !leases(second).get(0).leader().equals(leader));
        int renewals = count(Body._Fields.RENEW_TASKS);
        await(() -> count(Body._Fields.RENEW_TASKS) > renewals);
        assertEquals(1, count(Body._Fields.START_TASK));
        assertEquals(0, count(Body._Fields.STOP_TASK));
    }

    private ActorRef<WorkCommand> start(String id, String zone) {
        ActorRef<PeersCommand> peers = system.systemActorOf(
                Behaviors.receiveMessage(command -> {
                    switch (command) {
                        case PeersCommand.Subscribe subscribe -> connect(id, zone, subscribe.subscriber());
                        case PeersCommand.SendToPeer send ->
                            subscribers.get(send.entryId()).tell(new PeerEvent.LeadershipMessage(id, send.body()));
                        default -> {
                            // The shards send no other commands.
                        }
                    }
                    return Behaviors.same();
                }),
                "peers-" + id,
                Props.empty());
        WorkDependencies dependencies = new WorkDependencies(
                store,
                directory,
                peers,
                subscriber -> subscriber.tell(new RulesInForce(1, rules)),
                MonotonicClock.system(),
                Clock.systemUTC(),
                new Random(1),
                new EventLog(id),
                new SimpleMeterRegistry());
        WorkSettings settings = new WorkSettings(id, 1, "sued", zone, 1, WorkTimes.DEFAULT);
        return AskPattern.ask(
                        system.systemActorOf(
                                Behaviors.<ActorRef<ActorRef<WorkCommand>>>setup(context -> {
                                    ActorRef<WorkCommand> node = WorkNode.start(context, settings, dependencies);
                                    return Behaviors.receiveMessage(replyTo -> {
                                        replyTo.tell(node);
                                        return Behaviors.same();
                                    });
                                }),
                                "node-" + id,
                                Props.empty()),
                        (ActorRef<ActorRef<WorkCommand>> replyTo) -> replyTo,
                        TIMEOUT,
                        system.scheduler())
                .toCompletableFuture()
                .join();
    }

    private void connect(String id, String zone, ActorRef<PeerEvent> subscriber) {
        subscribers.forEach((other, ref) -> {
            ref.tell(new PeerEvent.Updated(view(id, zone)));
            subscriber.tell(new PeerEvent.Updated(view(other, other.equals("entry-1") ? "sued-a" : "sued-b")));
        });
        subscribers.put(id, subscriber);
    }

    private static PeerView view(String id, String zone) {
        return new PeerView(id, 1, zone, "sued", "127.0.0.1:1", 1, true, false);
    }

    private Result<Done> cancel(ActorRef<WorkCommand> node) {
        return ask(node, reply -> new WorkCommand.CancelWork("packer-sync", reply));
    }

    private int count(Body._Fields kind) {
        return (int) guards.received.stream()
                .filter(body -> body.getSetField() == kind)
                .count();
    }

    private List<WorkView> list(ActorRef<WorkCommand> node) {
        return ask(node, WorkCommand.ListWork::new);
    }

    private List<LeaseView> leases(ActorRef<WorkCommand> node) {
        return ask(node, WorkCommand.ListLeases::new);
    }

    private <T> T ask(ActorRef<WorkCommand> node, Function<ActorRef<T>, WorkCommand> message) {
        return AskPattern.<WorkCommand, T>ask(node, message::apply, TIMEOUT, system.scheduler())
                .toCompletableFuture()
                .join();
    }

    private static void await(BooleanSupplier condition) {
        long untilNs = System.nanoTime() + TIMEOUT.toNanos();
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < untilNs, "condition not met within " + TIMEOUT);
            try {
                Thread.sleep(20);
            } catch (InterruptedException e) {
                throw new AssertionError(e);
            }
        }
    }
}
