package org.fulmarreach.it.site;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.function.IntFunction;
import java.util.function.IntUnaryOperator;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.awaitility.Awaitility;
import org.awaitility.core.ConditionTimeoutException;
import org.fulmarreach.it.ManagedProcess;
import org.fulmarreach.it.ProcessStats;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.junit.jupiter.api.Assertions.assertAll;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against clients that end a process or take the place of ordinary callers, although each of their requests has
 * a legal size. The processes have a third of their usual heap, so that small crowds are enough.
 */
class UncontrolledClientsTest {
    private static final int HEAP_MB = 56;

    /** A VM with the usual heap of 160 MB has 330 MB: the rest is for what is not on the heap. */
    private static final int MAX_RSS_MB = HEAP_MB + 330 - 160;

    private static final int MAX_CONNECTIONS = 200;
    private static final int MAX_DESCRIPTORS = MAX_CONNECTIONS + 150;
    private static final int CROWD = 150;
    private static final int LARGE_CROWD = 2 * MAX_CONNECTIONS + 100;
    private static final long QUOTA_BYTES = 1 << 20;

    /** Sockets on loopback buffer up to 10 MB of what was sent and not read. */
    private static final long MAX_BYTES_AFTER_REFUSAL = 12L << 20;

    private static final long REFUSED_QUOTA_BYTES = 96L << 20;
    private static final int REFUSED_CLIENTS = 4;
    private static final Duration CROWD_TIME = Duration.ofSeconds(4);
    private static final Duration ANSWER_TIME = Duration.ofSeconds(30);
    private static final int HEAD_BYTES = 16_000;
    private static final String HOST = "Host: shop.example\r\n";
    private static final String LENGTH = "Content-Length: ";
    private static final String BODY = "{\"steps\":[{\"count\":1,\"cpu\":1,\"mem_mb\":1,\"estimated_ms\":1}]}";

    private static PlatformSite site;

    /** What the clients of a crowd send. */
    enum Shape {
        SHORT_LINES(part -> get(HOST + "a:b\r\n".repeat(HEAD_BYTES / 5))),
        EMPTY_VALUES(part -> get(HOST + lines(HEAD_BYTES / 8, i -> 0))),
        ODD_LINES(part -> get(HOST + "A:\t \r\n ,\r\n".repeat(HEAD_BYTES / 11))),
        MANY_NAMES(part -> get(HOST + lines(HEAD_BYTES / 9, i -> part + 1))),
        SENT_AHEAD(part -> post(part, HOST + "Content-Type: application/json\r\n" + LENGTH + BODY.length())),
        SENT_AHEAD_WITHOUT_HEADERS(part -> post(part, "A: b")),
        SHORT_SENT_AHEAD(part -> "GET /jobs/ HTTP/1.1\r\nHost:a\r\n\r\n".repeat(50)),
        UNFINISHED_HEADS(part -> part % (1 << 20) > 0 ? "" : "GET /jobs/ HTTP/1.1\r\n" + "a:b\r\n".repeat(3_000)),
        BYTE_WISE(part -> part % (1 << 20) == 0 ? "GET /jobs/ HTTP/1.1\r\n" + HOST + "A: " : "a"),
        UNFINISHED_BODIES(part -> part % (1 << 20) > 0
                ? ""
                : "POST /jobs/0123456789abcdef HTTP/1.1\r\n" + HOST + LENGTH + "262144\r\n\r\n" + "[".repeat(262_000));

        private final IntFunction<String> parts;

        Shape(IntFunction<String> parts) {
            this.parts = parts;
        }

        byte[] part(int number) {
            return parts.apply(number).getBytes(StandardCharsets.ISO_8859_1);
        }
    }

    @BeforeAll
    static void start() {
        site = new PlatformSite(
                2,
                1,
                Map.of(
                        "_JAVA_OPTIONS",
                        "-Xmx" + HEAP_MB + "m",
                        "FULMARREACH_MAX_HTTP_CONNECTIONS",
                        Integer.toString(MAX_CONNECTIONS)));
    }

    @AfterAll
    static void stop() {
        site.close();
    }

    /** A process that a crowd has ended fails only the test of that crowd. */
    @AfterEach
    void restartEnded() {
        Stream.of(site.entryName(0), site.entryName(1), site.guardName(0))
                .filter(name -> !site.process(name).isAlive())
                .forEach(site::startProcess);
        site.awaitReady();
    }

    @ParameterizedTest
    @EnumSource(Shape.class)
    void entryThatLeadsLives(Shape shape) throws IOException {
        play(leader(), site.callerAddress(leader()), "/jobs/", CROWD, shape);
    }

    @ParameterizedTest
    @EnumSource(Shape.class)
    void entryThatFollowsLives(Shape shape) throws IOException {
        play(1 - leader(), site.callerAddress(1 - leader()), "/jobs/", CROWD, shape);
    }

    @Test
    void readinessListenerLives() throws IOException {
        play(leader(), site.readinessAddress(leader()), "/v1/readiness", CROWD, Shape.SHORT_LINES);
    }

    @Test
    void metricsListenerLives() throws IOException {
        play(leader(), site.operatorAddress(leader()), "/metrics", CROWD, Shape.SHORT_LINES);
    }

    /** Connections without a request, more than the process accepts, must not keep ordinary callers out. */
    @Test
    void idleConnectionsLeaveRoom() throws IOException {
        int entry = leader();
        try (ClientCrowd crowd =
                new ClientCrowd(site.callerAddress(entry), LARGE_CROWD, QUOTA_BYTES, part -> new byte[0])) {
            check(site.entryName(entry), crowd, site.callerAddress(entry), "/jobs/", 200);
        }
    }

