package org.fulmarreach.core.work;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Tracks whether this entry leads the shard and may issue grants: its claims and terms, outages of the store, and its
 * messages to witnesses and as a witness. Not thread-safe; owned by its {@link ShardLeader}.
 */
final class Leadership {
    /** Delay per rank before a claim, so that entries rarely claim at the same time. */
    private static final long CLAIM_STEP_MS = 500;

    private static final long CLAIM_RETRY_MS = 1_000;

    private final ShardId shard;
    private final WorkTimes times;
    private final ShardState state;
    private final StoreHealth store;
    private final LeaderLease lease;
    private final Takeover takeover;
    private final Peers peers;
    private final Consumer<Action> actions;
    private final Map<String, Long> claimsSentMs = new HashMap<>();

    private long ownTerm = ShardState.NO_OFFSET;
    private long fencedTerm = ShardState.NO_OFFSET;
    private boolean resigning;
    private boolean outage;
    private long sequence;
    private long claims;
    private long readsOkSinceMs = Placement.NEVER;
    private long lastReadIssuedMs = Placement.NEVER;
    private long acceptedSeenMs = Placement.NEVER;
    private long claimedMs = Placement.NEVER;

    Leadership(
            ShardId shard,
            WorkTimes times,
            ShardState state,
            StoreHealth store,
            LeaderLease lease,
            Takeover takeover,
            Peers peers,
            Consumer<Action> actions) {
        this.shard = shard;
        this.times = times;
        this.state = state;
        this.store = store;
        this.lease = lease;
        this.takeover = takeover;
        this.peers = peers;
        this.actions = actions;
    }

    // Reads

    void onRead(long issuedMs) {
        if (readsOkSinceMs == Placement.NEVER) {
            readsOkSinceMs = issuedMs;
        }
    }

    void onEmptyRead(long issuedMs) {
        lastReadIssuedMs = issuedMs;
    }

    void onReadFailed() {
        readsOkSinceMs = Placement.NEVER;
    }

    void onRecordAccepted(long nowMs) {
        acceptedSeenMs = nowMs;
    }

    /** Starts measuring the silence of the log at the first read if no record has been seen. */
    void startSilenceTimer(long nowMs) {
        if (acceptedSeenMs == Placement.NEVER) {
            acceptedSeenMs = nowMs;
        }
    }

    /** Returns the time since the last accepted record was seen, in milliseconds. */
    long findAgeMs(long nowMs) {
        return acceptedSeenMs == Placement.NEVER ? 0 : nowMs - acceptedSeenMs;
    }

    // Terms

    boolean isLeading() {
        return hasTerm() && state.isSynchronized() && state.term() == ownTerm && !state.resigned();
    }

    /** Returns whether this entry may issue grants now. */
    boolean mayGrant(long nowMs) {
        return isLeading() && !resigning && fencedTerm <= ownTerm && lease.mayGrant(state.witnesses(), nowMs);
    }

    /** Returns whether a claim of this entry was accepted and the entry has not been deposed since. */
    boolean hasTerm() {
        return ownTerm != ShardState.NO_OFFSET;
    }

    long term() {
        return ownTerm;
    }

    boolean isOwn(WorkBatch batch) {
        return hasTerm() && batch.term() == ownTerm;
    }

    /** Starts a term with an accepted claim; returns false if this entry did not send the claim. */
    boolean begin(LoggedBatch logged, WorkDecision.Claim claim, long nowMs) {
        Long sentMs = claimsSentMs.get(logged.batch().batchId());
        if (!claim.leader().equals(shard.leaderId()) || sentMs == null) {
            return false;
        }
        ownTerm = logged.offset();
        sequence = 0;
        claimsSentMs.clear();
        lease.begin(sentMs);
        takeover.begin(ownTerm, state.predecessors(), shard.entryId(), nowMs);
        return true;
    }

    /** Ends the term of this entry. */
    void end() {
        notify(WorkNotice.DEPOSED);
        ownTerm = ShardState.NO_OFFSET;
        outage = false;
        takeover.clearOwnTerms();
    }

    void resign() {
        resigning = true;
    }

    boolean isResigning() {
        return resigning;
    }

    /** Returns a batch with the next sequence number of this term. */
    WorkBatch constructBatch(List<WorkDecision> decisions) {
        sequence++;
        return new WorkBatch(WorkBatch.constructId(shard.leaderId(), sequence), ownTerm, decisions);
    }

