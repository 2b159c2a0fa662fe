package org.fulmarreach.it.site;

import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Pattern;
import java.util.stream.Stream;

import org.awaitility.Awaitility;
import org.fulmarreach.it.ManagedProcess;
import org.fulmarreach.it.ProcessStats;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.junit.jupiter.api.Assertions.assertAll;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against a client that ends a process with a StackOverflowError. One connection sends legal requests ahead and
 * reads no answer, so that one read of the socket holds thousands of them.
 */
class RequestsSentAheadTest {
    private static final int QUOTA_BYTES = 4 << 20;
    private static final int PART_BYTES = 256 << 10;

    /** The smallest machine with such a process has 330 MB. */
    private static final int MAX_RSS_MB = 330;

    private static final int MAX_DESCRIPTORS = 150;

    /** A listener that has taken nothing for this long waits until the client reads. */
    private static final Duration STALLED = Duration.ofSeconds(2);

    private static final Duration CLIENT_TIME = Duration.ofSeconds(30);
    private static final Duration ANSWER_TIME = Duration.ofSeconds(20);

    private static PlatformSite site;

    /** The process of a case that has not passed. */
    private String failedName = "";

    /** A request that the client sends again and again. */
    enum Sent {
        READINESS("GET /v1/readiness HTTP/1.1\r\nHost: shop.example\r\n\r\n"),
        UNKNOWN_JOB("GET /jobs/0123456789abcdef HTTP/1.1\r\nHost: shop.example\r\n\r\n"),
        /** Lines may end without a carriage return. */
        SHORTEST("GET / HTTP/1.1\nHost:a\n\n"),
        EMPTY_CHUNKED_BODY("POST / HTTP/1.1\r\nHost:a\r\nTransfer-Encoding:chunked\r\n\r\n0\r\n\r\n"),
        SHORT_BODY("POST / HTTP/1.1\r\nHost:a\r\nContent-Length:1\r\n\r\n1");

        private final byte[] part;

        Sent(String request) {
            part = request.repeat(PART_BYTES / request.length()).getBytes(StandardCharsets.ISO_8859_1);
        }
    }

    @BeforeAll
    static void start() {
        site = new PlatformSite(2, 1);
    }

    @AfterAll
    static void stop() {
        site.close();
    }

    /** A process that a client has ended fails only the case of that client. Its shutdown may hang. */
    @AfterEach
    void restartFailed() {
        if (!failedName.isEmpty()) {
            site.process(failedName).close();
            site.startProcess(failedName);
        }
        site.awaitReady();
    }

    /** Guards against such a client at the address of an entry that anybody reaches. */
    @ParameterizedTest
    @EnumSource
    void entryLivesBehindItsCallerAddress(Sent sent) throws IOException {
        play(site.entryName(0), site.callerAddress(0), sent, "/jobs/", 200);
    }

    /** Guards against the same at the address of the readiness check. */
    @ParameterizedTest
    @EnumSource(
            value = Sent.class,
            names = {"READINESS", "SHORTEST"})
    void entryLivesBehindItsReadinessAddress(Sent sent) throws IOException {
        play(site.entryName(0), site.readinessAddress(0), sent, "/v1/readiness", 200);
    }

    /** Guards against the same at the address of the metrics. */
    @ParameterizedTest
    @EnumSource(
            value = Sent.class,
            names = {"READINESS", "SHORTEST"})
    void entryLivesBehindItsOperatorAddress(Sent sent) throws IOException {
        play(site.entryName(0), site.operatorAddress(0), sent, "/metrics", 200);
    }

    /** Guards against the same at the control plane of a guard, which takes heartbeats. */
    @ParameterizedTest
    @EnumSource(
            value = Sent.class,
            names = {"READINESS", "SHORTEST"})
    void guardLivesBehindItsHeartbeatAddress(Sent sent) throws IOException {
        play(site.guardName(0), site.heartbeatAddress(0), sent, "/", 404);
    }

    /*
     * Helpers
     */

