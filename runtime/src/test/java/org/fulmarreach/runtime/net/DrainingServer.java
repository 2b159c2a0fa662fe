package org.fulmarreach.runtime.net;

import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.headers.Connection;
import org.apache.pekko.stream.Materializer;
import org.apache.pekko.stream.SystemMaterializer;
import org.fulmarreach.runtime.cfg.Address;
import org.fulmarreach.runtime.util.ActorSystems;

/**
 * A process with a listener that drains after SIGTERM and then halts at once. Its arguments are the time before the
 * listener is drained, and the longest time of the handler, in milliseconds.
 */
public final class DrainingServer {
    private static final long QUIET_MS = 300;
    private static final long ACCEPT_MS = 2_000;
    private static final long TIMEOUT_MS = 4_000;
    private static final int MAX_BODY_BYTES = 100_000;
    private static final int BODY_TIMEOUT_MS = 3_000;

    private static volatile boolean closing;

    private DrainingServer() {}

    /** Starts the process, which prints {@code PORT} and its port. */
    public static void main(String[] args) throws Exception {
        long leaveRotationMs = Long.parseLong(args[0]);
        int maxDelayMs = Integer.parseInt(args[1]);
        ActorSystem<Void> system = ActorSystems.construct(Behaviors.empty(), "server", 2);
        Materializer materializer = SystemMaterializer.get(system).materializer();
        Random random = new Random(7);
        HttpBinding binding = HttpListener.bind(
                        system,
                        Address.parse("127.0.0.1:0"),
                        2_000,
                        request -> handle(request, materializer, random, maxDelayMs),
                        (request, failure) -> HttpResponse.create().withStatus(500))
                .toCompletableFuture()
                .get();
        Runtime.getRuntime().addShutdownHook(new Thread(() -> drain(binding, leaveRotationMs)));
        System.out.println("PORT " + binding.localAddress().getPort());
    }

    private static void drain(HttpBinding binding, long leaveRotationMs) {
        closing = true;
        try {
            CompletableFuture.supplyAsync(
                            () -> null, CompletableFuture.delayedExecutor(leaveRotationMs, TimeUnit.MILLISECONDS))
                    .thenCompose(ignored -> binding.drain(QUIET_MS, ACCEPT_MS, TIMEOUT_MS))
                    .toCompletableFuture()
                    .get(2 * TIMEOUT_MS, TimeUnit.MILLISECONDS);
        } catch (TimeoutException | ExecutionException | InterruptedException e) {
            System.err.println("The drain failed: " + e);
        }
        Runtime.getRuntime().halt(0);
    }

    private static CompletionStage<HttpResponse> handle(
            HttpRequest request, Materializer materializer, Random random, int maxDelayMs) {
        int delayMs = random.nextInt(maxDelayMs + 1);
        return request.entity()
                .toStrict(BODY_TIMEOUT_MS, MAX_BODY_BYTES, materializer)
                .thenCompose(strict -> CompletableFuture.supplyAsync(
                        () -> HttpResponse.create().withEntity("ok"),
                        CompletableFuture.delayedExecutor(delayMs, TimeUnit.MILLISECONDS)))
                .thenApply(response -> closing ? response.addHeader(Connection.create("close")) : response);
    }
}
