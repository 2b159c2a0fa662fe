package org.fulmarreach.entry.http;

import java.net.InetSocketAddress;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicInteger;

import org.apache.pekko.Done;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.fulmarreach.core.exc.ErrorCode;
import org.fulmarreach.core.exc.Problem;
import org.fulmarreach.entry.EntryEvent;
import org.fulmarreach.entry.calls.CallService;
import org.fulmarreach.runtime.cfg.Setting;
import org.fulmarreach.runtime.cfg.Settings;
import org.fulmarreach.runtime.log.EventLog;
import org.fulmarreach.runtime.net.ClientAdmission;
import org.fulmarreach.runtime.net.ClientLimits;
import org.fulmarreach.runtime.net.HttpBinding;
import org.fulmarreach.runtime.net.HttpListener;
import org.fulmarreach.runtime.util.MonotonicClock;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;

/** The two HTTP listeners of an entry, one for callers and one for operators. Thread-safe. */
public final class EntryHttp {
    private static final int MAX_OPERATOR_CONNECTIONS = 64;
    private static final long CLOSE_TIMEOUT_MS = 2_000;

    private final HttpBinding callers;
    private final HttpBinding operators;

    private EntryHttp(HttpBinding callers, HttpBinding operators) {
        this.callers = callers;
        this.operators = operators;
    }

    /*
     * Life cycle
     */

    /**
     * Binds both listeners.
     *
     * @param system actor system that runs the listeners
     * @param settings addresses, token and limits
     * @param actors actors of the entry
     * @param calls service that processes calls
     * @param log receives the events
     * @param meters registry that {@code /metrics} exposes
     * @return stage that completes once both listeners are bound
     */
    public static CompletionStage<EntryHttp> start(
            ActorSystem<?> system,
            Settings settings,
            EntryActors actors,
            CallService calls,
            EventLog log,
            PrometheusMeterRegistry meters) {
        BodyReader bodies = new BodyReader(system, settings.intNumber(Setting.MAX_BODY_BYTES));
        BodyReader operatorBodies = new BodyReader(system, settings.intNumber(Setting.MAX_BODY_BYTES));
        CallEndpoint callEndpoint = new CallEndpoint(calls, actors.directory(), bodies);
        OperatorEndpoint operatorEndpoint = new OperatorEndpoint(
                system, actors, new RulesEndpoint(actors, calls), operatorBodies, meters, settings.text(Setting.TOKEN));
        AtomicInteger running = new AtomicInteger();
        int maxConnections = settings.intNumber(Setting.MAX_HTTP_CONNECTIONS);
        registerGauges(meters, bodies, running, maxConnections);
        ClientAdmission admission = new ClientAdmission(ClientLimits.of(settings), MonotonicClock.system(), log);
        admission.register(meters);
        int maxBodyBytes = settings.intNumber(Setting.MAX_BODY_BYTES);
        CompletionStage<HttpBinding> callers = HttpListener.bind(
                system,
                new HttpListener.Endpoint(settings.address(Setting.HTTP), maxConnections, maxBodyBytes, Set.of()),
                admission,
                request -> handleCounted(running, callEndpoint, request),
                (request, failure) -> handleFailure(log, request, failure));
        CompletionStage<HttpBinding> operators = HttpListener.bind(
                system,
                new HttpListener.Endpoint(
                        settings.address(Setting.OPERATOR_HTTP), MAX_OPERATOR_CONNECTIONS, maxBodyBytes, Set.of()),
                admission,
                operatorEndpoint::handle,
                (request, failure) -> handleFailure(log, request, failure));
        return callers.thenCombine(operators, EntryHttp::new);
    }

    /** Closes the listeners; requests in progress have 2 s to finish. */
    public CompletionStage<Done> close() {
        return callers.drain(0, 0, CLOSE_TIMEOUT_MS)
                .thenCombine(operators.drain(0, 0, CLOSE_TIMEOUT_MS), (first, second) -> Done.getInstance());
    }

    /*
     * Public API
     */

    /** Returns the address for callers. */
    public InetSocketAddress callerAddress() {
        return callers.localAddress();
    }

    /** Returns the address for operators. */
    public InetSocketAddress operatorAddress() {
        return operators.localAddress();
    }

    private static HttpResponse handleFailure(EventLog log, HttpRequest request, Throwable failure) {
        log.emit(EntryEvent.REQUEST_FAILED, "path", request.getUri().path(), "reason", failure);
        return JsonBodies.toError(
                500,
                null,
                Problem.of(ErrorCode.INVARIANT_VIOLATED, "internal error of the entry; its log names the cause"));
    }

    private static CompletionStage<HttpResponse> handleCounted(
            AtomicInteger running, CallEndpoint endpoint, HttpRequest request) {
        running.incrementAndGet();
        return endpoint.handle(request).whenComplete((response, failure) -> running.decrementAndGet());
    }

    private static void registerGauges(
            PrometheusMeterRegistry meters, BodyReader bodies, AtomicInteger running, int maxConnections) {
        Gauge.builder("fulmarreach.entry.http.requests", running::get).register(meters);
        Gauge.builder("fulmarreach.entry.http.connections.limit", () -> maxConnections)
                .register(meters);
        Gauge.builder("fulmarreach.entry.http.body.bytes", bodies::reservedBytes)
                .register(meters);
        Gauge.builder("fulmarreach.entry.http.body.bytes.limit", () -> BodyReader.MAX_RESERVED_BYTES)
                .register(meters);
    }
}
