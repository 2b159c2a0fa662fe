package org.fulmarreach.core.work;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Whether this entry leads the shard and may grant: its claims and their terms, the outage of the store, and what it
 * says to witnesses and as a witness. Not thread-safe; owned by its {@link ShardLeader}.
 */
final class Leadership {
    /** Step in the order of claims, so that entries seldom claim at the same moment. */
    private static final long CLAIM_STEP_MS = 500;

    private static final long CLAIM_RETRY_MS = 1_000;

    private final ShardId shard;
    private final WorkTimes times;
    private final ShardState fold;
    private final StoreHealth store;
    private final Lease lease;
    private final Takeover takeover;
    private final Peers peers;
    private final Consumer<Action> out;
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
            ShardState fold,
            StoreHealth store,
            Lease lease,
            Takeover takeover,
            Peers peers,
            Consumer<Action> out) {
        this.shard = shard;
        this.times = times;
        this.fold = fold;
        this.store = store;
        this.lease = lease;
        this.takeover = takeover;
        this.peers = peers;
        this.out = out;
    }

    // Reads

    void noteRead(long issuedMs) {
        if (readsOkSinceMs == Placement.NEVER) {
            readsOkSinceMs = issuedMs;
        }
    }

    void noteEmptyRead(long issuedMs) {
        lastReadIssuedMs = issuedMs;
    }

    void noteReadFailed() {
        readsOkSinceMs = Placement.NEVER;
    }

    void noteAccepted(long nowMs) {
        acceptedSeenMs = nowMs;
    }

    /** Counts the silence of the log from the first read on when no record has been seen. */
    void startSilence(long nowMs) {
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
        return hasTerm() && fold.isSynchronized() && fold.term() == ownTerm && !fold.resigned();
    }

    /** Tells whether a guard's task may get a grant now. */
    boolean mayAct(long nowMs) {
        return isLeading() && !resigning && fencedTerm <= ownTerm && lease.mayGrant(fold.witnesses(), nowMs);
    }

    /** Tells whether a claim of this entry was accepted and it has not been deposed since. */
    boolean hasTerm() {
        return ownTerm != ShardState.NO_OFFSET;
    }

    long term() {
        return ownTerm;
    }

    boolean isOwn(WorkBatch batch) {
        return hasTerm() && batch.term() == ownTerm;
    }

    /** Starts a term with an accepted claim; returns false when the claim is not one that this entry sent. */
    boolean begin(LoggedBatch logged, WorkDecision.Claim claim, long nowMs) {
        Long sentMs = claimsSentMs.get(logged.batch().batchId());
        if (!claim.leader().equals(shard.leaderId()) || sentMs == null) {
            return false;
        }
        ownTerm = logged.offset();
        sequence = 0;
        claimsSentMs.clear();
        lease.begin(sentMs);
        takeover.begin(ownTerm, fold.predecessors(), shard.entryId(), nowMs);
        return true;
    }

    /** Ends the term of this entry. */
    void end() {
        notify(WorkNotice.DEPOSED);
        ownTerm = ShardState.NO_OFFSET;
        outage = false;
        takeover.forgetOwnTerms();
    }

    void resign() {
        resigning = true;
    }

    boolean isResigning() {
        return resigning;
    }

    /** Returns the next batch of this term. */
    WorkBatch constructBatch(List<WorkDecision> decisions) {
        sequence++;
        return new WorkBatch(WorkBatch.constructId(shard.leaderId(), sequence), ownTerm, decisions);
    }

    // Claims

    /** Claims the shard if its leader has been silent; to be called while this entry reads the log to its tail. */
    void claimIfDue(long nowMs) {
        if (resigning || nowMs - claimedMs < CLAIM_RETRY_MS) {
            return;
        }
        // Records may be waiting after a pause; only a read that was sent after the silence proves it.
        boolean vacant = fold.term() == ShardState.NO_OFFSET || fold.resigned();
        long silenceMs =
                (vacant ? 0 : times.claimAfterMs()) + CLAIM_STEP_MS * peers.findRank(shard.entryId(), shard.name());
        if (lastReadIssuedMs >= Math.max(acceptedSeenMs, readsOkSinceMs) + silenceMs) {
            sendClaim(nowMs);
        }
    }

    /** Claims again with other witnesses if those of the term should be replaced; tells whether it did. */
    boolean replaceWitnesses(long nowMs) {
        if (!resigning && peers.shouldReplace(fold.witnesses(), nowMs) && nowMs - claimedMs >= CLAIM_RETRY_MS) {
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
        WorkDecision claim = new WorkDecision.Claim(shard.leaderId(), fold.lastAcceptedOffset(), peers.findWitnesses());
        String batchId = shard.leaderId() + "/claim-" + claims;
        claimsSentMs.put(batchId, nowMs);
        out.accept(new Action.Append(new WorkBatch(batchId, 0, List.of(claim))));
    }

    // Witnesses and outages

    /** Notes the beginning and end of an outage, and asks the witnesses what is due. */
    void maintain(long nowMs) {
        boolean unconditional = lease.isUnconditional(nowMs);
        if (outage == unconditional) {
            outage = !unconditional;
            notify(outage ? WorkNotice.OUTAGE_ENTERED : WorkNotice.OUTAGE_ENDED);
        }
        if (lease.isAskDue(nowMs)) {
            fold.witnesses().forEach(id -> send(id, new PeerMessage.ConfirmOutage(ownTerm, nowMs)));
        }
        takeover.findWitnessesToAsk(nowMs).forEach(id -> send(id, new PeerMessage.FenceLeader(ownTerm)));
    }

    boolean isOutage() {
        return outage;
    }

    /** Tells whether decisions may be made without a confirmation by a witness. */
    boolean isUnconditional(long nowMs) {
        return lease.isUnconditional(nowMs);
    }

    /** Tells whether there are earlier leaders in the log that can have no valid grant any more. */
    boolean isNewlySettled(long nowMs) {
        return !fold.predecessors().isEmpty() && takeover.isSettled(nowMs);
    }

    /** Takes a message of another entry; {@code caughtUp} tells whether the log has been read to its tail. */
    void onPeerMessage(String from, PeerMessage message, boolean caughtUp, long nowMs) {
        switch (message) {
            case PeerMessage.ConfirmOutage ask -> {
                // A witness that has not read the log since its start may have forgotten that it was fenced.
                boolean lowest = ask.term() >= Math.max(fold.term(), fencedTerm);
                boolean confirmed = store.isDown(nowMs) && caughtUp && lowest;
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
        out.accept(new Action.ToPeer(entryId, message));
    }

    private void notify(WorkNotice notice) {
        out.accept(new Action.Notify(notice, "term=" + ownTerm));
    }
}