    @ParameterizedTest
    @EnumSource(
            value = Shape.class,
            names = {"SHORT_LINES", "UNFINISHED_HEADS", "SENT_AHEAD"})
    void guardLives(Shape shape) throws IOException {
        try (ClientCrowd crowd = new ClientCrowd(site.heartbeatAddress(0), CROWD, QUOTA_BYTES, shape::part)) {
            check(site.guardName(0), crowd, site.heartbeatAddress(0), "/", 404);
        }
    }

    /** After the refusal of a malformed request, 76 GB were read from 60 connections in 20 s. */
    @Test
    void littleIsReadAfterRefusal() throws IOException {
        int entry = leader();
        byte[] junk = "x".repeat(1 << 16).getBytes(StandardCharsets.ISO_8859_1);
        try (ClientCrowd crowd = new ClientCrowd(
                site.callerAddress(entry),
                REFUSED_CLIENTS,
                REFUSED_QUOTA_BYTES,
                part -> part % (1 << 20) == 0 ? "GET /jobs/\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1) : junk)) {
            check(site.entryName(entry), crowd, site.callerAddress(entry), "/jobs/", 200);
            long sentBytes = crowd.sentBytes();
            assertTrue(sentBytes <= REFUSED_CLIENTS * MAX_BYTES_AFTER_REFUSAL, "sent: " + sentBytes + " bytes");
        }
    }

    /** The configuration allows heads of 16,384 bytes; requests below that were refused for their shape. */
    @Test
    void legalRequestsOfEachShapeAreServed() {
        Map<String, String> heads = Map.of(
                "500 lines of 5 bytes", "a:b\r\n".repeat(500),
                "3,000 lines", "a:b\r\n".repeat(3_000),
                "a name of 300 bytes", "a".repeat(300) + ": b\r\n",
                "a value of 15 KB", "A: " + "b".repeat(15_000) + "\r\n",
                "many names", lines(1_500, i -> 3),
                "empty values", "a:\r\n".repeat(1_000));
        List<String> addresses = IntStream.range(0, 2)
                .boxed()
                .flatMap(entry -> heads.entrySet().stream()
                        .map(head -> head.getKey() + " at " + entry + ": "
                                + request(site.callerAddress(entry), "/jobs/", HOST + head.getValue())))
                .filter(result -> !result.endsWith(" 200"))
                .toList();
        assertEquals(List.of(), addresses);
    }

    /*
     * Helpers
     */

    private static int leader() {
        Awaitility.await().atMost(ANSWER_TIME).until(() -> site.findLeader().isPresent());
        return site.findLeader().orElseThrow();
    }

    private static void play(int entry, InetSocketAddress address, String path, int connections, Shape shape)
            throws IOException {
        try (ClientCrowd crowd = new ClientCrowd(address, connections, QUOTA_BYTES, shape::part)) {
            check(site.entryName(entry), crowd, address, path, 200);
        }
    }

    private static void check(String name, ClientCrowd crowd, InetSocketAddress address, String path, int status)
            throws IOException {
        ManagedProcess process = site.process(name);
        long[] descriptors = new long[1];
        try {
            Awaitility.await()
                    .atMost(CROWD_TIME)
                    .pollInterval(Duration.ofMillis(50))
                    .until(() -> {
                        descriptors[0] = Math.max(descriptors[0], countDescriptors(process.pid()));
                        return !process.isAlive();
                    });
        } catch (ConditionTimeoutException e) {
            // The process lives, as it should.
        }
        assertTrue(process.isAlive(), "the process has ended; see " + site.directory());
        long rssMb = ProcessStats.read(process.pid()).rssKb() / 1_024;
        assertAll(
                () -> assertTrue(rssMb <= MAX_RSS_MB, "memory: " + rssMb + " MB"),
                () -> assertTrue(descriptors[0] <= MAX_DESCRIPTORS, "descriptors: " + descriptors[0]),
                () -> Awaitility.await()
                        .atMost(ANSWER_TIME)
                        .until(() -> request(address, path, HOST), result -> result.equals(" " + status)),
                () -> assertTrue(process.isAlive(), "the process has ended; see " + site.directory()));
    }

    private static long countDescriptors(long pid) throws IOException {
        try (Stream<Path> files = Files.list(Path.of("/proc/" + pid + "/fd"))) {
            return files.count();
        } catch (java.nio.file.NoSuchFileException e) {
            return 0;
        }
    }

    /** Sends one request on a connection of its own and returns the status of its answer. */
    private static String request(InetSocketAddress address, String path, String head) {
        try (Socket socket = new Socket()) {
            socket.connect(address, 2_000);
            socket.setSoTimeout(5_000);
            socket.getOutputStream()
                    .write(("GET " + path + " HTTP/1.1\r\n" + head + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
            InputStream in = socket.getInputStream();
            return new String(in.readNBytes("HTTP/1.1 200".length()), StandardCharsets.ISO_8859_1)
                    .replace("HTTP/1.1", "");
        } catch (IOException e) {
            return e.toString();
        }
    }

    private static String get(String headers) {
        return "GET /jobs/ HTTP/1.1\r\n" + headers + "\r\n";
    }

    private static String post(int id, String headers) {
        return "POST /jobs/" + "%016x".formatted(id) + " HTTP/1.1\r\n" + headers + "\r\n\r\n" + BODY;
    }

    /** Returns header lines with different names and without values. */
    private static String lines(int count, IntUnaryOperator seed) {
        return IntStream.range(0, count)
                .mapToObj(i ->
                        "q" + Integer.toString(Math.floorMod(i + 7 * seed.applyAsInt(i) * count, 46_655), 36) + ":\r\n")
                .collect(Collectors.joining());
    }
}
