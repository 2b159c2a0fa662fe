package org.fulmarreach.runtime.net;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.fulmarreach.protocol.io.ThriftBytes;
import org.fulmarreach.protocol.thrift.Body;
import org.fulmarreach.protocol.thrift.CancelCall;
import org.fulmarreach.protocol.thrift.Frame;
import org.fulmarreach.runtime.log.EventLog;
import org.fulmarreach.runtime.util.ActorSystems;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.RepeatedTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against frames that are lost or reordered on a connection, and against connections that stay open although the
 * peer is silent or sends malformed frames.
 */
class FrameTransportTest {
    private final ActorSystem<Void> system = ActorSystems.construct(Behaviors.empty(), "test", 2);
    private final FrameTransport transport =
            new FrameTransport(system, LinkSettings.DEFAULT.withSilenceTimeoutMs(300), new EventLog("test"));
    private final BlockingQueue<LinkEvent> server = new LinkedBlockingQueue<>();
    private final BlockingQueue<LinkEvent> client = new LinkedBlockingQueue<>();

    @AfterEach
    void stop() {
        system.terminate();
    }

    /** The silence timeout equals the wait for an event: on a busy machine the first frame took over 300 ms. */
    @Test
    void framesArriveInOrderInBothDirections() throws Exception {
        FrameTransport longTimeoutTransport = longTimeoutTransport();
        longTimeoutTransport.connect("127.0.0.1", bind(longTimeoutTransport), client::add);
        FrameLink fromClient =
                assertInstanceOf(LinkEvent.Opened.class, nextEvent(client)).link();
        FrameLink fromServer =
                assertInstanceOf(LinkEvent.Opened.class, nextEvent(server)).link();
        for (int i = 1; i <= 100; i++) {
            fromClient.send(i, Body.cancelCall(new CancelCall("r" + i)));
            fromServer.send(-i, Body.cancelCall(new CancelCall("s" + i)));
        }
        for (int i = 1; i <= 100; i++) {
            assertEquals("r" + i, nextFrame(server).getBody().getCancelCall().getRequestId());
            assertEquals(-i, nextFrame(client).getCorrelationId());
        }
    }

    @Test
    void silentPeerIsClosedWithinTheTimeout() throws Exception {
        int port = bind();
        try (Socket silent = new Socket("127.0.0.1", port)) {
            assertInstanceOf(LinkEvent.Opened.class, nextEvent(server));
            assertInstanceOf(LinkEvent.Closed.class, nextEvent(server));
            assertTrue(hasEnded(silent), "the socket must be closed or reset");
        }
    }

    @RepeatedTest(20)
    void malformedFrameClosesTheConnection() throws Exception {
        int port = bind();
        try (Socket bad = new Socket("127.0.0.1", port)) {
            OutputStream out = bad.getOutputStream();
            out.write(new byte[] {0, 0, 0, 3, 1, 2, 3});
            out.flush();
            assertInstanceOf(LinkEvent.Opened.class, nextEvent(server));
            assertInstanceOf(LinkEvent.Closed.class, nextEvent(server));
        }
    }

    /** An entry takes over from a leader whose process has ended only if it recognizes the refusal. */
    @Test
    void refusedConnectionReportsOnlyClosed() throws Exception {
        transport.connect("127.0.0.1", 1, client::add);
        LinkEvent.Closed closed = assertInstanceOf(LinkEvent.Closed.class, nextEvent(client));
        assertNull(closed.link());
        assertTrue(closed.isRefused(), closed.reason());
        assertNoEvent(client);
    }

    /** Guards against frames that are lost when a read ends within a length or a frame. */
    @Test
    void framesSplitOverReadsArrive() throws Exception {
        try (Socket peer = connectTo(bind(longTimeoutTransport()))) {
            for (byte part : concat(encode(1), encode(2), encode(3))) {
                peer.getOutputStream().write(part);
                peer.getOutputStream().flush();
            }
            assertInstanceOf(LinkEvent.Opened.class, nextEvent(server));
            for (int i = 1; i <= 3; i++) {
                assertEquals(i, nextFrame(server).getCorrelationId());
            }
        }
    }

    /** Guards against frames that are lost or reordered when one read contains many, and the start of another. */
    @Test
    void framesInOneReadArrive() throws Exception {
        try (Socket peer = connectTo(bind(longTimeoutTransport()))) {
            byte[][] frames = new byte[5_000][];
            for (int i = 0; i < frames.length; i++) {
                frames[i] = encode(i + 1);
            }
            peer.getOutputStream().write(concat(frames));
            assertInstanceOf(LinkEvent.Opened.class, nextEvent(server));
            for (int i = 1; i <= frames.length; i++) {
                Frame frame = nextFrame(server);
                assertEquals(i, frame.getCorrelationId());
                assertEquals("r" + i, frame.getBody().getCancelCall().getRequestId());
            }
        }
    }

