package org.fulmarreach.entry.jobs;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.function.Consumer;

import org.fulmarreach.runtime.net.LinkEvent;

/**
 * Lets what arrives at the actor meanwhile go between the reports of guards: reports wait here in their order, and only
 * one message to the actor is on its way for all of them, upon which the actor handles a few and asks for its next turn
 * behind the messages that have arrived. A pool sends its reports in bursts, and after the loss of a leader all at
 * once; a caller's request behind such a burst would wait until all of them are handled, each possibly with a
 * scheduling pass. Thread-safe.
 */
final class ReportTurns implements Consumer<JobsCommand> {
    /**
     * More than one, since each turn waits for all other messages: a guard must be answered in time also while callers
     * send requests as fast as they are handled.
     */
    static final int REPORTS_PER_TURN = 8;

    private final Consumer<JobsCommand> actor;
    private final Queue<GuardConnection> waiting = new ArrayDeque<>();
    private boolean turnIsDue;

    /**
     * Constructs the turns of one actor.
     *
     * @param actor sends messages to the actor
     */
    ReportTurns(Consumer<JobsCommand> actor) {
        this.actor = actor;
    }

    /** Takes the message that a report waits; sends any other one to the actor. */
    @Override
    public void accept(JobsCommand command) {
        if (command instanceof JobsCommand.GuardReportDue due) {
            add(due.connection());
        } else {
            actor.accept(command);
        }
    }

    /** Handles the reports that have waited longest; called by the actor for each turn that is due. */
    void handle(Consumer<LinkEvent> handler) {
        try {
            GuardConnection next = poll();
            for (int i = 1; next != null; i++) {
                next.takeReport().ifPresent(handler);
                next = i < REPORTS_PER_TURN ? poll() : null;
            }
        } finally {
            requestNextTurn();
        }
    }

    /*
     * Helpers
     */

    private void add(GuardConnection connection) {
        boolean first;
        synchronized (this) {
            waiting.add(connection);
            first = !turnIsDue;
            turnIsDue = true;
        }
        if (first) {
            actor.accept(new JobsCommand.ReportTurnDue(this));
        }
    }

    private synchronized GuardConnection poll() {
        return waiting.poll();
    }

    private void requestNextTurn() {
        synchronized (this) {
            turnIsDue = !waiting.isEmpty();
            if (!turnIsDue) {
                return;
            }
        }
        actor.accept(new JobsCommand.ReportTurnDue(this));
    }
}
