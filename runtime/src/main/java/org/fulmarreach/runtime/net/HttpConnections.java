package org.fulmarreach.runtime.net;

import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import org.fulmarreach.runtime.util.MonotonicClock;

/** The open connections of a listener, and which of them have a request in progress. Thread-safe. */
final class HttpConnections {
    private final MonotonicClock clock;
    private final Set<Connection> open = ConcurrentHashMap.newKeySet();
    private final AtomicLong lastReceivedAtMs;

    HttpConnections(MonotonicClock clock) {
        this.clock = clock;
        this.lastReceivedAtMs = new AtomicLong(clock.nowMs());
    }

    /** Adds a connection that was accepted. */
    Connection add() {
        Connection connection = new Connection();
        open.add(connection);
        lastReceivedAtMs.set(clock.nowMs());
        return connection;
    }

    /** Returns how long ago the last connection was accepted or the last bytes were received. */
    long quietMs() {
        return clock.nowMs() - lastReceivedAtMs.get();
    }

    /** Returns the number of connections on which a request has begun and its answer is not complete. */
    int countInProgress() {
        return (int) open.stream().filter(Connection::isInProgress).count();
    }

    int countOpen() {
        return open.size();
    }

    /** Closes each connection that has no request in progress. */
    void closeIdle() {
        open.stream().filter(connection -> !connection.isInProgress()).forEach(Connection::close);
    }

    /**
     * One connection. A request is in progress from its first byte until the last byte of its answer was passed to the
     * transport. Only strict answers are counted correctly: the first bytes after the handler has answered are taken
     * for the whole answer.
     */
    final class Connection {
        private final AtomicInteger handled = new AtomicInteger();
        private final CompletableFuture<Connection> ended = new CompletableFuture<>();
        private volatile boolean receivedSinceAnswer;
        private volatile Runnable closer = () -> {};

        /** Sets what closes this connection. */
        void onClose(Runnable action) {
            closer = action;
        }

        void received() {
            receivedSinceAnswer = true;
            lastReceivedAtMs.set(clock.nowMs());
        }

        void sent() {
            if (handled.get() == 0) {
                receivedSinceAnswer = false;
            }
        }

        void handlerStarted() {
            handled.incrementAndGet();
        }

        void handlerEnded() {
            handled.decrementAndGet();
        }

        /** The connection has ended: both sides have closed it, or it was aborted. */
        void ended() {
            open.remove(this);
            ended.complete(this);
        }

        CompletionStage<Connection> whenEnded() {
            return ended;
        }

        boolean isInProgress() {
            return receivedSinceAnswer || handled.get() > 0;
        }

        private void close() {
            closer.run();
        }
    }
}
