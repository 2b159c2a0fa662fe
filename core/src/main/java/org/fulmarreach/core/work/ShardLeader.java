package org.fulmarreach.core.work;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

import org.fulmarreach.core.rules.Rules;

/**
 * Decisions of one entry about one shard, as its follower, leader and witness. It does no I/O: what happened goes in,
 * with the time on the entry's monotonic clock, and {@link #drain()} returns what to do. Not thread-safe; owned by the
 * actor of the shard.
 */
public final class ShardLeader {
    private static final int SNAPSHOT_RECORDS = 2_000;
    private static final int MAX_DECISIONS = 2_000;

    /** Step in the order of claims, so that entries seldom claim at the same moment. */
    private static final long CLAIM_STEP_MS = 500;

    private static final long CLAIM_RETRY_MS = 1_000;

    private static final long PRUNE_EVERY_MS = 60_000;

    /** A gap between two ticks of this length means that the process was paused. */
    private static final long PAUSE_MS = 1_500;

    /** Time after a pause in which waiting heartbeats are handled before a silent guard counts as lost. */
    private static final long PAUSE_GRACE_MS = 3_000;

    private final ShardId shard;
    private final WorkTimes times;
    private final InvariantCheck invariants;
    private final ShardState fold;
    private final Scheduler scheduler;
    private final Lease lease;
    private final Takeover takeover;
    private final Outbox outbox;
    private final Peers peers;
    private final StoreHealth store = new StoreHealth();
    private final Map<String, GuardSlot> guards = new HashMap<>();
    private final Placements placements = new Placements();
    private final Map<RunKey, Long> startableFromMs = new HashMap<>();
    private final Map<String, Long> claimsSentMs = new HashMap<>();
    private final Map<RunKey, String> waiting = new HashMap<>();
    private final Cancellations cancels;
    private final GuardDialogue dialogue;
    private final Releases releases;
    private List<Action> actions = new ArrayList<>();

    private boolean rulesKnown;
    private long ownTerm = ShardState.NO_OFFSET;
    private long fencedTerm = ShardState.NO_OFFSET;
    private boolean caughtUp;
    private boolean resigning;
    private boolean outage;
    private boolean noSnapshotReported;
    private long sequence;
    private long claims;
    private long readsOkSinceMs = Placement.NEVER;
    private long lastReadIssuedMs = Placement.NEVER;
    private long acceptedSeenMs = Placement.NEVER;
    private long claimedMs = Placement.NEVER;
    private long tickedMs = Placement.NEVER;
    private long prunedMs = Placement.NEVER;
    private long resumedMs = Placement.NEVER;
    private long snapshotMs = Placement.NEVER;
    private int recordsSinceSnapshot;

    /**
     * Constructs a follower.
     *
     * @param shard shard and entry
     * @param zone availability zone of the entry
     * @param times times of leases
     * @param random source of random numbers for placement
     * @param invariants checks in the running program
     */
    public ShardLeader(ShardId shard, String zone, WorkTimes times, RandomGenerator random, InvariantCheck invariants) {
        this.shard = shard;
        this.times = times;
        this.invariants = invariants;
        this.fold = new ShardState(invariants);
        this.scheduler = new Scheduler(shard, random);
        this.lease = new Lease(times);
        this.takeover = new Takeover(times);
        this.outbox = new Outbox(times);
        this.peers = new Peers(zone);
        this.cancels = new Cancellations(shard, fold, scheduler, this::act);
        this.dialogue =
                new GuardDialogue(shard, times, fold, scheduler, placements, startableFromMs, invariants, this::act);
        this.releases = new Releases(times, fold, scheduler, takeover, guards, placements, startableFromMs, this::act);
    }

    // Inputs

    /** Returns the actions since the last call, in order. */
    public List<Action> drain() {
        List<Action> drained = actions;
        actions = new ArrayList<>();
        return drained;
    }

