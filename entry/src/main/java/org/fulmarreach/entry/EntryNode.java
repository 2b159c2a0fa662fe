package org.fulmarreach.entry;

import java.net.InetSocketAddress;
import java.net.URI;
import java.security.SecureRandom;
import java.time.Clock;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Function;

import org.apache.pekko.Done;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.Terminated;
import org.apache.pekko.actor.typed.javadsl.AskPattern;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.fulmarreach.entry.budget.BudgetCommand;
import org.fulmarreach.entry.calls.CallService;
import org.fulmarreach.entry.http.EntryActors;
import org.fulmarreach.entry.http.EntryHttp;
import org.fulmarreach.entry.peers.PeersCommand;
import org.fulmarreach.entry.work.WorkCommand;
import org.fulmarreach.entry.work.WorkNode;
import org.fulmarreach.platform.HttpLogClient;
import org.fulmarreach.platform.LogClient;
import org.fulmarreach.platform.LogClientSettings;
import org.fulmarreach.runtime.cfg.Address;
import org.fulmarreach.runtime.cfg.Setting;
import org.fulmarreach.runtime.cfg.Settings;
import org.fulmarreach.runtime.log.EventLog;
import org.fulmarreach.runtime.net.FrameBinding;
import org.fulmarreach.runtime.net.FrameTransport;
import org.fulmarreach.runtime.net.LinkSettings;
import org.fulmarreach.runtime.util.ActorSystems;
import org.fulmarreach.runtime.util.MonotonicClock;

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;

/** A running entry: its actors, its listener for guards and entries, and its HTTP listeners. Thread-safe. */
public final class EntryNode implements AutoCloseable {
    private static final int THREADS = 4;
    private static final long START_TIMEOUT_MS = 15_000;
    private static final long POLL_MS = 20;

    /** Part of the drain timeout reserved for releasing the shards, returning the purse and closing the listeners. */
    private static final long RELEASE_RESERVE_MS = 6_000;

    private static final Duration RELEASE_TIMEOUT = Duration.ofSeconds(3);

    private final ActorSystem<Void> system;
    private final EntryParts parts;
    private final FrameBinding frames;
    private final EntryHttp http;
    private final long drainTimeoutMs;
    private final MonotonicClock clock;
    private final AtomicBoolean closing = new AtomicBoolean();

    private EntryNode(
            ActorSystem<Void> system,
            EntryParts parts,
            FrameBinding frames,
            EntryHttp http,
            long drainTimeoutMs,
            MonotonicClock clock) {
        this.system = system;
        this.parts = parts;
        this.frames = frames;
        this.http = http;
        this.drainTimeoutMs = drainTimeoutMs;
        this.clock = clock;
    }

    /*
     * Life cycle
     */

    /**
     * Starts an entry.
     *
     * @param settings settings of the role ENTRY
     * @param clock monotonic clock
     * @param log receives the events
     * @param meters registry that {@code /metrics} exposes
     * @return the running entry, with its listeners bound
     * @throws java.util.concurrent.CompletionException if a listener cannot be bound
     */
    public static EntryNode start(
            Settings settings, MonotonicClock clock, EventLog log, PrometheusMeterRegistry meters) {
        return start(settings, clock, log, meters, WorkNode::start);
    }

    /** Like the {@code start} above, but {@code work} starts the actor that leads the shards. */
    public static EntryNode start(
            Settings settings, MonotonicClock clock, EventLog log, PrometheusMeterRegistry meters, WorkStarter work) {
        return start(settings, clock, log, meters, work, system -> constructStore(system, settings));
    }

