package org.fulmarreach.entry;

import java.time.Clock;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.fulmarreach.core.exc.ErrorCode;
import org.fulmarreach.core.exc.Result;
import org.fulmarreach.core.rules.RulesInForce;
import org.fulmarreach.entry.budget.BudgetActor;
import org.fulmarreach.entry.budget.BudgetCommand;
import org.fulmarreach.entry.budget.BudgetSettings;
import org.fulmarreach.entry.calls.CallAnswer;
import org.fulmarreach.entry.calls.CallForwarder;
import org.fulmarreach.entry.calls.CallMeters;
import org.fulmarreach.entry.calls.CallRequest;
import org.fulmarreach.entry.calls.CallRouter;
import org.fulmarreach.entry.calls.CallService;
import org.fulmarreach.entry.guards.DirectoryActor;
import org.fulmarreach.entry.guards.DirectoryCommand;
import org.fulmarreach.entry.guards.DirectorySettings;
import org.fulmarreach.entry.guards.GuardDirectory;
import org.fulmarreach.entry.http.EntryActors;
import org.fulmarreach.entry.peers.PeerDependencies;
import org.fulmarreach.entry.peers.PeersActor;
import org.fulmarreach.entry.peers.PeersCommand;
import org.fulmarreach.entry.peers.PeersSettings;
import org.fulmarreach.entry.rules.RulesActor;
import org.fulmarreach.entry.rules.RulesCommand;
import org.fulmarreach.entry.store.RegionLogClient;
import org.fulmarreach.entry.work.WorkCommand;
import org.fulmarreach.entry.work.WorkDependencies;
import org.fulmarreach.entry.work.WorkSettings;
import org.fulmarreach.platform.LogClient;
import org.fulmarreach.runtime.cfg.Address;
import org.fulmarreach.runtime.cfg.Setting;
import org.fulmarreach.runtime.cfg.Settings;
import org.fulmarreach.runtime.log.EventLog;
import org.fulmarreach.runtime.net.FrameTransport;
import org.fulmarreach.runtime.util.MonotonicClock;

import io.micrometer.core.instrument.MeterRegistry;

/**
 * Actors and services of one entry, connected to each other. Immutable.
 *
 * @param actors the actors
 * @param calls service that processes calls
 */
record EntryParts(EntryActors actors, CallService calls) {
    private static final long MINT_TIMEOUT_MS = 2_000;

    /**
     * Dependencies of the parts.
     *
     * @param settings settings of the entry
     * @param store client that accesses the log service directly
     * @param transport opens connections to other entries
     * @param clock monotonic clock
     * @param wallClock clock that determines budget periods and runs of batch work
     * @param incarnation number of this lifetime of the entry process, higher after a restart
     * @param random source for ids and random choices
     * @param log receives the events
     * @param meters registry for metrics
     */
    record Environment(
            Settings settings,
            LogClient store,
            FrameTransport transport,
            MonotonicClock clock,
            Clock wallClock,
            long incarnation,
            RandomGenerator random,
            EventLog log,
            MeterRegistry meters) {}

