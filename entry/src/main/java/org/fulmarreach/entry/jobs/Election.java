package org.fulmarreach.entry.jobs;

import java.util.Random;

import org.fulmarreach.protocol.thrift.JobLeader;

/**
 * Decides when an entry asks for the next term. Terms are granted by the store, so a wrong time costs a change of
 * leader at most. Belongs to one actor and is called on it only.
 */
final class Election {
    /** Longer than three keep-alives of a leader and the delay of a slow store. */
    private static final long LEADER_SILENCE_MS = 1_500;

    /** Spreads candidates, so that mostly one of them asks. */
    private static final int JITTER_MS = 200;

    private final String node;
    private final Random random;
    private JobLeader leader = new JobLeader(0, "", "");
    private long silentSinceMs;
    private long delayMs;
    private long candidateTerm;
    private boolean pending;

    Election(String node, Random random, long nowMs) {
        this.node = node;
        this.random = random;
        this.silentSinceMs = nowMs;
        this.delayMs = random.nextInt(JITTER_MS);
    }

    /** Returns the leader that the log named last; its node is empty while there is none. */
    JobLeader leader() {
        return leader;
    }

    /** Tells whether the log names another node as leader. */
    boolean isElsewhere() {
        return !leader.getNode().isEmpty() && !leader.getNode().equals(node);
    }

    /**
     * Notes the leader that the log names.
     *
     * @return true if that is this entry, by an append that got no answer
     */
    boolean observe(JobLeader seen) {
        leader = seen;
        return seen.getTerm() == candidateTerm && seen.getNode().equals(node);
    }

    /** Notes that the log had records, or could not be read; in both cases nobody was silent. */
    void interruptSilence(long nowMs) {
        silentSinceMs = nowMs;
    }

    long silentForMs(long nowMs) {
        return nowMs - silentSinceMs;
    }

    /** Tells whether the leader has been silent for long enough to ask for its succession. */
    boolean isDue(long nowMs) {
        long patienceMs = leader.getNode().isEmpty() ? delayMs : delayMs + LEADER_SILENCE_MS;
        return !pending && silentForMs(nowMs) >= patienceMs;
    }

    /** Tells whether an append of this entry waits for its answer. */
    boolean isPending() {
        return pending;
    }

    /** Begins to ask; returns the term to ask for. */
    long begin() {
        pending = true;
        candidateTerm = leader.getTerm() + 1;
        return candidateTerm;
    }

    /** Notes that the store has answered, or will not. */
    void end(long nowMs) {
        pending = false;
        delayMs = random.nextInt(JITTER_MS);
        silentSinceMs = nowMs;
    }
}
