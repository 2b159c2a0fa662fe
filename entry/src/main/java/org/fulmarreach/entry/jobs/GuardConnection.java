package org.fulmarreach.entry.jobs;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

import org.fulmarreach.protocol.thrift.Body;
import org.fulmarreach.protocol.thrift.Frame;
import org.fulmarreach.protocol.thrift.GuardReport;
import org.fulmarreach.protocol.thrift.OrderOutcome;
import org.fulmarreach.runtime.net.LinkEvent;

/**
 * Listener of an accepted connection: passes its events to the actor, but keeps at most one report of a guard waiting.
 * A later report replaces the one that waits, since it repeats everything but the outcomes of orders, which are added
 * to it. When the connection closes, the waiting report is dropped, since no answer can reach the guard any more.
 *
 * <p>Otherwise an actor that is slower than the reports arrive answers each guard later and later. Guards close a
 * connection without an answer and connect again, so the actor would be occupied with reports of closed connections.
 * Thread-safe.
 */
final class GuardConnection implements Consumer<LinkEvent> {
    private final Consumer<JobsCommand> actor;
    private LinkEvent.Received waiting;

    /**
     * Constructs the listener of a new connection.
     *
     * @param actor receives the events
     */
    GuardConnection(Consumer<JobsCommand> actor) {
        this.actor = actor;
    }

    @Override
    public void accept(LinkEvent event) {
        if (event instanceof LinkEvent.Received received && isReport(received.frame())) {
            if (replaceWaiting(received)) {
                actor.accept(new JobsCommand.GuardReportDue(this));
            }
            return;
        }
        if (event instanceof LinkEvent.Closed) {
            takeReport();
        }
        actor.accept(new JobsCommand.GuardLink(event));
    }

    /** Returns the report that waits and removes it; empty if the connection was closed. */
    synchronized Optional<LinkEvent.Received> takeReport() {
        Optional<LinkEvent.Received> taken = Optional.ofNullable(waiting);
        waiting = null;
        return taken;
    }

    /*
     * Helpers
     */

    private static boolean isReport(Frame frame) {
        Body body = frame.getBody();
        return body != null && body.isSetGuardReport();
    }

    /** Replaces the report that waits; returns whether there was none. */
    private synchronized boolean replaceWaiting(LinkEvent.Received received) {
        LinkEvent.Received before = waiting;
        waiting = received;
        if (before == null) {
            return true;
        }
        addOutcomes(
                before.frame().getBody().getGuardReport(),
                received.frame().getBody().getGuardReport());
        return false;
    }

    /**
     * Adds the outcomes of an earlier report to a later one, unless the guard repeats them itself. Confirmed stops,
     * which it repeats in each report, may stand there twice; the second time has no effect.
     */
    private static void addOutcomes(GuardReport earlier, GuardReport later) {
        // A guard repeats the outcomes until it has sent them in a report that describes its worker.
        if (earlier.isSetWorker() && earlier.isSetOutcomes() && later.isSetOutcomes()) {
            List<OrderOutcome> all = new ArrayList<>(earlier.getOutcomes());
            all.addAll(later.getOutcomes());
            later.setOutcomes(all);
        }
    }
}