    /**
     * Takes the answer to a read.
     *
     * @param issuedMs when the read was sent
     * @param records records in order; empty when there were none
     * @param atTail whether there were no more
     * @param nowMs present time
     */
    public void onRead(long issuedMs, List<LoggedBatch> records, boolean atTail, long nowMs) {
        store.read(true, nowMs);
        if (readsOkSinceMs == Placement.NEVER) {
            readsOkSinceMs = issuedMs;
        }
        for (LoggedBatch logged : records) {
            FoldOutcome outcome = fold.apply(logged.offset(), logged.batch());
            recordsSinceSnapshot++;
            if (outcome instanceof FoldOutcome.Accepted accepted) {
                if (!ShardState.isCancelRequest(logged.batch())) {
                    acceptedSeenMs = nowMs;
                }
                onAccepted(logged, accepted, nowMs);
            }
        }
        if (records.isEmpty()) {
            lastReadIssuedMs = issuedMs;
        }
        if (atTail) {
            caughtUp = fold.isSynchronized();
            if (!fold.isSynchronized() && !noSnapshotReported) {
                noSnapshotReported = true;
                notify(WorkNotice.NO_SNAPSHOT, "first kept record without a snapshot after it");
            }
        }
        if (acceptedSeenMs == Placement.NEVER) {
            acceptedSeenMs = nowMs;
        }
    }

    /** Takes the failure of a read. */
    public void onReadFailed(long nowMs) {
        store.read(false, nowMs);
        readsOkSinceMs = Placement.NEVER;
    }

    /** Takes the answer that records from {@link #nextOffset()} on are not kept any more. */
    public void onTruncated(long firstKeptOffset, long nowMs) {
        store.read(true, nowMs);
        depose(nowMs);
        fold.restartAt(firstKeptOffset);
        caughtUp = false;
        noSnapshotReported = false;
    }

    /** Takes the result of an append; a failed one may have taken effect. */
    public void onAppendResult(String batchId, boolean success, long nowMs) {
        store.append(success, nowMs);
        outbox.resolve(batchId, success, nowMs);
    }

    /** Takes the result of an append to another stream. */
    public void onProbeResult(boolean success, long nowMs) {
        store.append(success, nowMs);
    }

    /** Takes new rules in force. */
    public void onRules(Rules rules) {
        rulesKnown = true;
        scheduler.changeRules(rules);
    }

    /** Takes a heartbeat of a guard. */
    public void onHeartbeat(GuardReport report, long nowMs) {
        GuardSlot slot = guards.computeIfAbsent(report.vm().id(), vm -> new GuardSlot());
        if (!slot.update(report, nowMs)) {
            return;
        }
        scheduler.observe(report);
        if (mayAct(nowMs)) {
            dialogue.answer(slot, lease.isUnconditional(nowMs), nowMs);
        }
    }

    /** Takes the loss of a connection to a guard, which may be alive. */
    public void onGuardLost(String vm) {
        GuardSlot slot = guards.get(vm);
        if (slot != null) {
            slot.disconnect();
        }
    }

    /** Takes the state of another entry of the region. */
    public void onPeer(String entryId, String zone, boolean leaving) {
        peers.see(entryId, zone, leaving);
    }

    /** Takes the loss of the connection to another entry. */
    public void onPeerLost(String entryId) {
        peers.lose(entryId);
    }

    /** Takes a message of another entry about this shard. */
    public void onPeerMessage(String from, PeerMessage message, long nowMs) {
        switch (message) {
            case PeerMessage.ConfirmOutage ask -> {
                // A witness that has not read the log since its start may have forgotten that it was fenced.
                boolean lowest = ask.term() >= Math.max(fold.term(), fencedTerm);
                boolean confirmed = store.isDown(nowMs) && caughtUp && lowest;
                act(new Action.ToPeer(from, new PeerMessage.OutageAnswer(ask.term(), confirmed, ask.askedMs())));
            }
            case PeerMessage.OutageAnswer answer -> {
                if (answer.confirmed() && answer.term() == ownTerm) {
                    lease.confirm(from, answer.askedMs());
                }
            }
            case PeerMessage.FenceLeader fence -> {
                fencedTerm = Math.max(fencedTerm, fence.term());
                act(new Action.ToPeer(from, new PeerMessage.FenceAnswer(fence.term(), true)));
            }
            case PeerMessage.FenceAnswer answer -> {
                if (answer.acknowledged() && answer.term() == ownTerm) {
                    takeover.acknowledge(from, nowMs);
                }
            }
        }
    }

