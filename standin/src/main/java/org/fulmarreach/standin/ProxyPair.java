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

/** One proxied address: listens on a port and forwards each connection, with faults for each direction. */
final class ProxyPair {
    private static final int CHUNK_BYTES = 8 << 10;

    /** Bound on the chunks in flight for each connection and direction; then the sender is slowed by TCP. */
    private static final int MAX_CHUNKS = 64;

    private static final int CONNECT_TIMEOUT_MS = 2_000;
    private static final byte[] END = {};

    private final InetSocketAddress to;
    private final ProxyFaults up;
    private final ProxyFaults down;
    private final Set<Link> links = ConcurrentHashMap.newKeySet();
    private final int port;
    private ServerSocket listener;
    private Thread acceptor;
    private long accepted;

    /** Listens on {@code listenPort} (0 for a free one) and forwards to {@code to}; up is towards {@code to}. */
    ProxyPair(int listenPort, InetSocketAddress to, long seed) throws IOException {
        this.to = to;
        this.up = new ProxyFaults(seed);
        this.down = new ProxyFaults(seed + 1);
        this.listener = listen(listenPort);
        this.port = listener.getLocalPort();
    }

    int port() {
        return port;
    }

    ProxyFaults up() {
        return up;
    }

    ProxyFaults down() {
        return down;
    }

    /** Refuses new connections by closing the listening socket, or listens again. */
    synchronized void setRefusing(boolean refusing) {
        try {
            if (refusing && listener != null) {
                listener.close();
                // The kernel goes on accepting until the accepting thread has left its call.
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

    /** Swallows all bytes of the connections established until now, without closing them. */
    void silenceAll() {
        links.forEach(link -> link.silent = true);
    }

    /** Resets all open connections on both sides. */
    void resetAll() {
        links.forEach(Link::reset);
    }

    synchronized Map<String, Object> describe() {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("listen", StandInServer.HOST + ":" + port);
        fields.put("to", to.getHostString() + ":" + to.getPort());
        fields.put("refusing", listener == null);
        fields.put("accepted", accepted);
        fields.put("open", links.size());
        fields.put("upBytes", up.bytesForwarded());
        fields.put("downBytes", down.bytesForwarded());
        fields.put("upSwallowed", up.bytesSwallowed());
        fields.put("downSwallowed", down.bytesSwallowed());
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
                Socket near = socket.accept();
                Thread.ofVirtual().start(() -> connect(near));
            } catch (IOException e) {
                // The listener was closed to refuse connections; the loop condition ends the thread.
            }
        }
    }

    private void connect(Socket near) {
        Socket far = new Socket();
        try {
            far.connect(to, CONNECT_TIMEOUT_MS);
            near.setTcpNoDelay(true);
            far.setTcpNoDelay(true);
        } catch (IOException e) {
            closeQuietly(far);
            closeQuietly(near);
            return;
        }
        Link link = new Link(near, far);
        synchronized (this) {
            accepted++;
        }
        links.add(link);
        link.start();
    }

    private static void closeQuietly(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // Nothing is left to be done with the socket.
        }
    }

    private record Chunk(byte[] bytes, long dueNanos) {}

    /** One proxied connection. */
    private final class Link {
        private final Socket near;
        private final Socket far;
        private volatile boolean silent;
        private int openDirections = 2;

        Link(Socket near, Socket far) {
            this.near = near;
            this.far = far;
        }

        void start() {
            startDirection(near, far, up);
            startDirection(far, near, down);
        }

        void reset() {
            for (Socket socket : new Socket[] {near, far}) {
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
            BlockingQueue<Chunk> queue = new ArrayBlockingQueue<>(MAX_CHUNKS);
            Thread.ofVirtual().start(() -> readAll(from, queue, faults));
            Thread.ofVirtual().start(() -> writeAll(into, queue, faults));
        }

        private void readAll(Socket from, BlockingQueue<Chunk> queue, ProxyFaults faults) {
            byte[] buffer = new byte[CHUNK_BYTES];
            long dueNanos = System.nanoTime();
            try {
                int length = from.getInputStream().read(buffer);
                while (length >= 0) {
                    dueNanos = Math.max(dueNanos, faults.scheduleNanos(System.nanoTime(), length));
                    queue.put(new Chunk(Arrays.copyOf(buffer, length), dueNanos));
                    length = from.getInputStream().read(buffer);
                }
                queue.put(new Chunk(END, dueNanos));
            } catch (IOException e) {
                if (!isCut(faults)) {
                    reset();
                }
                endQuietly(queue);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        private void endQuietly(BlockingQueue<Chunk> queue) {
            try {
                queue.put(new Chunk(END, System.nanoTime()));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        private void writeAll(Socket into, BlockingQueue<Chunk> queue, ProxyFaults faults) {
            long passed = 0;
            try {
                Chunk chunk = queue.take();
                while (chunk.bytes() != END) {
                    TimeUnit.NANOSECONDS.sleep(chunk.dueNanos() - System.nanoTime());
                    passed += forward(chunk.bytes(), into, faults, passed);
                    chunk = queue.take();
                }
                if (!isCut(faults)) {
                    endOutput(into);
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

        private void endOutput(Socket into) {
            try {
                into.shutdownOutput();
            } catch (IOException e) {
                reset();
            }
        }

        /** Lets the reading thread end, which could otherwise wait for room in the queue for ever. */
        private void drain(BlockingQueue<Chunk> queue) {
            try {
                Chunk chunk = queue.take();
                while (chunk.bytes() != END) {
                    chunk = queue.take();
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        private int forward(byte[] bytes, Socket into, ProxyFaults faults, long passed) throws IOException {
            if (isCut(faults)) {
                faults.countSwallowed(bytes.length);
                return 0;
            }
            int allowed = faults.limit(passed, bytes.length);
            into.getOutputStream().write(bytes, 0, allowed);
            faults.countForwarded(allowed);
            if (allowed < bytes.length) {
                throw new IOException("truncated on demand");
            }
            return allowed;
        }

        private boolean isCut(ProxyFaults faults) {
            return silent || faults.isDropping();
        }

        private synchronized void endDirection() {
            openDirections--;
            // A silent connection stays open on the side that has not closed it.
            if (openDirections == 0) {
                links.remove(this);
                closeBoth();
            }
        }

        private void closeBoth() {
            closeQuietly(near);
            closeQuietly(far);
        }
    }
}
