package org.fulmarreach.entry.jobs;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;
import java.util.stream.Collectors;

import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.stream.Materializer;
import org.apache.pekko.stream.SystemMaterializer;
import org.fulmarreach.core.jobs.JobTimeLimits;
import org.fulmarreach.platform.ingress.JobCodec;
import org.fulmarreach.platform.node.NodeSettings;
import org.fulmarreach.platform.store.HttpStoreClient;
import org.fulmarreach.runtime.cfg.Address;
import org.fulmarreach.runtime.log.EventLog;
import org.fulmarreach.runtime.log.RuntimeEvent;
import org.fulmarreach.runtime.net.ClientAdmission;
import org.fulmarreach.runtime.net.ClientLimits;
import org.fulmarreach.runtime.net.FrameTransport;
import org.fulmarreach.runtime.net.HttpBinding;
import org.fulmarreach.runtime.net.HttpListener;
import org.fulmarreach.runtime.net.LinkSettings;
import org.fulmarreach.runtime.util.ActorSystems;
import org.fulmarreach.runtime.util.MonotonicClock;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;

/** A running entry on the users' platform: the actor system and the listeners. Thread-safe. */
public final class JobsNode {
    /** The platform checks readiness once a second and removes an entry from rotation after two failed checks. */
    private static final long LEAVE_ROTATION_MS = 2_300;

    /** Requests that arrive in the last second before the process ends are refused: an append may need that long. */
    private static final long REFUSAL_RESERVE_MS = 1_000;

    /** Time for writing the answers to requests that are still undecided at the end of the drain. */
    private static final long ANSWER_RESERVE_MS = 400;

    /**
     * The listener closes after this time without a request. While other entries of its zone are stopping, too, the
     * platform sends requests to an entry that is not ready.
     */
    private static final long QUIET_MS = 300;

    /** The drain reports its own end before the caller of {@link #drain} gives up. */
    private static final long EXIT_RESERVE_MS = 100;

    private static final double MS_PER_SECOND = 1_000;
    private static final double MILLI_CORES_PER_CORE = 1_000;
    private static final int THREADS = 2;
    private static final int MAX_CONNECTIONS = 2_000;
    private static final int MAX_OPERATOR_CONNECTIONS = 16;

    /** Largest body that is buffered; the configuration may allow less. */
    private static final int MAX_BODY_BYTES = 4 << 20;

    /** The headers that the endpoints read, in lower case. */
    private static final Set<String> READ_HEADERS =
            Set.of("host", "content-type", JobCodec.DEADLINE_HEADER.toLowerCase(Locale.ROOT));

    /** Guards report every 500 ms; three missed reports close a session. */
    private static final int SILENCE_TIMEOUT_MS = 1_600;

    /** A connection to another entry is closed when it has had no answer for this long. */
    private static final LinkSettings FORWARD_LINKS = new LinkSettings(2_000, 300, 4 << 20, 8 << 20);

    private static final long RESIGN_TIMEOUT_MS = 600;

    private final ActorSystem<JobsCommand> system;
    private final JobsHttp http;
    private final CompletableFuture<HttpBinding> callers;
    private final MonotonicClock clock;
    private final EventLog log;

    private JobsNode(
            ActorSystem<JobsCommand> system,
            JobsHttp http,
            CompletableFuture<HttpBinding> callers,
            MonotonicClock clock,
            EventLog log) {
        this.system = system;
        this.http = http;
        this.callers = callers;
        this.clock = clock;
        this.log = log;
    }

