package org.fulmarreach.entry.jobs;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;

import org.fulmarreach.protocol.thrift.Body;
import org.fulmarreach.protocol.thrift.Frame;
import org.fulmarreach.protocol.thrift.GuardReport;
import org.fulmarreach.runtime.net.LinkEvent;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** The order in which an actor gets to reports of guards and to what callers send, on an emulated mailbox. */
class ReportTurnsTest {
    private static final int GUARDS = 68;

    private final Queue<JobsCommand> mailbox = new ArrayDeque<>();
    private final ReportTurns turns = new ReportTurns(mailbox::add);
    private final List<GuardConnection> connections = new ArrayList<>();
    private final List<String> handled = new ArrayList<>();

    ReportTurnsTest() {
        for (int i = 0; i < GUARDS; i++) {
            connections.add(new GuardConnection(turns));
        }
    }

    /** Callers' requests waited behind the reports of all guards, each of which may cause a scheduling pass. */
    @Test
    void requestIsHandledBeforeReportsThatCameEarlier() {
        reportAll();
        mailbox.add(query("job-1"));
        runMailbox();
        assertTrue(handled.indexOf("job-1") <= ReportTurns.REPORTS_PER_TURN, handled::toString);
        assertEquals(GUARDS + 1, handled.size());
    }

    /** Guards must be answered within their lease also while callers send as fast as they are answered. */
    @Test
    void reportsAreHandledDuringAFloodOfRequests() {
        reportAll();
        int requests = 0;
        while (handled.size() - requests < GUARDS && requests < 10 * GUARDS) {
            mailbox.add(query("job"));
            requests++;
            runOne();
            runOne();
        }
        assertTrue(requests <= GUARDS, requests + " requests before the last report");
    }

    @Test
    void reportsAreHandledOnceAndInTheirOrder() {
        reportAll();
        runMailbox();
        List<String> expected = new ArrayList<>();
        for (int i = 0; i < GUARDS; i++) {
            expected.add("guard-" + i);
        }
        assertEquals(expected, handled);
        reportAll();
        runMailbox();
        assertEquals(2 * GUARDS, handled.size());
    }

    /** A flood of reports must not fill the mailbox of the actor. */
    @Test
    void atMostOneTurnIsOnItsWay() {
        reportAll();
        reportAll();
        assertEquals(1, mailbox.size());
        runOne();
        assertEquals(1, mailbox.size());
        runMailbox();
        assertEquals(GUARDS, handled.size());
    }

    /** A report that cannot be handled must not keep those behind it waiting for ever. */
    @Test
    void turnsGoOnAfterAFailure() {
        reportAll();
        assertThrows(
                IllegalStateException.class,
                () -> turns.handle(event -> {
                    throw new IllegalStateException("broken report");
                }));
        runMailbox();
        assertEquals(GUARDS - 1, handled.size());
    }

    private void reportAll() {
        for (int i = 0; i < GUARDS; i++) {
            GuardReport report = new GuardReport();
            report.setGuard("guard-" + i);
            connections.get(i).accept(new LinkEvent.Received(new FakeLink(), new Frame(0, Body.guardReport(report))));
        }
    }

    private void runMailbox() {
        while (!mailbox.isEmpty()) {
            runOne();
        }
    }

    private void runOne() {
        switch (mailbox.poll()) {
            case JobsCommand.ReportTurnDue due ->
                due.turns().handle(event -> {
                    LinkEvent.Received received = (LinkEvent.Received) event;
                    handled.add(received.frame().getBody().getGuardReport().getGuard());
                });
            case JobsCommand.Query query -> handled.add(query.jobId());
            case null -> {}
            default -> throw new AssertionError("unexpected command");
        }
    }

    private static JobsCommand query(String id) {
        return new JobsCommand.Query(id, new CompletableFuture<>());
    }
}
