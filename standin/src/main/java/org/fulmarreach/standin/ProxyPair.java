package org.fulmarreach.standin;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * Listens on one port and forwards each accepted connection to a fixed address. Faults are injected separately for each
 * direction. "Up" is the direction from the client to the forwarding address, "down" the opposite one.
 */
final class ProxyPair {
    private static final int CHUNK_BYTES = 8 << 10;

    /** Maximum number of buffered chunks per connection and direction; a full buffer slows the sender through TCP. */
    private static final int MAX_BUFFERED_CHUNKS = 64;

    private static final int CONNECT_TIMEOUT_MS = 2_000;
    private static final byte[] END_OF_STREAM = {};

    private final InetSocketAddress forwardAddress;
    private final ProxyFaults upFaults;
    private final ProxyFaults downFaults;
    private final Set<Connection> connections = ConcurrentHashMap.newKeySet();
    private final int port;
    private ServerSocket listener;
    private Thread acceptor;
    private long accepted;

    /** Listens on {@code listenPort} (0 for a free port) and forwards connections to {@code forwardAddress}. */
    ProxyPair(int listenPort, InetSocketAddress forwardAddress, long seed) throws IOException {
        this.forwardAddress = forwardAddress;
        this.upFaults = new ProxyFaults(seed);
        this.downFaults = new ProxyFaults(seed + 1);
        this.listener = listen(listenPort);
        this.port = listener.getLocalPort();
    }

    int port() {
        return port;
    }

    ProxyFaults up() {
        return upFaults;
    }

    ProxyFaults down() {
        return downFaults;
    }

