package org.fulmarreach.standin;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.time.Duration;

import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against a proxy that injects weaker faults than configured, so that tests of silent connections pass wrongly.
 */
class ProxyPairTest {
    private static final int SILENCE_MS = 400;

    private ServerSocket echo;
    private ProxyPair pair;

    @BeforeEach
    void start() throws IOException {
        echo = new ServerSocket(0);
        Thread.ofVirtual().start(this::serveEcho);
        pair = new ProxyPair(0, new InetSocketAddress(StandInServer.HOST, echo.getLocalPort()), 1);
    }

    @AfterEach
    void stop() throws IOException {
        pair.setRefusing(true);
        pair.resetAll();
        echo.close();
    }

    @Test
    void silentConnectionStaysOpenAndNewConnectionsWork() throws IOException {
        try (Socket first = connect()) {
            assertEquals('a', roundTrip(first, 'a'));
            pair.silenceOpenConnections();
            assertSilent(first, 'b');
            try (Socket second = connect()) {
                assertEquals('c', roundTrip(second, 'c'));
            }
            assertSilent(first, 'd');
            assertTrue(pair.up().bytesDropped() > 0);
        }
    }

    @Test
    void droppingOneDirectionLeavesTheOtherIntact() throws IOException {
        try (Socket socket = connect()) {
            assertEquals('a', roundTrip(socket, 'a'));
            pair.down().configure(StandInServer.parse("{\"drop\":true}".getBytes()));
            assertSilent(socket, 'b');
            assertEquals(2, pair.up().bytesForwarded());
            assertEquals(1, pair.down().bytesForwarded());
        }
    }

    @Test
    void delayAndBandwidthSlowResponses() throws IOException {
        pair.up().configure(StandInServer.parse("{\"delayMs\":100}".getBytes()));
        pair.down().configure(StandInServer.parse("{\"bitsPerS\":80}".getBytes()));
        try (Socket socket = connect()) {
            long startNanos = System.nanoTime();
            assertEquals('a', roundTrip(socket, 'a'));
            // 100 ms delay, and 100 ms to transfer 8 bits at 80 bits per second.
            assertTrue(System.nanoTime() - startNanos >= 200_000_000L);
        }
    }

    @Test
    void resetTruncationAndRefusalCloseOrRefuseConnections() throws IOException {
        try (Socket socket = connect()) {
            assertEquals('a', roundTrip(socket, 'a'));
            pair.resetAll();
            assertThrows(SocketException.class, () -> {
                roundTrip(socket, 'b');
                roundTrip(socket, 'c');
            });
        }
        pair.down().configure(StandInServer.parse("{\"truncateAfter\":1}".getBytes()));
        try (Socket socket = connect()) {
            assertEquals('a', roundTrip(socket, 'a'));
            assertThrows(SocketException.class, () -> {
                if (roundTrip(socket, 'b') == -1) {
                    throw new SocketException("closed");
                }
            });
        }
        for (int i = 0; i < 20; i++) {
            pair.setRefusing(true);
            assertThrows(ConnectException.class, this::connect);
            pair.setRefusing(false);
            connect().close();
        }
    }

    @Test
    void closedConnectionsAreRemoved() throws IOException {
        pair.down().configure(StandInServer.parse("{\"truncateAfter\":1}".getBytes()));
        for (int i = 0; i < 5; i++) {
            try (Socket socket = connect()) {
                socket.getOutputStream().write("abc".getBytes());
                socket.getInputStream().read();
            }
        }
        Awaitility.await()
                .atMost(Duration.ofSeconds(5))
                .until(() -> pair.describe().get("open").equals(0));
    }

    // Helpers

    private Socket connect() throws IOException {
        Socket socket = new Socket(StandInServer.HOST, pair.port());
        socket.setSoTimeout(WorkerAgentTest.CALL_TIMEOUT_MS);
        return socket;
    }

    /** Asserts that no byte is received and that the connection stays open. */
    private static void assertSilent(Socket socket, int letter) throws IOException {
        socket.setSoTimeout(SILENCE_MS);
        assertThrows(SocketTimeoutException.class, () -> roundTrip(socket, letter));
    }

    private static int roundTrip(Socket socket, int letter) throws IOException {
        socket.getOutputStream().write(letter);
        return socket.getInputStream().read();
    }

    private void serveEcho() {
        while (!echo.isClosed()) {
            try {
                Socket socket = echo.accept();
                Thread.ofVirtual().start(() -> {
                    try (socket) {
                        socket.getInputStream().transferTo(socket.getOutputStream());
                    } catch (IOException e) {
                        // The test resets connections.
                    }
                });
            } catch (IOException e) {
                // The test has closed the listener.
            }
        }
    }
}
