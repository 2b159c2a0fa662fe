package org.fulmarreach.runtime.net;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against requests that end without an answer when a process with a listener is stopped by SIGTERM. */
class HttpListenerDrainTest {
    /** The listener is drained this long after SIGTERM; requests go on for 400 ms. */
    private static final int LEAVE_ROTATION_MS = 600;

    private static final int FIRST_OFFSET_MS = 400;
    private static final int LAST_OFFSET_MS = 1_000;
    private static final int STEP_MS = 20;
    private static final int WARM_UP_REQUESTS = 50;
    private static final int EXIT_TIMEOUT_S = 10;

    /** Requests that arrive when the drain of the listener begins were reset, whatever the time of the handler. */
    @ParameterizedTest
    @ValueSource(ints = {0, 50, 400})
    void everyRequestIsAnsweredWhenTheProcessStops(int maxDelayMs) throws Exception {
        Process server = start(maxDelayMs);
        try {
            List<DrainCaller.Outcome> outcomes = sendAroundStop(server);
            assertTrue(server.waitFor(EXIT_TIMEOUT_S, TimeUnit.SECONDS), "the process must end");
            Map<String, Integer> counts = new TreeMap<>();
            outcomes.forEach(outcome -> counts.merge(outcome.kind() + " " + outcome.result(), 1, Integer::sum));
            assertEquals(
                    List.of(),
                    outcomes.stream().filter(DrainCaller.Outcome::isLost).toList(),
                    counts.toString());
            assertEquals(
                    outcomes.size(),
                    outcomes.stream()
                            .filter(outcome -> outcome.result().equals("200"))
                            .count(),
                    counts.toString());
        } finally {
            server.destroyForcibly();
        }
    }

    private static Process start(int maxDelayMs) throws IOException {
        return new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-cp",
                        System.getProperty("java.class.path"),
                        DrainingServer.class.getName(),
                        Integer.toString(LEAVE_ROTATION_MS),
                        Integer.toString(maxDelayMs))
                .redirectError(ProcessBuilder.Redirect.INHERIT)
                .start();
    }

    private static int readPort(Process server) throws IOException {
        BufferedReader reader = server.inputReader(StandardCharsets.UTF_8);
        for (String line = reader.readLine(); line != null; line = reader.readLine()) {
            if (line.startsWith("PORT ")) {
                return Integer.parseInt(line.substring("PORT ".length()));
            }
        }
        throw new IOException("the server has ended");
    }

    private static List<DrainCaller.Outcome> sendAroundStop(Process server) throws Exception {
        DrainCaller caller = new DrainCaller(readPort(server));
        for (int i = 0; i < WARM_UP_REQUESTS; i++) {
            caller.send(DrainCaller.Kind.NEW_CONNECTION, null, 0);
        }
        List<Future<DrainCaller.Outcome>> futures = new ArrayList<>();
        List<DrainCaller.Outcome> outcomes = new ArrayList<>();
        long[] stoppedAtNanos = new long[1];
        CountDownLatch stopped = new CountDownLatch(1);
        try (ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
            for (int offset = FIRST_OFFSET_MS; offset <= LAST_OFFSET_MS; offset += STEP_MS) {
                for (DrainCaller.Kind kind : DrainCaller.Kind.values()) {
                    Socket prepared = caller.prepare(kind);
                    int offsetMs = offset;
                    futures.add(callers.submit(() -> {
                        stopped.await();
                        long elapsedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - stoppedAtNanos[0]);
                        Thread.sleep(Math.max(0, offsetMs - elapsedMs));
                        return caller.send(kind, prepared, offsetMs);
                    }));
                }
            }
            stoppedAtNanos[0] = System.nanoTime();
            server.destroy();
            stopped.countDown();
            for (Future<DrainCaller.Outcome> future : futures) {
                outcomes.add(future.get());
            }
        }
        return outcomes;
    }
}