    /** Asks to cancel a work; the answer is an {@link Action.CancelAnswer}. */
    public void cancel(long requestId, String work) {
        cancels.add(requestId, work);
    }

    /** Gives up a request for cancellation; it may have taken effect. */
    public void withdrawCancel(long requestId) {
        cancels.withdraw(requestId);
    }

    /** Resigns for a planned stop: grants nothing and claims nothing from now on. */
    public void resign() {
        resigning = true;
        if (!isLeading()) {
            act(new Action.Resigned());
        }
    }

    /**
     * Decides what is due. To be called at least every 250 ms.
     *
     * @param nowMs present time
     * @param wallMs UTC milliseconds
     */
    public void tick(long nowMs, long wallMs) {
        if (tickedMs != Placement.NEVER && nowMs - tickedMs > PAUSE_MS) {
            resumedMs = nowMs;
        }
        tickedMs = nowMs;
        if (nowMs - prunedMs >= PRUNE_EVERY_MS) {
            prunedMs = nowMs;
            guards.entrySet()
                    .removeIf(guard -> guard.getValue().isForgettable(nowMs)
                            && placements.findOn(guard.getKey()).isEmpty());
        }
        if (store.isProbeDue(nowMs)) {
            act(new Action.ProbeStore());
        }
        if (fold.isSynchronized() && caughtUp && rulesKnown && !store.readsFail()) {
            cancels.send(wallMs);
        }
        if (isLeading()) {
            lead(nowMs, wallMs);
        } else {
            claimIfDue(nowMs);
        }
    }

    // Views

    /** Returns the offset to read from next. */
    public long nextOffset() {
        return fold.nextOffset();
    }

    /** Tells whether this entry leads the shard, as far as it has read. */
    public boolean isLeading() {
        return ownTerm != ShardState.NO_OFFSET && fold.isSynchronized() && fold.term() == ownTerm && !fold.resigned();
    }

    /** Returns the state of the shard as far as it has been read; not to be changed. */
    public ShardState state() {
        return fold;
    }

    /** Returns the time since the last accepted record was seen, in milliseconds. */
    public long findAgeMs(long nowMs) {
        return acceptedSeenMs == Placement.NEVER ? 0 : nowMs - acceptedSeenMs;
    }

    /** Tells whether this entry leads without the store. */
    public boolean isOutage() {
        return outage;
    }

    /** Returns the runs of this shard's work, and the rules' next ones. */
    public List<RunView> listRuns(long wallMs) {
        return RunViews.list(fold, scheduler, waiting, isLeading(), wallMs);
    }

    /** Tells whether a guard's task may get a grant now. */
    boolean mayAct(long nowMs) {
        return isLeading() && !resigning && fencedTerm <= ownTerm && lease.mayGrant(fold.witnesses(), nowMs);
    }

    // Log

    private void onAccepted(LoggedBatch logged, FoldOutcome.Accepted accepted, long nowMs) {
        WorkBatch batch = logged.batch();
        if (batch.asSnapshot() != null) {
            snapshotMs = nowMs;
            recordsSinceSnapshot = 0;
        }
        for (WorkDecision decision : batch.decisions()) {
            if (decision instanceof WorkDecision.Cancelled cancelled) {
                cancels.resolve(cancelled.work());
            }
        }
        if (accepted.applied().size() == 1 && accepted.applied().get(0) instanceof WorkDecision.Claim claim) {
            onClaim(logged, claim, nowMs);
            return;
        }
        if (batch.term() != ownTerm || ownTerm == ShardState.NO_OFFSET) {
            return;
        }
        long sentMs = outbox.accept(batch.batchId());
        if (sentMs != Placement.NEVER) {
            lease.extend(sentMs);
        }
        invariants.check(
                accepted.voided().stream().noneMatch(this::isUnexpectedlyVoid),
                "I2",
                "an assignment of the leader " + shard.leaderId() + " is void: " + accepted.voided());
        accepted.applied().forEach(decision -> onOwnDecision(decision, nowMs));
    }

