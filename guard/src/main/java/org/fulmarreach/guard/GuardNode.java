package org.fulmarreach.guard;

import java.net.URI;
import java.security.SecureRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;

import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.fulmarreach.core.request.TableLimits;
import org.fulmarreach.platform.HttpWorkerClient;
import org.fulmarreach.platform.TargetClient;
import org.fulmarreach.platform.TargetClientSettings;
import org.fulmarreach.platform.WorkerClient;
import org.fulmarreach.runtime.cfg.Setting;
import org.fulmarreach.runtime.cfg.Settings;
import org.fulmarreach.runtime.log.EventLog;
import org.fulmarreach.runtime.net.FrameTransport;
import org.fulmarreach.runtime.net.LinkSettings;
import org.fulmarreach.runtime.util.ActorSystems;
import org.fulmarreach.runtime.util.Invariants;
import org.fulmarreach.runtime.util.MonotonicClock;

import io.micrometer.core.instrument.MeterRegistry;

/**
 * A running guard. It is created by {@link #start}; a planned stop calls {@link #drain} and then {@link #close}.
 * Thread-safe.
 */
public final class GuardNode implements AutoCloseable {
    private static final int THREADS = 2;

    /** Resolution of timers. A tick of 10 ms uses 0.7% of a core when idle; a node may use 2.5%. */
    private static final int TICK_MS = 50;

    private static final int INCARNATION_RANDOM_BITS = 20;
    /** Starts, checkpoints and stops at the worker agent must end well within its lease of 5 s. */
    private static final int WORKER_TIMEOUT_MS = 2_000;

    private static final long CLOSE_TIMEOUT_S = 5;

    private final ActorSystem<GuardCommand> system;
    private final CompletableFuture<Void> drained;
    private final long incarnation;

    private GuardNode(ActorSystem<GuardCommand> system, CompletableFuture<Void> drained, long incarnation) {
        this.system = system;
        this.drained = drained;
        this.incarnation = incarnation;
    }

    /*
     * Life cycle
     */

    /**
     * Starts a guard.
     *
     * @param settings validated settings of the guard role
     * @param clock monotonic clock of this process
     * @param log events
     * @param meters metrics
     * @return the running guard
     */
    public static GuardNode start(Settings settings, MonotonicClock clock, EventLog log, MeterRegistry meters) {
        SecureRandom random = new SecureRandom();
        long incarnation = createIncarnation(System.currentTimeMillis(), random.nextInt());
        CompletableFuture<Void> drained = new CompletableFuture<>();
        ActorSystem<GuardCommand> system = ActorSystems.construct(
                GuardianActor.create(
                        settings.number(Setting.DRAIN_TIMEOUT_MS),
                        log,
                        drained,
                        context -> spawn(context, settings, clock, log, meters, incarnation)),
                "guard",
                THREADS,
                TICK_MS);
        return new GuardNode(system, drained, incarnation);
    }

    /** Begins a planned stop; the stage completes when calls and tasks have ended or the drain timeout has passed. */
    public CompletionStage<Void> drain() {
        system.tell(new GuardCommand.Drain("planned stop"));
        return drained.minimalCompletionStage();
    }

