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

    /** The rest of a body that arrived after the last answer kept the connection in progress. */
    @Test
    void bytesAfterTheEndOfTheOutputAreNoRequest() {
        connection.received();
        connection.handlerStarted();
        connection.handlerEnded();
        connection.sent();
        connection.received();
        assertTrue(connection.isInProgress(), "a further request may have begun");
        connection.outputEnded();
        assertFalse(connection.isInProgress());
        connection.received();
        assertFalse(connection.isInProgress());
    }

    /** A peer that goes on sending would delay a stop; one that reads its answer must be waited for. */
    @Test
    void stopWaitsForAnAnsweredConnectionOnlyForAWhile() {
        connection.outputEnded();
        nowMs.set(999);
        assertEquals(1, connections.countAwaited());
        nowMs.set(1_000);
        assertEquals(0, connections.countAwaited());
        assertEquals(1, connections.countOpen());
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
