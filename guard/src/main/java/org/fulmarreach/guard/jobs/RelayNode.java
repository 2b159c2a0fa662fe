package org.fulmarreach.guard.jobs;

import java.io.IOException;
import java.time.InstantSource;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.stream.Materializer;
import org.apache.pekko.stream.SystemMaterializer;
import org.fulmarreach.core.jobs.JobTimeLimits;
import org.fulmarreach.platform.StrictEntities;
import org.fulmarreach.platform.node.NodeSettings;
import org.fulmarreach.platform.store.HttpStoreClient;
import org.fulmarreach.platform.store.StoreClient;
import org.fulmarreach.platform.worker.HeartbeatCodec;
import org.fulmarreach.platform.worker.HttpWorkerCalls;
import org.fulmarreach.runtime.cfg.Address;
import org.fulmarreach.runtime.log.EventLog;
import org.fulmarreach.runtime.net.ClientAdmission;
import org.fulmarreach.runtime.net.ClientLimits;
import org.fulmarreach.runtime.net.FrameTransport;
import org.fulmarreach.runtime.net.HttpListener;
import org.fulmarreach.runtime.net.LinkSettings;
import org.fulmarreach.runtime.util.ActorSystems;
import org.fulmarreach.runtime.util.MonotonicClock;

/** A running guard on the users' platform: the relay and the listener for the worker's heartbeats. Thread-safe. */
public final class RelayNode {
    /** A guard gets less than one core, so more threads would only add context switches. */
    private static final int THREADS = 1;

    /** Resolution of timers. Each tick wakes up a thread, and no timer of a guard needs a finer resolution. */
    private static final int TICK_MS = 50;

    private static final int MAX_CONNECTIONS = 64;
    private static final long BODY_TIMEOUT_MS = 1_000;
    private static final long MAX_BODY_BYTES = 64 * 1024;

    private static final LinkSettings LINKS = LinkSettings.DEFAULT.withConnectTimeoutMs(500);

    /** The relay leaves a silent leader earlier; the limit of the transport only ends connections that it gave up. */
    private static final int SILENCE_MARGIN_MS = 1_000;

    private final ActorSystem<RelayCommand> system;

    private RelayNode(ActorSystem<RelayCommand> system) {
        this.system = system;
    }

    /**
     * Starts a guard.
     *
     * @param settings settings of the process
     * @param clock monotonic clock
     * @param log events
     */
    public static RelayNode start(NodeSettings settings, MonotonicClock clock, EventLog log) {
        Address workerAddress = Address.parse(settings.workerAddress());
        Address storeAddress = Address.parse(settings.storeAddress());
        LinkSettings links = LINKS.withSilenceTimeoutMs((int) settings.bounds().leaseMs() + SILENCE_MARGIN_MS);
        ActorSystem<RelayCommand> system = ActorSystems.construct(
                Behaviors.setup(context -> {
                    StoreClient store =
                            new HttpStoreClient(context.getSystem(), storeAddress.host(), storeAddress.port());
                    return WorkerRelay.create(
                            new HttpWorkerCalls(context.getSystem(), workerAddress.host(), workerAddress.port()),
                            new NetworkRelayLinks(new FrameTransport(context.getSystem(), links, log), store, log),
                            settings.entryAddresses(),
                            settings.node(),
                            new JobTimeLimits(
                                    settings.bounds().leaseMs(),
                                    settings.bounds().statusRetentionMs(),
                                    settings.bounds().cancelMs(),
                                    settings.bounds().runStopMs(),
                                    settings.bounds().evacuationMs()),
                            clock,
                            InstantSource.system(),
                            log,
                            new Random(settings.node().hashCode()));
                }),
                "guard",
                THREADS,
                TICK_MS);
        Materializer materializer = SystemMaterializer.get(system).materializer();
        HttpListener.bind(
                system,
                new HttpListener.Endpoint(
                        Address.parse(settings.heartbeatAddress()),
                        MAX_CONNECTIONS,
                        (int) MAX_BODY_BYTES,
                        Set.of("host", "content-type")),
                new ClientAdmission(ClientLimits.of(System.getenv(), settings.fileDescriptors()), clock, log),
                request -> receive(system, materializer, log, request),
                (request, failure) -> {
                    log.emit(
                            RelayEvent.HEARTBEAT_REFUSED,
                            "path",
                            request.getUri().path(),
                            "reason",
                            failure);
                    return HttpResponse.create().withStatus(500);
                });
        return new RelayNode(system);
    }

    /** Completes when the relay has stopped, which happens only after a failure. */
    public CompletionStage<?> whenStopped() {
        return system.getWhenTerminated();
    }

    /*
     * Helpers
     */

    private static CompletionStage<HttpResponse> receive(
            ActorSystem<RelayCommand> system, Materializer materializer, EventLog log, HttpRequest request) {
        String path = request.getUri().path();
        Optional<String> deregisteredId = HeartbeatCodec.findDeregisterWorkerId(path);
        if (deregisteredId.isPresent()) {
            request.discardEntityBytes(materializer);
            system.tell(new RelayCommand.Deregistered(deregisteredId.get()));
            return CompletableFuture.completedFuture(HttpResponse.create());
        }
        Optional<String> workerId = HeartbeatCodec.findHeartbeatWorkerId(path);
        if (workerId.isEmpty()) {
            request.discardEntityBytes(materializer);
            return CompletableFuture.completedFuture(HttpResponse.create().withStatus(404));
        }
        return StrictEntities.read(request.entity(), BODY_TIMEOUT_MS, MAX_BODY_BYTES, materializer)
                .thenApply(strict -> {
                    try {
                        system.tell(new RelayCommand.HeartbeatReceived(HeartbeatCodec.decode(
                                workerId.get(), strict.getData().toArrayUnsafe())));
                        return HttpResponse.create().withEntity(ContentTypes.APPLICATION_JSON, "{}");
                    } catch (IOException e) {
                        log.emit(RelayEvent.HEARTBEAT_REFUSED, "worker", workerId.get(), "reason", e.getMessage());
                        return HttpResponse.create().withStatus(400);
                    }
                });
    }
}