    // Claims

    /**
     * Claims the shard if its leader has been silent for long enough. Call it only while this entry has read to the end
     * of the log.
     */
    void claimIfDue(long nowMs) {
        if (resigning || nowMs - claimedMs < CLAIM_RETRY_MS) {
            return;
        }
        // After a pause, unread records may exist; only an empty read sent after the silent period proves the silence.
        boolean vacant = state.term() == ShardState.NO_OFFSET || state.resigned();
        long silenceMs = (vacant ? 0 : times.claimAfterMs())
                + CLAIM_STEP_MS * peers.findClaimRank(shard.entryId(), shard.name());
        if (lastReadIssuedMs >= Math.max(acceptedSeenMs, readsOkSinceMs) + silenceMs) {
            sendClaim(nowMs);
        }
    }

    /** Claims the shard again if the witnesses of the term should be replaced; returns whether a claim was sent. */
    boolean replaceWitnesses(long nowMs) {
        if (!resigning && peers.shouldReplace(state.witnesses(), nowMs) && nowMs - claimedMs >= CLAIM_RETRY_MS) {
            sendClaim(nowMs);
            return true;
        }
        return false;
    }

    long findClaimAgeMs(long nowMs) {
        return nowMs - claimedMs;
    }

    private void sendClaim(long nowMs) {
        claimedMs = nowMs;
        claims++;
        WorkDecision claim =
                new WorkDecision.Claim(shard.leaderId(), state.lastAcceptedOffset(), peers.findWitnesses());
        String batchId = shard.leaderId() + "/claim-" + claims;
        claimsSentMs.put(batchId, nowMs);
        actions.accept(new Action.Append(new WorkBatch(batchId, 0, List.of(claim))));
    }

    // Witnesses and outages

    /** Reports the start and end of a store outage, and sends the messages to witnesses that are due. */
    void maintain(long nowMs) {
        boolean unconditional = lease.isUnconditional(nowMs);
        if (outage == unconditional) {
            outage = !unconditional;
            notify(outage ? WorkNotice.OUTAGE_ENTERED : WorkNotice.OUTAGE_ENDED);
        }
        if (lease.beginAskIfDue(nowMs)) {
            state.witnesses().forEach(id -> send(id, new PeerMessage.ConfirmOutage(ownTerm, nowMs)));
        }
        takeover.takeWitnessesToAsk(nowMs).forEach(id -> send(id, new PeerMessage.FenceLeader(ownTerm)));
    }

    boolean isOutage() {
        return outage;
    }

    /** Returns whether decisions may be made without a witness's confirmation. */
    boolean isUnconditional(long nowMs) {
        return lease.isUnconditional(nowMs);
    }

    /** Returns whether all earlier leaders are settled but the log does not record it yet. */
    boolean isNewlySettled(long nowMs) {
        return !state.predecessors().isEmpty() && takeover.isSettled(nowMs);
    }

    /**
     * Handles a message of another entry.
     *
     * @param from id of the sending entry
     * @param caughtUp whether the log has been read to its end
     */
    void onPeerMessage(String from, PeerMessage message, boolean caughtUp, long nowMs) {
        switch (message) {
            case PeerMessage.ConfirmOutage ask -> {
                // A restarted witness has lost its fence state and must read the log first.
                boolean notFenced = ask.term() >= Math.max(state.term(), fencedTerm);
                boolean confirmed = store.isDown(nowMs) && caughtUp && notFenced;
                send(from, new PeerMessage.OutageAnswer(ask.term(), confirmed, ask.askedMs()));
            }
            case PeerMessage.OutageAnswer answer -> {
                if (answer.confirmed() && answer.term() == ownTerm) {
                    lease.confirm(from, answer.askedMs());
                }
            }
            case PeerMessage.FenceLeader fence -> {
                fencedTerm = Math.max(fencedTerm, fence.term());
                send(from, new PeerMessage.FenceAnswer(fence.term(), true));
            }
            case PeerMessage.FenceAnswer answer -> {
                if (answer.acknowledged() && answer.term() == ownTerm) {
                    takeover.acknowledge(from, nowMs);
                }
            }
        }
    }

    // Helpers

    private void send(String entryId, PeerMessage message) {
        actions.accept(new Action.ToPeer(entryId, message));
    }

    private void notify(WorkNotice notice) {
        actions.accept(new Action.Notify(notice, "term=" + ownTerm));
    }
}