    /** Stops the guard at once; running calls are aborted. */
    @Override
    public void close() {
        system.terminate();
        try {
            system.getWhenTerminated().toCompletableFuture().get(CLOSE_TIMEOUT_S, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (java.util.concurrent.ExecutionException | java.util.concurrent.TimeoutException e) {
            system.log().warn("The actor system did not stop within {} s.", CLOSE_TIMEOUT_S, e);
        }
    }

    /*
     * Public API
     */

    /** Returns the incarnation of this guard. */
    public long incarnation() {
        return incarnation;
    }

    /** Completes when the guard has stopped, also after a violated invariant. */
    public CompletionStage<Void> whenStopped() {
        return system.getWhenTerminated().thenApply(done -> null);
    }

    /*
     * Helpers
     */

    /**
     * Returns the incarnation of a guard: wall-clock milliseconds in the high bits, random in the low 20 bits. A VM
     * keeps no state, so the wall clock is the only source that increases over restarts; the random bits distinguish
     * two starts within one millisecond. If the wall clock was set back by more than the duration of a restart, the
     * incarnation is lower than the previous one. Request ids stay safe, since they compare incarnations only for
     * equality.
     */
    static long createIncarnation(long wallClockMs, int randomBits) {
        return (wallClockMs << INCARNATION_RANDOM_BITS) | (randomBits & ((1 << INCARNATION_RANDOM_BITS) - 1));
    }

    private static GuardianActor.Children spawn(
            ActorContext<GuardCommand> context,
            Settings settings,
            MonotonicClock clock,
            EventLog log,
            MeterRegistry meters,
            long incarnation) {
        ActorRef<TaskCommand> tasks = context.spawn(
                TaskActor.create(new TaskActor.Dependencies(
                        incarnation,
                        settings.intNumber(Setting.WORKER_LEASE_MS),
                        createWorkerClient(context, settings),
                        clock,
                        log,
                        new Invariants(meters, log),
                        context.getSelf())),
                "tasks");
        ActorRef<CallCommand> calls = context.spawn(
                CallActor.create(new CallActor.Dependencies(
                        settings.text(Setting.ID),
                        incarnation,
                        settings.number(Setting.HEARTBEAT_MS),
                        settings.intNumber(Setting.MAX_BODY_BYTES),
                        TableLimits.DEFAULT.withMaxAnswerBytes(settings.number(Setting.MAX_ANSWER_CACHE_BYTES)),
                        createGateway(context, settings),
                        clock,
                        log,
                        meters,
                        context.getSelf(),
                        tasks)),
                "calls");
        ActorRef<LinksCommand> links = context.spawn(
                EntryLinksActor.create(new EntryLinksActor.Dependencies(
                        new EntryLinksActor.Identity(
                                settings.text(Setting.ID),
                                settings.text(Setting.VM),
                                incarnation,
                                settings.text(Setting.ZONE),
                                settings.text(Setting.REGION),
                                settings.text(Setting.RACK)),
                        settings.addresses(Setting.ENTRIES),
                        settings.number(Setting.HEARTBEAT_MS),
                        !settings.text(Setting.WORKER).isEmpty(),
                        settings.number(Setting.WORKER_LEASE_MS),
                        createTransport(context, settings, log)::connect,
                        new FrameRouter(calls, tasks, context.getSelf()),
                        clock,
                        new SecureRandom())),
                "links");
        return new GuardianActor.Children(calls, tasks, links);
    }

    private static TargetGateway createGateway(ActorContext<?> context, Settings settings) {
        URI target = URI.create(settings.text(Setting.TARGET));
        TargetClientSettings clientSettings = TargetClientSettings.of(
                        target.getHost(), target.getPort(), CallActor.MAX_CONNECTIONS)
                .withMaxBodyBytes(settings.intNumber(Setting.MAX_BODY_BYTES));
        return TargetGateway.to(new TargetClient(context.getSystem(), clientSettings));
    }

    /** Returns the client of the worker agent; null if the VM has none. */
    private static WorkerClient createWorkerClient(ActorContext<?> context, Settings settings) {
        if (settings.text(Setting.WORKER).isEmpty()) {
            return null;
        }
        URI worker = URI.create(settings.text(Setting.WORKER));
        return new HttpWorkerClient(context.getSystem(), worker.getHost(), worker.getPort(), WORKER_TIMEOUT_MS);
    }

    private static FrameTransport createTransport(ActorContext<?> context, Settings settings, EventLog log) {
        LinkSettings links = LinkSettings.DEFAULT.withSilenceTimeoutMs(settings.intNumber(Setting.SILENCE_TIMEOUT_MS));
        return new FrameTransport(context.getSystem(), links, log);
    }
}