    /** Spawns and connects all actors as children of {@code context}. */
    static EntryParts start(ActorContext<?> context, Environment env, WorkStarter workStarter) {
        Settings settings = env.settings();
        RegionLogClient store = new RegionLogClient(env.store(), env.clock());
        long retentionMs = settings.number(Setting.STORE_RETENTION_MS);
        ActorRef<RulesCommand> rules =
                context.spawn(RulesActor.construct(store, env.clock(), env.log(), retentionMs), "rules");
        ActorRef<DirectoryCommand> directory = context.spawn(constructDirectory(env), "directory");
        BudgetSettings budgetSettings = new BudgetSettings(settings.text(Setting.ID), retentionMs, env.wallClock());
        ActorRef<BudgetCommand> budget = context.spawn(
                BudgetActor.construct(budgetSettings, store, env.clock(), env.log(), env.meters()), "budget");
        AtomicReference<Set<String>> servicesInOtherRegions = new AtomicReference<>(Set.of());
        AtomicReference<ActorRef<PeersCommand>> peersReference = new AtomicReference<>();
        CallService calls = new CallService(
                directory,
                budget,
                new PeerForwarder(servicesInOtherRegions, peersReference, env.clock()),
                env.clock(),
                new CallMeters(env.meters()));
        PeerDependencies dependencies =
                new PeerDependencies(calls, store.direct(), store::isReachable, rules, servicesInOtherRegions);
        ActorRef<PeersCommand> peers = context.spawn(
                PeersActor.construct(toPeersSettings(env), dependencies, env.transport(), env.clock(), env.log()),
                "peers");
        peersReference.set(peers);
        store.connect(peers);
        boolean isStoreRegion = settings.text(Setting.STORE_REGION).equals(settings.text(Setting.REGION));
        peers.tell(new PeersCommand.SubscribeLive(liveEntries -> {
            store.setLive(liveEntries);
            boolean writes = isStoreRegion && liveEntries.isThisEntryReader();
            rules.tell(new RulesCommand.SetSnapshotWriter(writes));
            budget.tell(new BudgetCommand.EntriesChanged(liveEntries.count(), writes));
            directory.tell(new DirectoryCommand.EntriesChanged(liveEntries.regionAddresses()));
        }));
        directory.tell(new DirectoryCommand.SubscribeSummary(
                summary -> peers.tell(new PeersCommand.GuardSummaryChanged(summary))));
        ActorRef<RulesInForce> rulesSubscriber = context.spawn(
                Behaviors.receiveMessage(inForce -> {
                    calls.setRules(inForce);
                    budget.tell(new BudgetCommand.RulesChanged(inForce));
                    directory.tell(new DirectoryCommand.RulesRevised(inForce.revision()));
                    peers.tell(new PeersCommand.RulesChanged(inForce));
                    return Behaviors.same();
                }),
                "rules-fan-out");
        rules.tell(new RulesCommand.Subscribe(rulesSubscriber));
        WorkDependencies workDependencies = new WorkDependencies(
                store,
                directory,
                peers,
                subscriber -> rules.tell(new RulesCommand.Subscribe(subscriber)),
                env.clock(),
                env.wallClock(),
                env.random(),
                env.log(),
                env.meters());
        ActorRef<WorkCommand> work =
                workStarter.start(context, WorkSettings.of(settings, env.incarnation()), workDependencies);
        return new EntryParts(new EntryActors(directory, rules, budget, peers, work), calls);
    }

    private record PeerForwarder(
            AtomicReference<Set<String>> servicesInOtherRegions,
            AtomicReference<ActorRef<PeersCommand>> peers,
            MonotonicClock clock)
            implements CallForwarder {
        @Override
        public boolean hasFreeSlotsInOtherRegion(String service) {
            return servicesInOtherRegions.get().contains(service);
        }

        @Override
        public void mintInOtherRegion(String service, Consumer<Result<String>> reply) {
            // A forwarded call without a method is a request for an id.
            CallRequest mintRequest = new CallRequest(
                    "", service, "", "", List.of(), new byte[0], "", true, clock.nowMs() + MINT_TIMEOUT_MS, true, null);
            forward(
                    mintRequest,
                    answer -> reply.accept(
                            answer instanceof CallAnswer.Answered answered
                                    ? Result.ok(answered.requestId())
                                    : Result.err(ErrorCode.NO_TARGET, "no target of " + service + " is ready")));
        }

        @Override
        public void forward(CallRequest request, Consumer<CallAnswer> reply) {
            peers.get().tell(new PeersCommand.Forward(request, reply));
        }
    }

    private static Behavior<DirectoryCommand> constructDirectory(Environment env) {
        Settings settings = env.settings();
        GuardDirectory guards = new GuardDirectory();
        int maxQueued = settings.intNumber(Setting.MAX_QUEUED_CALLS);
        CallRouter router =
                new CallRouter(guards, settings.text(Setting.ZONE), maxQueued, env.random(), env.clock(), env.log());
        DirectorySettings directorySettings = new DirectorySettings(
                settings.text(Setting.ID),
                findAdvertisedAddress(settings),
                settings.intNumber(Setting.SILENCE_TIMEOUT_MS),
                settings.intNumber(Setting.HEARTBEAT_MS),
                maxQueued);
        return DirectoryActor.construct(directorySettings, guards, router, env.clock(), env.log(), env.meters());
    }

    private static PeersSettings toPeersSettings(Environment env) {
        Settings settings = env.settings();
        List<String> addresses = settings.addresses(Setting.PEERS).stream()
                .map(Address::toString)
                .toList();
        return new PeersSettings(
                settings.text(Setting.ID),
                settings.text(Setting.ZONE),
                settings.text(Setting.REGION),
                findAdvertisedAddress(settings),
                env.incarnation(),
                addresses,
                settings.intNumber(Setting.HEARTBEAT_MS));
    }

    private static String findAdvertisedAddress(Settings settings) {
        String advertised = settings.text(Setting.ADVERTISE);
        return advertised.isEmpty() ? settings.text(Setting.LISTEN) : advertised;
    }
}