    /**
     * If {@code refusing}, closes the listening socket so that new connections are refused; otherwise listens again.
     */
    synchronized void setRefusing(boolean refusing) {
        try {
            if (refusing && listener != null) {
                listener.close();
                // The kernel accepts connections until the accepting thread has returned from accept().
                acceptor.join();
                listener = null;
            } else if (!refusing && listener == null) {
                listener = listen(port);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Drops all further bytes of the connections that are open now, without closing them. */
    void silenceOpenConnections() {
        connections.forEach(connection -> connection.silent = true);
    }

    /** Resets all open connections on both sides. */
    void resetAll() {
        connections.forEach(Connection::reset);
    }

    synchronized Map<String, Object> describe() {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("listen", StandInServer.HOST + ":" + port);
        fields.put("to", forwardAddress.getHostString() + ":" + forwardAddress.getPort());
        fields.put("refusing", listener == null);
        fields.put("accepted", accepted);
        fields.put("open", connections.size());
        fields.put("upBytes", upFaults.bytesForwarded());
        fields.put("downBytes", downFaults.bytesForwarded());
        fields.put("upSwallowed", upFaults.bytesDropped());
        fields.put("downSwallowed", downFaults.bytesDropped());
        return fields;
    }

    // Helpers

    private ServerSocket listen(int listenPort) throws IOException {
        ServerSocket socket = new ServerSocket();
        socket.setReuseAddress(true);
        socket.bind(new InetSocketAddress(InetAddress.getByName(StandInServer.HOST), listenPort), 512);
        acceptor = Thread.ofVirtual().start(() -> acceptAll(socket));
        return socket;
    }

    private void acceptAll(ServerSocket socket) {
        while (!socket.isClosed()) {
            try {
                Socket clientSocket = socket.accept();
                Thread.ofVirtual().start(() -> connect(clientSocket));
            } catch (IOException e) {
                // The listener was closed to refuse connections; the loop condition ends the thread.
            }
        }
    }

    private void connect(Socket clientSocket) {
        Socket upstreamSocket = new Socket();
        try {
            upstreamSocket.connect(forwardAddress, CONNECT_TIMEOUT_MS);
            clientSocket.setTcpNoDelay(true);
            upstreamSocket.setTcpNoDelay(true);
        } catch (IOException e) {
            closeIgnoringErrors(upstreamSocket);
            closeIgnoringErrors(clientSocket);
            return;
        }
        Connection connection = new Connection(clientSocket, upstreamSocket);
        synchronized (this) {
            accepted++;
        }
        connections.add(connection);
        connection.start();
    }

    private static void closeIgnoringErrors(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // A failed close needs no handling: the socket is not used again.
        }
    }

    private record Chunk(byte[] bytes, long dueNanos) {}

    /** One proxied connection: the socket accepted from the client and the socket to the forwarding address. */
    private final class Connection {
        private final Socket clientSocket;
        private final Socket upstreamSocket;
        private volatile boolean silent;
        private int openDirections = 2;

        Connection(Socket clientSocket, Socket upstreamSocket) {
            this.clientSocket = clientSocket;
            this.upstreamSocket = upstreamSocket;
        }

        void start() {
            startDirection(clientSocket, upstreamSocket, upFaults);
            startDirection(upstreamSocket, clientSocket, downFaults);
        }

        void reset() {
            for (Socket socket : new Socket[] {clientSocket, upstreamSocket}) {
                try {
                    // A linger time of 0 makes close send a reset.
                    socket.setSoLinger(true, 0);
                } catch (IOException e) {
                    // The socket is closed already.
                }
            }
            closeBoth();
        }

        private void startDirection(Socket from, Socket into, ProxyFaults faults) {
            BlockingQueue<Chunk> queue = new ArrayBlockingQueue<>(MAX_BUFFERED_CHUNKS);
            Thread.ofVirtual().start(() -> readAll(from, queue, faults));
            Thread.ofVirtual().start(() -> writeAll(into, queue, faults));
        }

        private void readAll(Socket from, BlockingQueue<Chunk> queue, ProxyFaults faults) {
            byte[] buffer = new byte[CHUNK_BYTES];
            long dueNanos = System.nanoTime();
            try {
                int length = from.getInputStream().read(buffer);
                while (length >= 0) {
                    dueNanos = Math.max(dueNanos, faults.scheduleDeliveryNanos(System.nanoTime(), length));
                    queue.put(new Chunk(Arrays.copyOf(buffer, length), dueNanos));
                    length = from.getInputStream().read(buffer);
                }
                queue.put(new Chunk(END_OF_STREAM, dueNanos));
            } catch (IOException e) {
                if (!isDroppingBytes(faults)) {
                    reset();
                }
                enqueueEnd(queue);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        private void enqueueEnd(BlockingQueue<Chunk> queue) {
            try {
                queue.put(new Chunk(END_OF_STREAM, System.nanoTime()));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        private void writeAll(Socket into, BlockingQueue<Chunk> queue, ProxyFaults faults) {
            long forwardedBytes = 0;
            try {
                Chunk chunk = queue.take();
                while (chunk.bytes() != END_OF_STREAM) {
                    TimeUnit.NANOSECONDS.sleep(chunk.dueNanos() - System.nanoTime());
                    forwardedBytes += forward(chunk.bytes(), into, faults, forwardedBytes);
                    chunk = queue.take();
                }
                if (!isDroppingBytes(faults)) {
                    shutdownOutput(into);
                }
            } catch (IOException e) {
                reset();
                drain(queue);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } finally {
                endDirection();
            }
        }

        private void shutdownOutput(Socket into) {
            try {
                into.shutdownOutput();
            } catch (IOException e) {
                reset();
            }
        }

        /** Empties the queue until the end marker, because the reading thread would otherwise block on a full queue. */
        private void drain(BlockingQueue<Chunk> queue) {
            try {
                Chunk chunk = queue.take();
                while (chunk.bytes() != END_OF_STREAM) {
                    chunk = queue.take();
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        private int forward(byte[] bytes, Socket into, ProxyFaults faults, long forwardedBytes) throws IOException {
            if (isDroppingBytes(faults)) {
                faults.countDropped(bytes.length);
                return 0;
            }
            int allowed = faults.countForwardable(forwardedBytes, bytes.length);
            into.getOutputStream().write(bytes, 0, allowed);
            faults.countForwarded(allowed);
            if (allowed < bytes.length) {
                throw new IOException("connection truncated after the configured number of bytes");
            }
            return allowed;
        }

        private boolean isDroppingBytes(ProxyFaults faults) {
            return silent || faults.isDropping();
        }

        private synchronized void endDirection() {
            openDirections--;
            // A silent connection stays open until both directions have ended.
            if (openDirections == 0) {
                connections.remove(this);
                closeBoth();
            }
        }

        private void closeBoth() {
            closeIgnoringErrors(clientSocket);
            closeIgnoringErrors(upstreamSocket);
        }
    }
}