    /** Guards against a peer that makes this process reserve memory for a frame that is over the limit. */
    @ParameterizedTest
    @ValueSource(ints = {-1, Integer.MIN_VALUE, 1_001})
    void frameOfInvalidLengthClosesTheConnection(int length) throws Exception {
        LinkSettings settings = new LinkSettings(5_000, 1_000, 1_000, 8 << 20);
        int port = bind(new FrameTransport(system, settings, new EventLog("test")));
        List<String> lines = collectLog(() -> {
            try (Socket peer = connectTo(port)) {
                byte[] invalid =
                        ByteBuffer.allocate(Integer.BYTES + 4).putInt(length).array();
                peer.getOutputStream().write(concat(encode(1), invalid));
                assertInstanceOf(LinkEvent.Opened.class, nextEvent(server));
                assertEquals(1, nextFrame(server).getCorrelationId());
                LinkEvent.Closed closed = assertInstanceOf(LinkEvent.Closed.class, nextEvent(server));
                assertTrue(closed.reason().contains(length + " bytes"), closed.reason());
                assertTrue(hasEnded(peer), "the socket must be closed or reset");
                assertNoEvent(server);
            }
        });
        assertTrue(lines.stream().anyMatch(line -> line.contains("name=FRAME_REFUSED")), lines.toString());
    }

    /** Guards against a limit that refuses the largest frame that the settings allow. */
    @Test
    void frameOfTheMaximumLengthArrives() throws Exception {
        byte[] frame = encode(1);
        LinkSettings settings = new LinkSettings(5_000, 1_000, frame.length - Integer.BYTES, 8 << 20);
        int port = bind(new FrameTransport(system, settings, new EventLog("test")));
        try (Socket peer = connectTo(port)) {
            peer.getOutputStream().write(frame);
            assertInstanceOf(LinkEvent.Opened.class, nextEvent(server));
            assertEquals(1, nextFrame(server).getCorrelationId());
        }
    }

    /** Guards against memory that grows without bound for a peer that does not read. */
    @Test
    void connectionOfPeerThatDoesNotReadIsClosed() throws Exception {
        LinkSettings settings =
                LinkSettings.DEFAULT.withSilenceTimeoutMs(60_000).withMaxPendingBytes(100_000);
        int port = bind(new FrameTransport(system, settings, new EventLog("test")));
        List<String> lines = collectLog(() -> {
            try (Socket peer = connectTo(port)) {
                FrameLink link = assertInstanceOf(LinkEvent.Opened.class, nextEvent(server))
                        .link();
                Body body = Body.cancelCall(new CancelCall("r".repeat(10_000)));
                // Far more than the buffers of both sockets hold.
                for (int i = 0; i < 5_000 && server.isEmpty(); i++) {
                    link.send(body);
                }
                LinkEvent.Closed closed = assertInstanceOf(LinkEvent.Closed.class, nextEvent(server));
                assertSame(link, closed.link());
                assertEquals("closed by this process", closed.reason());
                link.send(body);
                assertNoEvent(server);
            }
        });
        assertEquals(
                1,
                lines.stream()
                        .filter(line -> line.contains("name=SEND_BUFFER_FULL"))
                        .count());
    }

    /** Guards against a connection that is closed although frames arrive, and against one that bytes keep open. */
    @Test
    void onlyFramesKeepConnectionOpen() throws Exception {
        int port = bind();
        try (Socket peer = connectTo(port)) {
            assertInstanceOf(LinkEvent.Opened.class, nextEvent(server));
            for (int i = 1; i <= 8; i++) {
                peer.getOutputStream().write(encode(i));
                assertEquals(i, nextFrame(server).getCorrelationId());
                Thread.sleep(100);
            }
            peer.getOutputStream().write(new byte[] {0, 0, 1, 0});
            for (int i = 0; i < 200 && server.isEmpty(); i++) {
                Thread.sleep(50);
                try {
                    peer.getOutputStream().write(0);
                } catch (SocketException e) {
                    break;
                }
            }
            LinkEvent.Closed closed = assertInstanceOf(LinkEvent.Closed.class, nextEvent(server));
            assertTrue(closed.reason().startsWith("no frame for"), closed.reason());
        }
    }