    /** Only a cancellation of another entry may come between the decision for an assignment and its record. */
    private boolean isUnexpectedlyVoid(WorkDecision decision) {
        if (!(decision instanceof WorkDecision.Assign assign)) {
            return false;
        }
        WorkEntry entry = fold.find(RunKey.of(assign.task()));
        return entry == null || entry.phase() != WorkPhase.CANCELLED;
    }

    private void onOwnDecision(WorkDecision decision, long nowMs) {
        switch (decision) {
            case WorkDecision.Assign assign -> {
                Placement placement = new Placement(assign.task(), assign.vm(), false, nowMs);
                placements.add(placement);
                if (mayAct(nowMs)) {
                    dialogue.startPlaced(placement, guards.get(assign.vm()), lease.isUnconditional(nowMs), nowMs);
                }
            }
            case WorkDecision.Stopped stopped -> placements.remove(stopped.task());
            case WorkDecision.Finished finished -> {
                placements.remove(finished.task());
                RunKey key = RunKey.of(finished.task());
                WorkEntry entry = fold.find(key);
                if (entry == null || entry.phase().ended()) {
                    startableFromMs.remove(key);
                    scheduler.forget(key);
                }
                if (entry != null && entry.phase() == WorkPhase.QUARANTINED) {
                    notify(
                            WorkNotice.QUARANTINED,
                            "work=" + finished.task().work() + " run="
                                    + finished.task().run() + " vms=" + entry.failedVms() + " reason="
                                    + finished.reason());
                }
            }
            case WorkDecision.Renew renew -> {
                if (renew.resign()) {
                    act(new Action.Resigned());
                    depose(nowMs);
                }
            }
            default -> {
                // Claims are handled before; the others change only the fold.
            }
        }
    }

    private void onClaim(LoggedBatch logged, WorkDecision.Claim claim, long nowMs) {
        Long sentMs = claimsSentMs.get(logged.batch().batchId());
        if (!claim.leader().equals(shard.leaderId()) || sentMs == null) {
            depose(nowMs);
            return;
        }
        boolean again = ownTerm != ShardState.NO_OFFSET;
        ownTerm = logged.offset();
        sequence = 0;
        claimsSentMs.clear();
        outbox.clear();
        lease.begin(sentMs);
        takeover.begin(ownTerm, fold.predecessors(), shard.entryId(), nowMs);
        if (!again) {
            placements.clear();
            startableFromMs.clear();
            for (WorkEntry entry : fold.entries()) {
                if (entry.live()) {
                    placements.add(new Placement(entry.task(), entry.vm(), true, nowMs));
                }
            }
        }
        notify(WorkNotice.LEADING, "term=" + ownTerm + " witnesses=" + fold.witnesses());
        guards.values().stream()
                .filter(slot -> slot.isReachable(nowMs) && mayAct(nowMs))
                .forEach(slot -> dialogue.answer(slot, lease.isUnconditional(nowMs), nowMs));
    }

    private void depose(long nowMs) {
        if (ownTerm == ShardState.NO_OFFSET) {
            return;
        }
        notify(WorkNotice.DEPOSED, "term=" + ownTerm);
        ownTerm = ShardState.NO_OFFSET;
        outage = false;
        outbox.clear();
        takeover.forgetOwnTerms();
        placements.clear();
        waiting.clear();
    }

    // Following

