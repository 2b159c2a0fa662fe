package org.fulmarreach.runtime.net;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketException;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.fulmarreach.protocol.thrift.Body;
import org.fulmarreach.protocol.thrift.CancelCall;
import org.fulmarreach.protocol.thrift.Frame;
import org.fulmarreach.runtime.log.EventLog;
import org.fulmarreach.runtime.util.ActorSystems;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.RepeatedTest;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
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
        FrameTransport longTimeoutTransport =
                new FrameTransport(system, LinkSettings.DEFAULT.withSilenceTimeoutMs(5_000), new EventLog("test"));
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

    @Test
    void refusedConnectionReportsOnlyClosed() throws Exception {
        transport.connect("127.0.0.1", 1, client::add);
        assertInstanceOf(LinkEvent.Closed.class, nextEvent(client));
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
