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
    /** A stop waits this long for a peer to close after its last answer; closing at once could cut the answer off. */
    private static final long MAX_AWAITED_MS = 1_000;

    private static final long NOT_ENDED = -1;

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

    /** Returns the number of open connections that a stop waits for: all but those answered some time ago. */
    int countAwaited() {
        return (int)
                open.stream().filter(connection -> !connection.isAnswered()).count();
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
        private volatile long outputEndedAtMs = NOT_ENDED;
        private volatile Runnable closer = () -> {};

        /** Sets what closes this connection. */
        void onClose(Runnable action) {
            closer = action;
        }

        void received() {
            if (outputEndedAtMs != NOT_ENDED) {
                return;
            }
            receivedSinceAnswer = true;
            lastReceivedAtMs.set(clock.nowMs());
        }

        void sent() {
            if (handled.get() == 0) {
                receivedSinceAnswer = false;
            }
        }

        /** The last answer was passed to the transport; what is received from now on is discarded. */
        void outputEnded() {
            outputEndedAtMs = clock.nowMs();
            receivedSinceAnswer = false;
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

        /** Returns whether a handler works on a request. */
        boolean isHandled() {
            return handled.get() > 0;
        }

        boolean isInProgress() {
            return receivedSinceAnswer || handled.get() > 0;
        }

        private boolean isAnswered() {
            return outputEndedAtMs != NOT_ENDED && clock.nowMs() - outputEndedAtMs >= MAX_AWAITED_MS;
        }

        private void close() {
            closer.run();
        }
    }
}