    private void claimIfDue(long nowMs) {
        boolean ready = fold.isSynchronized() && caughtUp && !resigning && rulesKnown && !store.readsFail();
        if (!ready || nowMs - claimedMs < CLAIM_RETRY_MS) {
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

    private void sendClaim(long nowMs) {
        claimedMs = nowMs;
        claims++;
        WorkDecision claim = new WorkDecision.Claim(shard.leaderId(), fold.lastAcceptedOffset(), peers.findWitnesses());
        String batchId = shard.leaderId() + "/claim-" + claims;
        claimsSentMs.put(batchId, nowMs);
        act(new Action.Append(new WorkBatch(batchId, 0, List.of(claim))));
    }

    // Leading

    private void lead(long nowMs, long wallMs) {
        boolean unconditional = lease.isUnconditional(nowMs);
        if (outage == unconditional) {
            outage = !unconditional;
            notify(outage ? WorkNotice.OUTAGE_ENTERED : WorkNotice.OUTAGE_ENDED, "term=" + ownTerm);
        }
        if (lease.isAskDue(nowMs)) {
            fold.witnesses().forEach(id -> act(new Action.ToPeer(id, new PeerMessage.ConfirmOutage(ownTerm, nowMs))));
        }
        takeover.findWitnessesToAsk(nowMs)
                .forEach(id -> act(new Action.ToPeer(id, new PeerMessage.FenceLeader(ownTerm))));
        // A leader that cannot read back its decisions leaves the shard to an entry that can.
        if (store.readsFail()) {
            return;
        }
        WorkBatch retry = outbox.findRetry(nowMs);
        if (retry != null) {
            act(new Action.Append(retry));
        } else if (outbox.isFree(nowMs)) {
            append(nowMs, wallMs);
        }
    }

    private void append(long nowMs, long wallMs) {
        if (!resigning && peers.shouldReplace(fold.witnesses(), nowMs) && nowMs - claimedMs >= CLAIM_RETRY_MS) {
            sendClaim(nowMs);
            return;
        }
        List<WorkDecision> decisions = new ArrayList<>();
        if (resigning) {
            decisions.add(new WorkDecision.Renew(true, false));
        } else if (isSnapshotDue(nowMs)) {
            decisions.add(fold.constructSnapshot());
        } else {
            decide(decisions, nowMs, wallMs);
        }
        if (!decisions.isEmpty()) {
            sequence++;
            String batchId = WorkBatch.constructId(shard.leaderId(), sequence);
            act(new Action.Append(outbox.send(new WorkBatch(batchId, ownTerm, decisions), nowMs)));
        }
    }

    private boolean isSnapshotDue(long nowMs) {
        boolean old = nowMs - snapshotMs >= times.retentionMs() / 4 && nowMs - claimedMs >= times.claimAfterMs();
        return recordsSinceSnapshot >= SNAPSHOT_RECORDS || old;
    }

    private void decide(List<WorkDecision> decisions, long nowMs, long wallMs) {
        boolean timed = nowMs - resumedMs >= PAUSE_GRACE_MS;
        decisions.addAll(releases.findEnded(timed, nowMs));
        decisions.addAll(cancels.findLifted());
        decisions.addAll(releases.findEvictions(nowMs));
        if (lease.isUnconditional(nowMs) && rulesKnown) {
            Plan plan = scheduler.plan(fold, guards, placements.all(), nowMs, wallMs);
            decisions.addAll(plan.assigns()
                    .subList(0, Math.min(MAX_DECISIONS, plan.assigns().size())));
            waiting.clear();
            waiting.putAll(plan.waiting());
            plan.notices().forEach(this::act);
        }
        boolean settled = !fold.predecessors().isEmpty() && takeover.isSettled(nowMs);
        if (settled) {
            notify(WorkNotice.SETTLED, "term=" + ownTerm);
        }
        if (settled || decisions.isEmpty() && nowMs - outbox.lastSentMs() >= times.renewEveryMs()) {
            decisions.add(new WorkDecision.Renew(false, settled));
        }
    }

    // Helpers

    private void notify(WorkNotice notice, String detail) {
        act(new Action.Notify(notice, detail));
    }

    private void act(Action action) {
        actions.add(action);
    }
}
