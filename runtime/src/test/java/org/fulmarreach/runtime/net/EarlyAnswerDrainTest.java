package org.fulmarreach.runtime.net;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.fulmarreach.runtime.cfg.Address;
import org.fulmarreach.runtime.util.ActorSystems;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** A listener that is drained while a caller still sends the body of a request that has been answered. */
class EarlyAnswerDrainTest {
    private static final int QUIET_MS = 200;
    private static final int ACCEPT_MS = 600;
    private static final int TIMEOUT_MS = 5_000;
    private static final int BODY_BYTES = 1_000_000;
    private static final int PART_INTERVAL_MS = 20;

    private ActorSystem<Void> system;

    @BeforeEach
    void start() {
        system = ActorSystems.construct(Behaviors.empty(), "server", 2);
    }

    @AfterEach
    void stop() {
        system.terminate();
    }

    /** Such a connection counted as in progress, so that a planned stop lasted until its timeout. */
    @Test
    void answeredConnectionDoesNotDelayTheStop() throws Exception {
        HttpBinding binding = HttpListener.bind(
                        system,
                        Address.parse("127.0.0.1:0"),
                        10,
                        request -> CompletableFuture.completedFuture(
                                HttpResponse.create().withStatus(413).withEntity("too large")),
                        (request, failure) -> HttpResponse.create().withStatus(500))
                .toCompletableFuture()
                .get();
        AtomicBoolean sending = new AtomicBoolean(true);
        try (Socket socket = new Socket(
                InetAddress.getLoopbackAddress(), binding.localAddress().getPort())) {
            socket.setSoTimeout(TIMEOUT_MS);
            String head = "POST /v1/a HTTP/1.1\r\nHost: a\r\nContent-Type: text/plain\r\nContent-Length: " + BODY_BYTES
                    + "\r\n\r\n";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
            Thread sender = Thread.ofVirtual().start(() -> sendSlowly(socket, sending));
            byte[] status = socket.getInputStream().readNBytes("HTTP/1.1 413".length());
            assertEquals("HTTP/1.1 413", new String(status, StandardCharsets.US_ASCII));

            long startedAtNanos = System.nanoTime();
            int inProgress = binding.drain(QUIET_MS, ACCEPT_MS, TIMEOUT_MS)
                    .toCompletableFuture()
                    .get(2 * TIMEOUT_MS, TimeUnit.MILLISECONDS);
            long elapsedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAtNanos);
            sending.set(false);
            sender.join();
            assertEquals(0, inProgress, "connections with a request in progress");
            assertTrue(elapsedMs < TIMEOUT_MS / 2, "the drain took " + elapsedMs + " ms");
        }
    }

    private static void sendSlowly(Socket socket, AtomicBoolean sending) {
        try {
            OutputStream out = socket.getOutputStream();
            while (sending.get()) {
                out.write(new byte[100]);
                Thread.sleep(PART_INTERVAL_MS);
            }
        } catch (IOException | InterruptedException e) {
            // The listener has closed the connection.
        }
    }
}
