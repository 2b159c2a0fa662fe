package org.fulmarreach.it.site;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.IntFunction;

/**
 * Clients that send without reading the answers. Each has one connection that stays open until this crowd is closed.
 * Thread-safe.
 */
final class ClientCrowd implements AutoCloseable {
    private static final int SEND_BUFFER_BYTES = 32 * 1024;
    private static final int CONNECT_TIMEOUT_MS = 2_000;

    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private final List<Thread> senders = new CopyOnWriteArrayList<>();
    private final AtomicLong sentBytes = new AtomicLong();
    private final AtomicInteger unfinished = new AtomicInteger();

    /**
     * Opens the connections and starts to send.
     *
     * @param address listener
     * @param connections number of clients
     * @param quotaBytes a client stops after this many bytes
     * @param parts what a client sends, by the number of the part; empty at the end
     */
    ClientCrowd(InetSocketAddress address, int connections, long quotaBytes, IntFunction<byte[]> parts) {
        unfinished.set(connections);
        for (int i = 0; i < connections; i++) {
            int first = i << 20;
            senders.add(Thread.ofVirtual().start(() -> {
                try {
                    send(address, quotaBytes, part -> parts.apply(first + part));
                } catch (IOException e) {
                    // The listener refused or closed the connection, which it may do.
                } finally {
                    unfinished.decrementAndGet();
                }
            }));
        }
    }

    /** Returns the bytes that the transport has taken from all clients. */
    long sentBytes() {
        return sentBytes.get();
    }

    /** Returns whether each client has sent all it wanted or was closed. */
    boolean isFinished() {
        return unfinished.get() == 0;
    }

    @Override
    public void close() {
        for (Socket socket : sockets) {
            try {
                socket.close();
            } catch (IOException e) {
                // Its connection has ended already.
            }
        }
        senders.forEach(Thread::interrupt);
    }

    private void send(InetSocketAddress address, long quotaBytes, IntFunction<byte[]> parts) throws IOException {
        Socket socket = new Socket();
        sockets.add(socket);
        socket.setSendBufferSize(SEND_BUFFER_BYTES);
        socket.setReceiveBufferSize(SEND_BUFFER_BYTES);
        socket.connect(address, CONNECT_TIMEOUT_MS);
        OutputStream out = socket.getOutputStream();
        long sent = 0;
        for (int part = 0; sent < quotaBytes; part++) {
            byte[] bytes = parts.apply(part);
            if (bytes.length == 0) {
                return;
            }
            out.write(bytes);
            sent += bytes.length;
            sentBytes.addAndGet(bytes.length);
        }
    }
}