    /** Guards against an end that is reported twice, not at all or before the frames that were sent before it. */
    @Test
    void eachSideMayClose() throws Exception {
        FrameTransport longTimeoutTransport = longTimeoutTransport();
        int port = bind(longTimeoutTransport);
        for (boolean byServer : new boolean[] {false, true}) {
            longTimeoutTransport.connect("127.0.0.1", port, client::add);
            FrameLink fromClient =
                    assertInstanceOf(LinkEvent.Opened.class, nextEvent(client)).link();
            FrameLink fromServer =
                    assertInstanceOf(LinkEvent.Opened.class, nextEvent(server)).link();
            assertEquals("127.0.0.1:" + port, fromClient.remoteAddress());
            fromClient.send(1, Body.cancelCall(new CancelCall("r")));
            assertEquals(1, nextFrame(server).getCorrelationId());
            FrameLink closing = byServer ? fromServer : fromClient;
            closing.close();
            closing.close();
            LinkEvent.Closed atClient = assertInstanceOf(LinkEvent.Closed.class, nextEvent(client));
            LinkEvent.Closed atServer = assertInstanceOf(LinkEvent.Closed.class, nextEvent(server));
            assertSame(fromClient, atClient.link());
            assertSame(fromServer, atServer.link());
            assertEquals("closed by this process", (byServer ? atServer : atClient).reason());
            closing.send(Body.cancelCall(new CancelCall("dropped")));
            assertNoEvent(client);
            assertNoEvent(server);
        }
    }

    /** Guards against an orderly end of a peer that is not reported, or is reported as a failure. */
    @Test
    void endOfPeerIsReportedAfterItsFrames() throws Exception {
        int port = bind(longTimeoutTransport());
        try (Socket peer = connectTo(port)) {
            peer.getOutputStream().write(concat(encode(1), encode(2)));
        }
        assertInstanceOf(LinkEvent.Opened.class, nextEvent(server));
        assertEquals(1, nextFrame(server).getCorrelationId());
        assertEquals(2, nextFrame(server).getCorrelationId());
        assertEquals(
                "closed by peer",
                assertInstanceOf(LinkEvent.Closed.class, nextEvent(server)).reason());
        assertNoEvent(server);
    }

    /** Guards against frames of several threads that are lost, mixed or reordered. */
    @Test
    void severalThreadsMaySend() throws Exception {
        FrameTransport longTimeoutTransport = longTimeoutTransport();
        longTimeoutTransport.connect("127.0.0.1", bind(longTimeoutTransport), client::add);
        FrameLink link =
                assertInstanceOf(LinkEvent.Opened.class, nextEvent(client)).link();
        int threads = 4;
        int frames = 500;
        for (int t = 0; t < threads; t++) {
            int thread = t;
            new Thread(() -> {
                        for (int i = 0; i < frames; i++) {
                            link.send(i, Body.cancelCall(new CancelCall(String.valueOf(thread))));
                        }
                    })
                    .start();
        }
        assertInstanceOf(LinkEvent.Opened.class, nextEvent(server));
        int[] next = new int[threads];
        for (int i = 0; i < threads * frames; i++) {
            Frame frame = nextFrame(server);
            int thread = Integer.parseInt(frame.getBody().getCancelCall().getRequestId());
            assertEquals(next[thread]++, frame.getCorrelationId());
        }
    }

    /** Guards against a listener whose failure ends other connections or the accepting of new ones. */
    @Test
    void failureOfListenerClosesOnlyItsConnection() throws Exception {
        FrameTransport longTimeoutTransport = longTimeoutTransport();
        int port = longTimeoutTransport
                .bind("127.0.0.1", 0, () -> event -> {
                    server.add(event);
                    if (event instanceof LinkEvent.Received received
                            && received.frame().getCorrelationId() == 2) {
                        throw new IllegalStateException("failure of the test");
                    }
                })
                .toCompletableFuture()
                .get(5, TimeUnit.SECONDS)
                .localAddress()
                .getPort();
        try (Socket good = connectTo(port)) {
            assertInstanceOf(LinkEvent.Opened.class, nextEvent(server));
            try (Socket bad = connectTo(port)) {
                assertInstanceOf(LinkEvent.Opened.class, nextEvent(server));
                bad.getOutputStream().write(encode(2));
                assertEquals(2, nextFrame(server).getCorrelationId());
                assertEquals(
                        "failure of the test",
                        assertInstanceOf(LinkEvent.Closed.class, nextEvent(server))
                                .reason());
                assertTrue(hasEnded(bad), "the socket must be closed or reset");
            }
            good.getOutputStream().write(encode(1));
            assertEquals(1, nextFrame(server).getCorrelationId());
        }
        assertInstanceOf(LinkEvent.Closed.class, nextEvent(server));
        try (Socket next = connectTo(port)) {
            assertInstanceOf(LinkEvent.Opened.class, nextEvent(server));
        }
    }

