package org.fulmarreach.guard;

import org.fulmarreach.guard.StopConfirmation.Action;
import org.fulmarreach.protocol.thrift.Body;
import org.fulmarreach.runtime.net.FrameLink;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Guards against a planned stop that ends before its entries have all answers, or never ends. */
class StopConfirmationTest {
    private final StopConfirmation confirmation = new StopConfirmation();
    private final FrameLink link = new Link();

    /** The acknowledgement of an earlier heartbeat does not show that the entry has handled later frames. */
    @Test
    void acknowledgementOfAnEarlierHeartbeatDoesNotCount() {
        confirmation.recordHeartbeat(link);
        startRound();
        confirmation.recordAcknowledgement(link);
        assertEquals(Action.WAIT, confirmation.advance());
        confirmation.recordAcknowledgement(link);
        assertEquals(Action.REQUEST_REPORT, confirmation.advance());
    }

    /** A report that was requested before may have been given before the frames of this round were handled. */
    @Test
    void earlierReportDoesNotCount() {
        confirmation.recordReportRequest();
        confirmation.start();
        confirmation.recordReportRequest();
        confirmation.recordReport();
        assertEquals(Action.WAIT, confirmation.advance());
        confirmation.recordReport();
        assertEquals(Action.SEND_HEARTBEATS, confirmation.advance());
    }

    @Test
    void endsAfterThreeRounds() {
        startRound();
        for (int round = 1; round < 3; round++) {
            confirmation.recordAcknowledgement(link);
            assertEquals(Action.REQUEST_REPORT, confirmation.advance());
            sendHeartbeat();
        }
        confirmation.recordAcknowledgement(link);
        assertEquals(Action.FINISH, confirmation.advance());
    }

    @Test
    void closedConnectionIsNotAwaited() {
        startRound();
        confirmation.removeLink(link);
        assertEquals(Action.REQUEST_REPORT, confirmation.advance());
    }

    private void startRound() {
        confirmation.start();
        sendHeartbeat();
    }

    private void sendHeartbeat() {
        assertEquals(Action.SEND_HEARTBEATS, confirmation.advance());
        confirmation.recordHeartbeat(link);
        confirmation.awaitAcknowledgements();
    }

    private static final class Link implements FrameLink {
        @Override
        public void send(long correlationId, Body body) {
            // The test counts the heartbeats itself.
        }

        @Override
        public void close() {
            // There is no connection to close.
        }

        @Override
        public String remoteAddress() {
            return "127.0.0.1:1";
        }
    }
}
