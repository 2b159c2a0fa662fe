package org.fulmarreach.guard.jobs;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.awaitility.Awaitility;
import org.fulmarreach.platform.node.NodeSettings;
import org.fulmarreach.runtime.cfg.Address;
import org.fulmarreach.runtime.log.EventLog;
import org.fulmarreach.runtime.net.HttpListener;
import org.fulmarreach.runtime.util.ActorSystems;
import org.fulmarreach.runtime.util.MonotonicClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against a guard that wakes up often while its worker is idle; reads the switch counters of Linux threads. */
class RelayCostTest {
    private static final String HOST = InetAddress.getLoopbackAddress().getHostAddress();
    private static final int WORKER_WAIT_MS = 500;
    private static final int MEASURED_S = 4;

    /**
     * The timers of a guard fire about 20 times a second in all, and it polls the worker twice a second. Twice the sum
     * leaves room for the threads of its connections.
     */
    private static final int MAX_SWITCHES_PER_S = 100;

    private final AtomicInteger polls = new AtomicInteger();
    private ActorSystem<Void> worker;
    private int workerPort;

    @BeforeEach
    void startWorker() throws IOException {
        worker = ActorSystems.construct(Behaviors.<Void>empty(), "worker", 1);
        workerPort = findPort();
        HttpListener.bind(worker, new Address(HOST, workerPort), 16, this::answer, (request, failure) -> {
            throw new IllegalStateException(failure);
        });
    }

    @AfterEach
    void stop() {
        worker.terminate();
    }

    /** Guards that woke up hundreds of times a second used up the processors of a deployment with 72 guards. */
    @Test
    void guardOfIdleWorkerRarelyWakesUp() throws Exception {
        int store = findPort();
        RelayNode.start(settings(findPort(), store), MonotonicClock.system(), new EventLog("guard"));
        Awaitility.await().until(() -> polls.get() > 4);
        long before = countContextSwitches();
        Thread.sleep(TimeUnit.SECONDS.toMillis(MEASURED_S));
        long perSecond = (countContextSwitches() - before) / MEASURED_S;
        assertTrue(perSecond <= MAX_SWITCHES_PER_S, "context switches of the guard's threads per second: " + perSecond);
    }

    /*
     * Helpers
     */

    private CompletionStage<HttpResponse> answer(HttpRequest request) {
        int clockMs = polls.incrementAndGet() * WORKER_WAIT_MS;
        request.discardEntityBytes(worker);
        String body = "{\"clock_ms\":" + clockMs + ",\"running\":[],\"ended\":[]}";
        return CompletableFuture.supplyAsync(
                () -> HttpResponse.create()
                        .withEntity(ContentTypes.APPLICATION_JSON, body.getBytes(StandardCharsets.UTF_8)),
                CompletableFuture.delayedExecutor(WORKER_WAIT_MS, TimeUnit.MILLISECONDS));
    }

    private NodeSettings settings(int heartbeatPort, int storePort) {
        return new NodeSettings(
                "guard",
                "z",
                "r",
                HOST,
                "",
                "",
                new Address(HOST, heartbeatPort).toString(),
                1,
                2,
                List.of(),
                new Address(HOST, workerPort).toString(),
                "s",
                new Address(HOST, storePort).toString(),
                1_000,
                1_000,
                0,
                new NodeSettings.Bounds(6_000, 120_000, 6_000, 3_000, 900, 2_500, 0));
    }

    private static int findPort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    /** Returns the voluntary context switches of the guard's actor system so far. */
    private static long countContextSwitches() throws IOException {
        long switches = 0;
        try (DirectoryStream<Path> threads = Files.newDirectoryStream(Path.of("/proc/self/task"))) {
            for (Path thread : threads) {
                switches += countContextSwitches(thread.resolve("status"));
            }
        }
        return switches;
    }

    private static long countContextSwitches(Path status) throws IOException {
        try {
            List<String> lines = Files.readAllLines(status);
            for (String line : lines) {
                if (lines.get(0).contains("guard-") && line.startsWith("voluntary_ctxt_switches")) {
                    return Long.parseLong(line.split("\\s+")[1]);
                }
            }
        } catch (NoSuchFileException e) {
            // A thread of the test ended after the directory was listed; threads of the actor system do not end.
            return 0;
        }
        return 0;
    }
}