    /**
     * Starts an entry.
     *
     * @param settings settings of the process
     * @param clock monotonic clock
     * @param log event log
     * @param meters metrics, served at {@code /metrics} on the second internal port
     * @param refusesUseless whether jobs are refused whose results would come too late to be of any use
     */
    public static JobsNode start(
            NodeSettings settings,
            MonotonicClock clock,
            EventLog log,
            PrometheusMeterRegistry meters,
            boolean refusesUseless) {
        long startedAtMs = clock.nowMs();
        Address store = Address.parse(settings.storeAddress());
        Address guards = new Address(settings.ipAddress(), settings.firstInternalPort());
        AtomicReference<JobsCommand.View> view = new AtomicReference<>(JobsCommand.View.starting());
        JobTimeLimits limits = new JobTimeLimits(
                settings.bounds().leaseMs(),
                settings.bounds().statusRetentionMs(),
                settings.bounds().cancelMs(),
                settings.bounds().runStopMs(),
                settings.bounds().evacuationMs());
        // The client needs the actor system, and the actor needs the client: the client is created in the setup.
        ActorSystem<JobsCommand> system = ActorSystems.construct(
                Behaviors.setup(context -> JobsActor.create(
                        new HttpStoreClient(context.getSystem(), store.host(), store.port(), settings.storeLimits()),
                        new NetworkEntryLinks(
                                new FrameTransport(context.getSystem(), FORWARD_LINKS, log),
                                usableAddresses(settings.entryAddresses(), log)),
                        new JobsActor.Identity(settings.node(), guards.toString()),
                        limits,
                        new ConfigReadBudget(settings.bounds().configApplyMs()),
                        clock,
                        log,
                        view,
                        new Random(settings.node().hashCode()))),
                "entry",
                THREADS);
        Materializer materializer = SystemMaterializer.get(system).materializer();
        registerGauges(view, clock, meters);
        JobsHttp http = new JobsHttp(system::tell, view, materializer, clock, log, meters, refusesUseless);
        ReportTurns reportTurns = new ReportTurns(system::tell);
        FrameTransport transport =
                new FrameTransport(system, LinkSettings.DEFAULT.withSilenceTimeoutMs(SILENCE_TIMEOUT_MS), log);
        transport
                .bind(guards.host(), guards.port(), () -> new GuardConnection(reportTurns))
                .thenAccept(binding -> system.tell(new JobsCommand.Listening(startedAtMs)));
        ClientAdmission admission =
                new ClientAdmission(ClientLimits.of(System.getenv(), settings.fileDescriptors()), clock, log);
        admission.register(meters);
        bind(
                system,
                new HttpListener.Endpoint(
                        Address.parse(settings.readinessAddress()), MAX_OPERATOR_CONNECTIONS, 0, READ_HEADERS),
                admission,
                log,
                request -> readiness(http, request));
        bind(
                system,
                new HttpListener.Endpoint(
                        new Address(settings.ipAddress(), settings.firstInternalPort() + 1),
                        MAX_OPERATOR_CONNECTIONS,
                        0,
                        READ_HEADERS),
                admission,
                log,
                request -> handleOperatorRequest(system, meters, request));
        CompletionStage<HttpBinding> callers = bind(
                system,
                new HttpListener.Endpoint(
                        Address.parse(settings.callerAddress()),
                        ClientLimits.maxConnections(System.getenv(), MAX_CONNECTIONS),
                        MAX_BODY_BYTES,
                        READ_HEADERS),
                admission,
                log,
                http::handle);
        return new JobsNode(system, http, callers.toCompletableFuture(), clock, log);
    }

