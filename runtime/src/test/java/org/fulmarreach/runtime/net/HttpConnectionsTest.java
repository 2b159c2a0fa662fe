package org.fulmarreach.runtime.net;

import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against connections that are taken for idle while a request is in progress on them. */
class HttpConnectionsTest {
    private final AtomicLong nowMs = new AtomicLong();
    private final HttpConnections connections = new HttpConnections(nowMs::get);
    private final HttpConnections.Connection connection = connections.add();

    /** The head of a request may arrive long before its body, and before the handler knows of it. */
    @Test
    void requestIsInProgressFromItsFirstByte() {
        assertFalse(connection.isInProgress());
        connection.received();
        assertTrue(connection.isInProgress());
    }

    /** The handler has answered, but the answer has not been written. */
    @Test
    void requestIsInProgressUntilItsAnswerIsWritten() {
        connection.received();
        connection.handlerStarted();
        connection.handlerEnded();
        assertTrue(connection.isInProgress());
        connection.sent();
        assertFalse(connection.isInProgress());
    }

    /** An interim response (100 Continue) is not the answer. */
    @Test
    void bytesSentWhileTheHandlerWorksAreNotTheAnswer() {
        connection.received();
        connection.handlerStarted();
        connection.sent();
        connection.handlerEnded();
        assertTrue(connection.isInProgress());
    }

    @Test
    void onlyIdleConnectionsAreClosed() {
        AtomicLong closed = new AtomicLong();
        connection.onClose(closed::incrementAndGet);
        connection.received();
        connections.closeIdle();
        assertEquals(0, closed.get());
        connection.sent();
        connections.closeIdle();
        assertEquals(1, closed.get());
    }

    /** A connection that was just accepted is about to bring a request. */
    @Test
    void acceptedConnectionEndsTheQuietTime() {
        nowMs.set(500);
        assertEquals(500, connections.quietMs());
        connections.add();
        assertEquals(0, connections.quietMs());
        assertEquals(2, connections.countOpen());
    }

    @Test
    void endedConnectionIsNotCounted() {
        connection.received();
        connection.ended();
        assertEquals(0, connections.countInProgress());
        assertTrue(connection.whenEnded().toCompletableFuture().isDone());
    }
}
