package org.fulmarreach.entry.jobs;

import java.util.List;
import java.util.OptionalLong;
import java.util.Random;
import java.util.function.Supplier;

import org.apache.pekko.actor.typed.ActorRef;
import org.fulmarreach.core.exc.FrameException;
import org.fulmarreach.platform.store.AppendCondition;
import org.fulmarreach.platform.store.AppendResult;
import org.fulmarreach.platform.store.KeyedRecord;
import org.fulmarreach.platform.store.StoreClient;
import org.fulmarreach.protocol.io.JobRecords;
import org.fulmarreach.protocol.io.JobTopics;
import org.fulmarreach.protocol.thrift.FormerLeader;
import org.fulmarreach.protocol.thrift.JobLeader;
import org.fulmarreach.runtime.cfg.Address;
import org.fulmarreach.runtime.log.EventLog;
import org.fulmarreach.runtime.net.LinkEvent;
import org.fulmarreach.runtime.util.MonotonicClock;

/**
 * Leader election through the store. When the leader has written nothing for a while, this entry tries to win the next
 * term by an append on the condition that the log still ends at the offset up to which it was read; a second append
 * opens the producer epoch of the term. The store decides the winner, so wrong timing can at most cause an unnecessary
 * change of leader. Confined to one actor.
 */
final class Election {
    /** Election timeout: longer than three keep-alive intervals of a leader plus the delay of a slow store. */
    private static final long ELECTION_TIMEOUT_MS = 1_500;

    /** A leader from which the log has had no record for two keep-alive intervals may have failed. */
    private static final long LEADER_SILENT_MS = 800;

    /** Silence of the leader, longer than a keep-alive interval, after which its process is probed. */
    private static final long PROBE_AFTER_MS = 600;

    private static final long PROBE_INTERVAL_MS = 500;

    /** Maximum random delay that spreads candidates, so that usually only one of them starts an election. */
    private static final int MAX_JITTER_MS = 200;

    private final JobsActor.Identity identity;
    private final Supplier<OptionalLong> lifetime;
    private final FormerLeaders formerLeaders;
    private final StoreClient store;
    private final EntryLinks links;
    private final ActorRef<JobsCommand> actor;
    private final MonotonicClock clock;
    private final EventLog log;
    private final Random random;
    private JobLeader leader = new JobLeader(0, "", "");
    private long highestTerm;
    private long silentSinceMs;
    private long jitterMs;
    private long probedAtMs;
    private long endedTerm;
    private long candidateTerm;
    private boolean pending;

    Election(
            JobsActor.Identity identity,
            Supplier<OptionalLong> lifetime,
            FormerLeaders formerLeaders,
            StoreClient store,
            EntryLinks links,
            ActorRef<JobsCommand> actor,
            MonotonicClock clock,
            EventLog log,
            Random random) {
        this.identity = identity;
        this.lifetime = lifetime;
        this.formerLeaders = formerLeaders;
        this.store = store;
        this.links = links;
        this.actor = actor;
        this.clock = clock;
        this.log = log;
        this.random = random;
        this.silentSinceMs = clock.nowMs();
        this.jitterMs = random.nextInt(MAX_JITTER_MS);
    }

    /** Returns the leader that the log names; its node is empty while there is none. */
    JobLeader leader() {
        return leader;
    }

    /** Tells whether the log names another node as leader, whose process is not known to have ended. */
    boolean hasOtherLeader() {
        return !isVacant();
    }

    /**
     * Tells whether there is no leader: the log names none, it names a former process of this node, or the process of
     * the leader has ended.
     */
    boolean isVacant() {
        return leader.getNode().isEmpty()
                || leader.getNode().equals(identity.node())
                || leader.getTerm() > 0 && leader.getTerm() == endedTerm;
    }

    /** Returns {@code host:port} of another node that leads; empty if there is none. */
    String otherLeaderAddress() {
        return hasOtherLeader() ? leader.getAddress() : "";
    }

    /** Connects to a leader that has become silent: a refused connection shows that its process has ended. */
    void probeSilentLeader() {
        long nowMs = clock.nowMs();
        if (isVacant() || nowMs - silentSinceMs < PROBE_AFTER_MS || nowMs - probedAtMs < PROBE_INTERVAL_MS) {
            return;
        }
        probedAtMs = nowMs;
        long term = leader.getTerm();
        links.connect(leader.getAddress(), event -> {
            if (event instanceof LinkEvent.Opened opened) {
                opened.link().close();
            } else if (event instanceof LinkEvent.Closed closed && closed.link() == null) {
                actor.tell(new JobsCommand.LeaderProbed(term, closed.isRefused()));
            }
        });
    }

    /** Handles the failed probe of a leader; the election need not wait for its timeout if the process has ended. */
    void onLeaderProbed(long term, boolean refused) {
        if (refused && term == leader.getTerm() && !isVacant()) {
            log.emit(JobEvent.LEADER_ENDED, "term", term, "node", leader.getNode(), "address", leader.getAddress());
            endedTerm = term;
        }
    }

