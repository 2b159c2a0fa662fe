package org.fulmarreach.entry.jobs;

import java.util.List;
import java.util.Random;

import org.apache.pekko.actor.typed.ActorRef;
import org.fulmarreach.platform.store.AppendCondition;
import org.fulmarreach.platform.store.AppendResult;
import org.fulmarreach.platform.store.KeyedRecord;
import org.fulmarreach.platform.store.StoreClient;
import org.fulmarreach.protocol.io.JobRecords;
import org.fulmarreach.protocol.io.JobTopics;
import org.fulmarreach.protocol.thrift.JobLeader;
import org.fulmarreach.runtime.log.EventLog;
import org.fulmarreach.runtime.util.MonotonicClock;

/**
 * Asks the store for the next term when the leader has been silent. A term is won by an append with the condition that
 * the log ends where this entry has read to; a second append opens the epoch of the term. The store decides, so a wrong
 * time costs a change of leader at most. Belongs to one actor and is called on it only.
 */
final class Election {
    /** Longer than three keep-alives of a leader and the delay of a slow store. */
    private static final long LEADER_SILENCE_MS = 1_500;

    /** Spreads candidates, so that mostly one of them asks. */
    private static final int JITTER_MS = 200;

    private final JobsActor.Identity identity;
    private final StoreClient store;
    private final ActorRef<JobsCommand> actor;
    private final MonotonicClock clock;
    private final EventLog log;
    private final Random random;
    private JobLeader leader = new JobLeader(0, "", "");
    private long highestTerm;
    private long silentSinceMs;
    private long delayMs;
    private long candidateTerm;
    private boolean pending;

    Election(
            JobsActor.Identity identity,
            StoreClient store,
            ActorRef<JobsCommand> actor,
            MonotonicClock clock,
            EventLog log,
            Random random) {
        this.identity = identity;
        this.store = store;
        this.actor = actor;
        this.clock = clock;
        this.log = log;
        this.random = random;
        this.silentSinceMs = clock.nowMs();
        this.delayMs = random.nextInt(JITTER_MS);
    }

    /** Returns the leader that the log named last; its node is empty while there is none. */
    JobLeader leader() {
        return leader;
    }

    /** Tells whether the log names another node as leader. */
    boolean isElsewhere() {
        return !leader.getNode().isEmpty() && !leader.getNode().equals(identity.node());
    }

    /** Tells whether nobody leads: no name is in the log, or that of this node, whose former life is gone. */
    boolean isVacant() {
        return leader.getNode().isEmpty() || leader.getNode().equals(identity.node());
    }

    /** Returns the record that names this entry as leader. */
    KeyedRecord recordOf(long term) {
        return new KeyedRecord(
                JobTopics.LEADER_KEY, JobRecords.encodeLeader(term, identity.node(), identity.guardAddress()));
    }

    /*
     * Inputs
     */

    /**
     * Notes the leader that the log names.
     *
     * @param end offset up to which the log was read
     */
    void observe(JobLeader seen, long end) {
        boolean changed = seen.getTerm() != leader.getTerm() || !seen.getNode().equals(leader.getNode());
        leader = seen;
        highestTerm = Math.max(highestTerm, seen.getTerm());
        if (!changed) {
            return;
        }
        log.emit(JobEvent.LEADER_SEEN, "term", seen.getTerm(), "node", seen.getNode(), "address", seen.getAddress());
        boolean mine = seen.getTerm() == candidateTerm && seen.getNode().equals(identity.node());
        if (mine && !pending) {
            // The append that won the term got no answer, but the log has it.
            open(seen.getTerm(), end);
        }
    }

    /** Notes that the log had records, or could not be read; in both cases nobody was silent. */
    void interruptSilence() {
        silentSinceMs = clock.nowMs();
    }

    /**
     * Asks for the next term if the leader has been silent for long enough.
     *
     * @param end offset up to which the log was read
     */
    void consider(long end) {
        long silentForMs = clock.nowMs() - silentSinceMs;
        long patienceMs = isVacant() ? delayMs : delayMs + LEADER_SILENCE_MS;
        if (pending || silentForMs < patienceMs) {
            return;
        }
        pending = true;
        candidateTerm = highestTerm + 1;
        long term = candidateTerm;
        log.emit(
                JobEvent.ELECTION_STARTED,
                "term",
                term,
                "silentForMs",
                silentForMs,
                "formerLeader",
                leader.getNode(),
                "end",
                end);
        store.append(JobPartitions.PROGRESS, List.of(recordOf(term)), new AppendCondition.AtEnd(end))
                .thenAccept(result -> actor.tell(new JobsCommand.ElectionEnded(term, result)));
    }

    void onEnded(JobsCommand.ElectionEnded ended) {
        if (ended.result() instanceof AppendResult.Appended appended) {
            open(ended.term(), appended.endOffset());
        } else {
            // An append without an answer may still win; then the log names this entry.
            end(ended.term(), ended.result());
        }
    }

    /** Handles the answer to the append that opens an epoch; returns true if this entry leads now. */
    boolean onOpened(JobsCommand.TermBegun begun) {
        switch (begun.result()) {
            case AppendResult.Appended appended -> {
                pending = false;
                return true;
            }
            case AppendResult.Unknown unknown -> open(begun.term(), begun.expectedEnd());
            case AppendResult.Refused refused -> end(begun.term(), refused);
            case AppendResult.Superseded superseded -> end(begun.term(), superseded);
            case AppendResult.OutOfSequence gap -> end(begun.term(), gap);
        }
        return false;
    }

    /*
     * Helpers
     */

    /**
     * Opens the epoch of a term that this entry has won. Only its winner knows the term, so nobody else uses the epoch.
     * The condition keeps records of the former leader from slipping in between.
     */
    private void open(long term, long expectedEnd) {
        pending = true;
        store.append(
                        JobPartitions.PROGRESS,
                        List.of(recordOf(term)),
                        new AppendCondition.NewEpoch(JobTopics.LEADER_PRODUCER, term, expectedEnd))
                .thenAccept(result -> actor.tell(new JobsCommand.TermBegun(term, expectedEnd, result)));
    }

    private void end(long term, AppendResult result) {
        pending = false;
        delayMs = random.nextInt(JITTER_MS);
        interruptSilence();
        log.emit(JobEvent.ELECTION_LOST, "term", term, "result", result);
    }
}