    /**
     * Drains the entry: reports not ready, resigns leadership, answers requests until no more arrive, and closes the
     * listener after all answers have been written.
     *
     * @param timeoutMs time after which the process ends; all requests are answered before
     * @return completed when draining is finished
     */
    public CompletionStage<?> drain(long timeoutMs) {
        long startedAtMs = clock.nowMs();
        CompletableFuture<Void> resigned = new CompletableFuture<>();
        http.close(startedAtMs + timeoutMs - REFUSAL_RESERVE_MS, startedAtMs + timeoutMs - ANSWER_RESERVE_MS);
        system.tell(new JobsCommand.Drain(resigned));
        resigned.completeOnTimeout(null, RESIGN_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        long acceptMs = Math.max(0, timeoutMs - REFUSAL_RESERVE_MS);
        long rotationMs = Math.min(LEAVE_ROTATION_MS, acceptMs);
        return CompletableFuture.supplyAsync(
                        () -> null, CompletableFuture.delayedExecutor(rotationMs, TimeUnit.MILLISECONDS))
                .thenCompose(ignored -> callers)
                .thenCompose(binding ->
                        binding.drain(QUIET_MS, acceptMs - rotationMs, timeoutMs - rotationMs - EXIT_RESERVE_MS))
                .thenCombine(resigned, (unanswered, ignored) -> unanswered)
                .thenAccept(this::logUnanswered);
    }

    private void logUnanswered(int connections) {
        if (connections > 0) {
            log.emit(RuntimeEvent.DRAIN_TIMEOUT, "connectionsWithoutAnswer", connections);
        }
    }

    /** Returns a stage that completes when the actor system has terminated, which happens only after a failure. */
    public CompletionStage<?> whenStopped() {
        return system.getWhenTerminated();
    }

    static void registerGauges(AtomicReference<JobsCommand.View> view, MonotonicClock clock, MeterRegistry meters) {
        Gauge.builder(
                        "fulmarreach.config.age",
                        () -> view.get().config() == null
                                ? Double.NaN
                                : view.get().configAgeMs(clock.nowMs()) / MS_PER_SECOND)
                .description("For how long a newer configuration may have been confirmed; none before the first")
                .baseUnit("seconds")
                .register(meters);
        Gauge.builder("fulmarreach.zones.evacuated", () -> view.get().evacuatedZones())
                .description("Zones that the operators have evacuated, as known to this entry")
                .register(meters);
        Gauge.builder("fulmarreach.jobs.standing.wait", () -> view.get().standingWaitMs() / MS_PER_SECOND)
                .description("How long the standing task that has waited longest is not at work; 0 without leadership")
                .baseUnit("seconds")
                .register(meters);
        Gauge.builder("fulmarreach.jobs.headroom", () -> view.get().headroomMilliCores() / MILLI_CORES_PER_CORE)
                .description("Processors that standing tasks leave to short jobs; 0 without leadership")
                .baseUnit("cores")
                .register(meters);
    }

    /*
     * Helpers
     */

    /** Leaves out addresses that name no process, which would fail at once and be tried again without a pause. */
    private static List<String> usableAddresses(List<String> addresses, EventLog log) {
        Map<Boolean, List<String>> byUse = addresses.stream()
                .collect(Collectors.partitioningBy(
                        address -> Address.findPeer(address).isPresent()));
        byUse.get(false).forEach(address -> log.emit(RuntimeEvent.ADDRESS_REFUSED, "address", address));
        return byUse.get(true);
    }

    private static CompletionStage<HttpBinding> bind(
            ActorSystem<?> system,
            HttpListener.Endpoint endpoint,
            ClientAdmission admission,
            EventLog log,
            Function<HttpRequest, CompletionStage<HttpResponse>> handler) {
        return HttpListener.bind(system, endpoint, admission, handler, (request, failure) -> {
            log.emit(JobEvent.REQUEST_REFUSED, "id", request.getUri().path(), "status", 500, "reason", failure);
            return HttpResponse.create().withStatus(500);
        });
    }

    private static CompletionStage<HttpResponse> readiness(JobsHttp http, HttpRequest request) {
        boolean readinessPath = request.getUri().path().equals(JobCodec.READINESS_PATH);
        return CompletableFuture.completedFuture(
                readinessPath ? http.readiness() : HttpResponse.create().withStatus(404));
    }

    private static CompletionStage<HttpResponse> handleOperatorRequest(
            ActorSystem<JobsCommand> system, PrometheusMeterRegistry meters, HttpRequest request) {
        return switch (request.getUri().path()) {
            case "/metrics" -> CompletableFuture.completedFuture(text(meters.scrape()));
            case "/state" -> {
                CompletableFuture<String> answer = new CompletableFuture<>();
                system.tell(new JobsCommand.Describe(answer));
                yield answer.thenApply(JobsNode::text);
            }
            default -> CompletableFuture.completedFuture(HttpResponse.create().withStatus(404));
        };
    }

    private static HttpResponse text(String body) {
        return HttpResponse.create().withEntity(ContentTypes.TEXT_PLAIN_UTF8, body.getBytes(StandardCharsets.UTF_8));
    }
}