    private void play(String name, InetSocketAddress address, Sent sent, String path, int status) throws IOException {
        failedName = name;
        ManagedProcess process = site.process(name);
        long ends = countEnds(name);
        Awaitility.await().atMost(ANSWER_TIME).until(() -> request(address, path), line -> line.endsWith(" " + status));
        try (Socket socket = new Socket()) {
            socket.connect(address);
            AtomicLong sentBytes = new AtomicLong();
            Thread sender = Thread.ofVirtual().start(() -> send(socket, sent.part, sentBytes));
            Progress progress = new Progress(process);
            Awaitility.await()
                    .atMost(CLIENT_TIME)
                    .pollInterval(Duration.ofMillis(50))
                    .until(() -> countEnds(name) > ends || progress.isOver(sentBytes.get(), sender.isAlive()));
            String after = " after " + sentBytes + " bytes; see " + site.directory();
            assertLives(process, name, ends, after);
            long rssMb = ProcessStats.read(process.pid()).rssKb() / 1_024;
            assertAll(
                    () -> assertTrue(rssMb <= MAX_RSS_MB, "memory: " + rssMb + " MB" + after),
                    () -> assertTrue(
                            progress.maxDescriptors <= MAX_DESCRIPTORS,
                            "descriptors: " + progress.maxDescriptors + after),
                    () -> Awaitility.await()
                            .atMost(ANSWER_TIME)
                            .until(() -> request(address, path), line -> line.endsWith(" " + status)),
                    () -> assertLives(process, name, ends, after));
        }
        failedName = "";
    }

    private static void assertLives(ManagedProcess process, String name, long ends, String after) throws IOException {
        assertEquals(ends, countEnds(name), "the process has begun to end" + after);
        assertTrue(process.isAlive(), "the process has ended" + after);
    }

    /** Watches the process until its listener takes nothing more from the client. */
    private static final class Progress {
        private final ManagedProcess process;
        private long maxDescriptors;
        private long lastBytes = -1;
        private long lastChangeNanos;

        Progress(ManagedProcess process) {
            this.process = process;
        }

        boolean isOver(long sentBytes, boolean sending) throws IOException {
            maxDescriptors = Math.max(maxDescriptors, countDescriptors(process.pid()));
            if (sentBytes != lastBytes) {
                lastBytes = sentBytes;
                lastChangeNanos = System.nanoTime();
            }
            return System.nanoTime() - lastChangeNanos >= STALLED.toNanos() || !sending && sentBytes < QUOTA_BYTES;
        }
    }

    /** Returns how often a process has begun to end: it serves on for some seconds, and answers meanwhile. */
    private static long countEnds(String name) throws IOException {
        Pattern end = Pattern.compile("name=DRAINING|shutting down JVM");
        long count = 0;
        for (String file : List.of(name + ".out", name + ".err")) {
            count += end.matcher(Files.readString(site.directory().resolve(file)))
                    .results()
                    .count();
        }
        return count;
    }

    private static void send(Socket socket, byte[] part, AtomicLong sentBytes) {
        try {
            OutputStream out = socket.getOutputStream();
            while (sentBytes.get() < QUOTA_BYTES) {
                out.write(part);
                sentBytes.addAndGet(part.length);
            }
        } catch (IOException e) {
            // The listener has closed the connection, which it may do.
        }
    }

    private static long countDescriptors(long pid) throws IOException {
        try (Stream<Path> files = Files.list(Path.of("/proc/" + pid + "/fd"))) {
            return files.count();
        } catch (NoSuchFileException e) {
            return 0;
        } catch (UncheckedIOException e) {
            throw e.getCause();
        }
    }

    /** Sends one request on a connection of its own and returns version and status of its answer. */
    private static String request(InetSocketAddress address, String path) {
        try (Socket socket = new Socket()) {
            socket.connect(address, 2_000);
            socket.setSoTimeout(5_000);
            socket.getOutputStream()
                    .write(("GET " + path + " HTTP/1.1\r\nHost: shop.example\r\n\r\n")
                            .getBytes(StandardCharsets.ISO_8859_1));
            return new String(socket.getInputStream().readNBytes("HTTP/1.1 200".length()), StandardCharsets.ISO_8859_1);
        } catch (IOException e) {
            return e.toString();
        }
    }
}