    /** Like the {@code start} above, but {@code stores} constructs the client of the log service. */
    static EntryNode start(
            Settings settings,
            MonotonicClock clock,
            EventLog log,
            PrometheusMeterRegistry meters,
            WorkStarter work,
            Function<ActorSystem<?>, LogClient> stores) {
        CompletableFuture<EntryParts> ready = new CompletableFuture<>();
        FrameTransport[] transport = new FrameTransport[1];
        ActorSystem<Void> system = ActorSystems.construct(
                Behaviors.setup(context -> {
                    LinkSettings links =
                            LinkSettings.DEFAULT.withSilenceTimeoutMs(settings.intNumber(Setting.SILENCE_TIMEOUT_MS));
                    transport[0] = new FrameTransport(context.getSystem(), links, log);
                    LogClient store = stores.apply(context.getSystem());
                    EntryParts.Environment environment = new EntryParts.Environment(
                            settings,
                            store,
                            transport[0],
                            clock,
                            Clock.systemUTC(),
                            System.currentTimeMillis(),
                            new SecureRandom(),
                            log,
                            meters);
                    EntryParts parts = EntryParts.start(context, environment, work);
                    parts.actors().all().forEach(context::watch);
                    ready.complete(parts);
                    return stopWithAnyActor(log);
                }),
                "entry",
                THREADS);
        try {
            EntryParts parts =
                    ready.orTimeout(START_TIMEOUT_MS, TimeUnit.MILLISECONDS).join();
            EntryActors actors = parts.actors();
            Address listen = settings.address(Setting.LISTEN);
            CompletionStage<FrameBinding> frames = transport[0].bind(
                    listen.host(), listen.port(), () -> new LinkAcceptor(actors.directory(), actors.peers(), log));
            CompletionStage<EntryHttp> http = EntryHttp.start(system, settings, actors, parts.calls(), log, meters);
            return frames.thenCombine(
                            http,
                            (bound, listeners) -> new EntryNode(
                                    system, parts, bound, listeners, settings.number(Setting.DRAIN_TIMEOUT_MS), clock))
                    .toCompletableFuture()
                    .join();
        } catch (RuntimeException e) {
            system.terminate();
            throw e;
        }
    }

    /**
     * Stops in an orderly way: refuses new calls, waits for running calls, releases the shards, returns the purse, then
     * closes. Returns within the drain timeout.
     */
    public void drain() {
        CallService calls = parts.calls();
        EntryActors actors = parts.actors();
        calls.drain();
        actors.peers().tell(new PeersCommand.Leave());
        long deadlineMs = clock.nowMs() + Math.max(POLL_MS, drainTimeoutMs - RELEASE_RESERVE_MS);
        while (calls.countRunning() > 0 && clock.nowMs() < deadlineMs) {
            sleep();
        }
        CompletableFuture<Done> purseReturned = new CompletableFuture<>();
        actors.budget().tell(new BudgetCommand.Close(purseReturned));
        CompletionStage<Done> shardsReleased = AskPattern.<WorkCommand, Done>ask(
                actors.work(), WorkCommand.Resign::new, RELEASE_TIMEOUT, system.scheduler());
        CompletableFuture.allOf(purseReturned, shardsReleased.toCompletableFuture())
                .orTimeout(RELEASE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
                .exceptionally(failure -> null)
                .join();
        close();
    }

    @Override
    public void close() {
        if (!closing.compareAndSet(false, true)) {
            return;
        }
        frames.unbind();
        http.close().toCompletableFuture().exceptionally(failure -> null).join();
        system.terminate();
        system.getWhenTerminated().toCompletableFuture().join();
    }

    /*
     * Public API
     */

    /** Returns a stage that completes when the entry has stopped, after a drain or because one of its actors failed. */
    public CompletionStage<Done> whenStopped() {
        return system.getWhenTerminated();
    }

    /** Returns the address that guards and other entries connect to. */
    public InetSocketAddress frameAddress() {
        return frames.localAddress();
    }

    /** Returns the address for callers. */
    public InetSocketAddress callerAddress() {
        return http.callerAddress();
    }

    /** Returns the address for operators. */
    public InetSocketAddress operatorAddress() {
        return http.operatorAddress();
    }

    /*
     * Helpers
     */

    /**
     * Stops the entry when any of its actors stops. Without one it could serve only some requests; the load balancer
     * selects another entry instead.
     */
    private static Behavior<Void> stopWithAnyActor(EventLog log) {
        return Behaviors.receiveSignal((context, signal) -> {
            if (signal instanceof Terminated ended) {
                log.emit(EntryEvent.PART_FAILED, "part", ended.getRef().path().name());
                return Behaviors.stopped();
            }
            return Behaviors.same();
        });
    }

    private static LogClient constructStore(ActorSystem<?> system, Settings settings) {
        URI store = URI.create(settings.text(Setting.STORE));
        int timeoutMs = settings.intNumber(Setting.STORE_TIMEOUT_MS);
        LogClientSettings defaults =
                LogClientSettings.of(store.getHost(), store.getPort(), settings.text(Setting.REGION));
        return new HttpLogClient(
                system,
                defaults.withTimeoutsMs(
                        Math.min(timeoutMs, defaults.connectTimeoutMs()), timeoutMs, timeoutMs, defaults.maxWaitMs()));
    }

    private static void sleep() {
        try {
            Thread.sleep(POLL_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