    /** Tells whether the log has had no record for so long that the leader may have failed. */
    boolean isLeaderSilent() {
        return clock.nowMs() - silentSinceMs > LEADER_SILENT_MS;
    }

    /** Returns the record that names this entry as the leader of a term that has not begun yet. */
    KeyedRecord recordOf(long term) {
        return recordOf(term, formerLeaders.listGranting(term, FormerLeaders.NOT_BEGUN, clock.nowMs()));
    }

    /**
     * Returns the record that names this entry as leader.
     *
     * @param granting all former leaders that may still grant leases
     */
    KeyedRecord recordOf(long term, List<FormerLeader> granting) {
        JobLeader own = new JobLeader(term, identity.node(), identity.guardAddress());
        lifetime.get().ifPresent(own::setLifetime);
        own.setFormerLeaders(granting);
        return new KeyedRecord(JobTopics.LEADER_KEY, JobRecords.encode(own));
    }

    /*
     * Inputs
     */

    /**
     * Handles a leader record of the log. A record without a usable address names no leader: only its term is taken, so
     * that this entry stands for a higher one.
     *
     * @param end offset up to which the log was read
     * @throws FrameException if the record is malformed
     */
    void onLeaderRecord(byte[] record, long end) {
        JobLeader seen = JobRecords.decodeLeader(record);
        boolean resigned = seen.getNode().isEmpty() && seen.getAddress().isEmpty();
        if (resigned || Address.findPeer(seen.getAddress()).isPresent()) {
            onLeaderRecord(seen, end);
            return;
        }
        highestTerm = Math.max(highestTerm, seen.getTerm());
        log.emit(
                JobEvent.LEADER_RECORD_REFUSED,
                "term",
                seen.getTerm(),
                "node",
                seen.getNode(),
                "address",
                seen.getAddress());
    }

    /**
     * Handles the naming of a leader.
     *
     * @param end offset up to which the log was read
     */
    void onLeaderRecord(JobLeader seen, long end) {
        boolean changed = seen.getTerm() != leader.getTerm() || !seen.getNode().equals(leader.getNode());
        leader = seen;
        highestTerm = Math.max(highestTerm, seen.getTerm());
        if (!changed) {
            return;
        }
        log.emit(JobEvent.LEADER_SEEN, "term", seen.getTerm(), "node", seen.getNode(), "address", seen.getAddress());
        boolean ownTerm = seen.getTerm() == candidateTerm && seen.getNode().equals(identity.node());
        if (ownTerm && !pending) {
            // The append got no answer, but the log contains it, so this entry has won the term.
            openEpoch(seen.getTerm(), end);
        }
    }

    /** Restarts the election timeout: the log had new records or could not be read, so no silence was observed. */
    void restartTimeout() {
        silentSinceMs = clock.nowMs();
    }

    /**
     * Starts an election if the election timeout has elapsed.
     *
     * @param end offset up to which the log was read
     */
    void startIfTimedOut(long end) {
        long silentForMs = clock.nowMs() - silentSinceMs;
        long timeoutMs = isVacant() ? jitterMs : jitterMs + ELECTION_TIMEOUT_MS;
        if (pending || silentForMs < timeoutMs) {
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
                .thenAccept(result -> actor.tell(new JobsCommand.TermAppendEnded(term, result)));
    }

    void onTermAppendEnded(JobsCommand.TermAppendEnded ended) {
        if (ended.result() instanceof AppendResult.Appended appended) {
            openEpoch(ended.term(), appended.endOffset());
        } else {
            // An append without an answer may still have won; the log then names this entry.
            fail(ended.term(), ended.result());
        }
    }

    /** Handles the result of the append that opens an epoch; returns true if this entry is now the leader. */
    boolean onEpochAppendEnded(JobsCommand.EpochAppendEnded ended) {
        switch (ended.result()) {
            case AppendResult.Appended appended -> {
                pending = false;
                return true;
            }
            case AppendResult.Unknown unknown -> openEpoch(ended.term(), ended.expectedEnd());
            case AppendResult.Refused refused -> fail(ended.term(), refused);
            case AppendResult.Invalid invalid -> fail(ended.term(), invalid);
            case AppendResult.Superseded superseded -> fail(ended.term(), superseded);
            case AppendResult.OutOfSequence gap -> fail(ended.term(), gap);
        }
        return false;
    }

    /*
     * Helpers
     */

    /**
     * Opens the epoch of a term that this entry has won. Only the winner of a term knows it, so no other entry uses the
     * same epoch. The condition on the end of the log keeps the former leader from appending records in between.
     */
    private void openEpoch(long term, long expectedEnd) {
        pending = true;
        store.append(
                        JobPartitions.PROGRESS,
                        List.of(recordOf(term)),
                        new AppendCondition.NewEpoch(JobTopics.LEADER_PRODUCER, term, expectedEnd))
                .thenAccept(result -> actor.tell(new JobsCommand.EpochAppendEnded(term, expectedEnd, result)));
    }

    private void fail(long term, AppendResult result) {
        pending = false;
        jitterMs = random.nextInt(MAX_JITTER_MS);
        restartTimeout();
        log.emit(JobEvent.ELECTION_LOST, "term", term, "result", result);
    }
}
