package org.fulmarreach.guard;

import java.util.HashMap;
import java.util.Map;

import org.fulmarreach.runtime.net.FrameLink;

/**
 * Confirmation before the end of a planned stop that every connected entry sends no more calls and has received all
 * answers. It relies on the order of frames on a connection, in rounds of a report of the owner of the calls, which
 * shows that it has handled all frames received before, and an acknowledged heartbeat, which shows that the entry has
 * handled all frames sent before:
 *
 * <ol>
 *   <li>The entry knows that the guard leaves. The calls that it sent before have been received.
 *   <li>The refusals that it asked for when it learned that have been received, and the calls have been answered.
 *   <li>These answers have arrived.
 * </ol>
 *
 * Confined to one actor.
 */
final class StopConfirmation {
    private static final int ROUNDS = 3;

    private final Map<FrameLink, Counts> links = new HashMap<>();
    private int pendingReports;
    private int roundsLeft;
    private Phase phase = Phase.IDLE;

    private enum Phase {
        IDLE,
        AWAITING_REPORT,
        AWAITING_ACKNOWLEDGEMENTS
    }

    /** What the owner of the connections has to do next. */
    enum Action {
        WAIT,
        REQUEST_REPORT,
        SEND_HEARTBEATS,
        FINISH
    }

    /** Heartbeats of a connection; each is acknowledged once, in order. */
    private static final class Counts {
        private long sent;
        private long acknowledged;
        private long awaited;
    }

    /*
     * Observations
     */

    void recordReportRequest() {
        pendingReports++;
    }

    void recordReport() {
        pendingReports--;
    }

    void recordHeartbeat(FrameLink link) {
        links.computeIfAbsent(link, unused -> new Counts()).sent++;
    }

    void recordAcknowledgement(FrameLink link) {
        Counts counts = links.get(link);
        if (counts != null) {
            counts.acknowledged++;
        }
    }

    void removeLink(FrameLink link) {
        links.remove(link);
    }

    /*
     * Rounds
     */

    /** Starts the first round; the owner requests a report. */
    void start() {
        roundsLeft = ROUNDS;
        phase = Phase.AWAITING_REPORT;
    }

    void stop() {
        phase = Phase.IDLE;
    }

    /** Waits for the acknowledgements of all heartbeats sent so far. */
    void awaitAcknowledgements() {
        phase = Phase.AWAITING_ACKNOWLEDGEMENTS;
        links.values().forEach(counts -> counts.awaited = counts.sent);
    }

    /** Returns the next action after an observation, and begins the next round if one has ended. */
    Action advance() {
        if (phase == Phase.AWAITING_REPORT && pendingReports <= 0) {
            return Action.SEND_HEARTBEATS;
        }
        boolean ended = phase == Phase.AWAITING_ACKNOWLEDGEMENTS
                && links.values().stream().allMatch(counts -> counts.acknowledged >= counts.awaited);
        if (!ended) {
            return Action.WAIT;
        }
        roundsLeft--;
        if (roundsLeft == 0) {
            return Action.FINISH;
        }
        phase = Phase.AWAITING_REPORT;
        return Action.REQUEST_REPORT;
    }
}