    /** Guards against a start that goes on without its port. */
    @Test
    void portInUseFailsTheBinding() throws Exception {
        try (ServerSocket other = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            var binding = transport.bind("127.0.0.1", other.getLocalPort(), () -> server::add);
            assertThrows(
                    ExecutionException.class,
                    () -> binding.toCompletableFuture().get(5, TimeUnit.SECONDS));
        }
    }

    /** Guards against a port that accepts connections after a drain, and against a drain that closes open ones. */
    @Test
    void unboundPortAcceptsNoMoreConnections() throws Exception {
        FrameBinding binding = longTimeoutTransport()
                .bind("127.0.0.1", 0, () -> server::add)
                .toCompletableFuture()
                .get(5, TimeUnit.SECONDS);
        try (Socket open = connectTo(binding.localAddress().getPort())) {
            assertInstanceOf(LinkEvent.Opened.class, nextEvent(server));
            binding.unbind();
            boolean refused = false;
            for (int i = 0; i < 100 && !refused; i++) {
                Thread.sleep(20);
                try (Socket late = connectTo(binding.localAddress().getPort())) {
                    refused = false;
                } catch (IOException e) {
                    refused = true;
                }
            }
            assertTrue(refused, "the port must be closed");
            server.clear();
            open.getOutputStream().write(encode(7));
            LinkEvent event = nextEvent(server);
            while (!(event instanceof LinkEvent.Received)) {
                event = nextEvent(server);
            }
            assertEquals(7, ((LinkEvent.Received) event).frame().getCorrelationId());
        }
    }

    private FrameTransport longTimeoutTransport() {
        return new FrameTransport(system, LinkSettings.DEFAULT.withSilenceTimeoutMs(5_000), new EventLog("test"));
    }

    private static Socket connectTo(int port) throws IOException {
        Socket socket = new Socket("127.0.0.1", port);
        socket.setTcpNoDelay(true);
        return socket;
    }

    private static byte[] encode(int number) {
        byte[] bytes = ThriftBytes.encode(new Frame(number, Body.cancelCall(new CancelCall("r" + number))));
        return ByteBuffer.allocate(Integer.BYTES + bytes.length)
                .putInt(bytes.length)
                .put(bytes)
                .array();
    }

    private static byte[] concat(byte[]... parts) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (byte[] part : parts) {
            out.writeBytes(part);
        }
        return out.toByteArray();
    }

    private interface Action {
        void run() throws Exception;
    }

    /** Returns the lines that were logged while an action ran. */
    private static List<String> collectLog(Action action) throws Exception {
        List<String> lines = Collections.synchronizedList(new ArrayList<>());
        Handler handler = new Handler() {
            @Override
            public void publish(LogRecord line) {
                lines.add(line.getMessage());
            }

            @Override
            public void flush() {}

            @Override
            public void close() {}
        };
        Logger logger = Logger.getLogger(EventLog.class.getName());
        logger.addHandler(handler);
        try {
            action.run();
        } finally {
            logger.removeHandler(handler);
        }
        return List.copyOf(lines);
    }

    /** Waits long enough for a second event that is already on its way. */
    private static void assertNoEvent(BlockingQueue<LinkEvent> events) throws Exception {
        assertNull(events.poll(100, TimeUnit.MILLISECONDS));
    }

    private int bind() throws Exception {
        return bind(transport);
    }

    private int bind(FrameTransport binding) throws Exception {
        return binding.bind("127.0.0.1", 0, () -> server::add)
                .toCompletableFuture()
                .get(5, TimeUnit.SECONDS)
                .localAddress()
                .getPort();
    }

    private static Frame nextFrame(BlockingQueue<LinkEvent> events) throws Exception {
        return assertInstanceOf(LinkEvent.Received.class, nextEvent(events)).frame();
    }

    private static boolean hasEnded(Socket socket) throws IOException {
        try {
            return socket.getInputStream().read() == -1;
        } catch (SocketException e) {
            return true;
        }
    }

    private static LinkEvent nextEvent(BlockingQueue<LinkEvent> events) throws Exception {
        LinkEvent event = events.poll(5, TimeUnit.SECONDS);
        if (event == null) {
            throw new AssertionError("no event within 5 s");
        }
        return event;
    }
}
