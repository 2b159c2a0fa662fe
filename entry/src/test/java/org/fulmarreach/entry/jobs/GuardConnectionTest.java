package org.fulmarreach.entry.jobs;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.fulmarreach.protocol.thrift.Body;
import org.fulmarreach.protocol.thrift.Frame;
import org.fulmarreach.protocol.thrift.GuardReport;
import org.fulmarreach.protocol.thrift.OrderOutcome;
import org.fulmarreach.protocol.thrift.WorkerStatus;
import org.fulmarreach.runtime.net.FrameLink;
import org.fulmarreach.runtime.net.LinkEvent;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

/** Reports of a guard to an actor that has not processed the earlier ones yet. */
class GuardConnectionTest {
    private final FrameLink link = new SilentLink();
    private final List<JobsCommand> sent = new ArrayList<>();
    private final GuardConnection connection = new GuardConnection(sent::add);

    /** Guards against an actor whose backlog grows with each report, so that guards get no answer in time. */
    @Test
    void atMostOneReportWaitsAndItIsTheNewest() {
        for (int tick = 1; tick <= 3; tick++) {
            report(tick, true, "task-" + tick);
        }
        assertEquals(1, sent.size(), "commands to the actor");
        assertEquals(3, take().orElseThrow().getTickMs());
        assertEquals(Optional.empty(), take());
        report(4, true, "task-4");
        assertEquals(2, sent.size(), "commands to the actor");
        assertEquals(4, take().orElseThrow().getTickMs());
    }

    /** Guards against outcomes that are lost with a replaced report, since a guard sends each only once. */
    @Test
    void outcomesOfReplacedReportsAreKept() {
        report(1, true, "task-1");
        report(2, true, "task-2");
        report(3, true, "task-3");
        assertEquals(List.of("task-1", "task-2", "task-3"), takeOutcomes());
    }

    /** Guards against outcomes that are applied twice, since a guard repeats them until it has described its worker. */
    @Test
    void outcomesThatTheGuardRepeatsAreNotDoubled() {
        report(1, false, "task-1");
        report(2, true, "task-1");
        assertEquals(List.of("task-1"), takeOutcomes());
    }

    /** Guards against work for guards that have given up waiting for an answer and connected again. */
    @Test
    void reportOfAClosedConnectionIsDropped() {
        connection.accept(new LinkEvent.Opened(link));
        report(1, true, "task-1");
        connection.accept(new LinkEvent.Closed(link, "closed"));
        assertEquals(Optional.empty(), take());
        assertEquals(3, sent.size(), "commands to the actor");
        assertInstanceOf(LinkEvent.Closed.class, ((JobsCommand.GuardLink) sent.get(2)).event());
    }

    /** Guards against forwarded requests that are dropped like outdated reports. */
    @Test
    void otherFramesAreAllPassedOn() {
        connection.accept(new LinkEvent.Received(link, new Frame(1, new Body())));
        connection.accept(new LinkEvent.Received(link, new Frame()));
        assertEquals(2, sent.size(), "commands to the actor");
    }

    private void report(long tickMs, boolean withWorker, String task) {
        GuardReport report = new GuardReport();
        report.setGuard("guard");
        report.setTickMs(tickMs);
        report.setOutcomes(List.of(new OrderOutcome(task, 1, true, "room")));
        if (withWorker) {
            report.setWorker(new WorkerStatus());
        }
        connection.accept(new LinkEvent.Received(link, new Frame(0, Body.guardReport(report))));
    }

    private Optional<GuardReport> take() {
        return connection
                .takeReport()
                .map(received -> received.frame().getBody().getGuardReport());
    }

    private List<String> takeOutcomes() {
        return take().orElseThrow().getOutcomes().stream()
                .map(OrderOutcome::getTask)
                .toList();
    }

    /** Connection that sends nothing. */
    private static final class SilentLink implements FrameLink {
        @Override
        public void send(long correlationId, Body body) {
            // Nothing is sent to the guard in these tests.
        }

        @Override
        public void close() {
            // The tests report the end of the connection themselves.
        }

        @Override
        public String remoteAddress() {
            return "10.0.0.1:1";
        }
    }
}
