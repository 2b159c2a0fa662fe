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
    private static final long PRUNE_EVERY_MS = 60_000;

    private final ShardId shard;
    private final InvariantCheck invariants;
    private final ShardState fold;
    private final Scheduler scheduler;
    private final Lease lease;
    private final Leadership leadership;
    private final Outbox outbox;
    private final Peers peers;
    private final StoreHealth store = new StoreHealth();
    private final Map<String, GuardSlot> guards = new HashMap<>();
    private final Placements placements = new Placements();
    private final Map<RunKey, Long> startableFromMs = new HashMap<>();
    private final Cancellations cancels;
    private final GuardDialogue dialogue;
    private final BatchWriter batches;
    private List<Action> actions = new ArrayList<>();

    private boolean rulesKnown;
    private boolean caughtUp;
    private boolean noSnapshotReported;
    private long prunedMs = Placement.NEVER;

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
        this.invariants = invariants;
        this.fold = new ShardState(invariants);
        this.scheduler = new Scheduler(shard, random);
        this.lease = new Lease(times);
        Takeover takeover = new Takeover(times);
        this.outbox = new Outbox(times);
        this.peers = new Peers(zone);
        this.leadership = new Leadership(shard, times, fold, store, lease, takeover, peers, this::act);
        this.cancels = new Cancellations(shard, fold, scheduler, this::act);
        this.dialogue =
                new GuardDialogue(shard, times, fold, scheduler, placements, startableFromMs, invariants, this::act);
        Releases releases =
                new Releases(times, fold, scheduler, takeover, guards, placements, startableFromMs, this::act);
        this.batches = new BatchWriter(
                times, fold, scheduler, leadership, outbox, cancels, releases, guards, placements, this::act);
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
        leadership.noteRead(issuedMs);
        for (LoggedBatch logged : records) {
            FoldOutcome outcome = fold.apply(logged.offset(), logged.batch());
            batches.noteRecord();
            if (outcome instanceof FoldOutcome.Accepted accepted) {
                if (!ShardState.isCancelRequest(logged.batch())) {
                    leadership.noteAccepted(nowMs);
                }
                onAccepted(logged, accepted, nowMs);
            }
        }
        if (records.isEmpty()) {
            leadership.noteEmptyRead(issuedMs);
        }
        if (atTail) {
            caughtUp = fold.isSynchronized();
            if (!fold.isSynchronized() && !noSnapshotReported) {
                noSnapshotReported = true;
                notify(WorkNotice.NO_SNAPSHOT, "first kept record without a snapshot after it");
            }
        }
        leadership.startSilence(nowMs);
    }

    /** Takes the failure of a read. */
    public void onReadFailed(long nowMs) {
        store.read(false, nowMs);
        leadership.noteReadFailed();
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
        leadership.onPeerMessage(from, message, caughtUp, nowMs);
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
        leadership.resign();
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
        batches.noteTick(nowMs);
        if (nowMs - prunedMs >= PRUNE_EVERY_MS) {
            prunedMs = nowMs;
            guards.entrySet()
                    .removeIf(guard -> guard.getValue().isForgettable(nowMs)
                            && placements.findOn(guard.getKey()).isEmpty());
        }
        if (store.isProbeDue(nowMs)) {
            act(new Action.ProbeStore());
        }
        boolean ready = fold.isSynchronized() && caughtUp && rulesKnown && !store.readsFail();
        if (ready) {
            cancels.send(wallMs);
        }
        if (isLeading()) {
            lead(nowMs, wallMs);
        } else if (ready) {
            leadership.claimIfDue(nowMs);
        }
    }

    // Views

    /** Returns the offset to read from next. */
    public long nextOffset() {
        return fold.nextOffset();
    }

    /** Tells whether this entry leads the shard, as far as it has read. */
    public boolean isLeading() {
        return leadership.isLeading();
    }

    /** Returns the state of the shard as far as it has been read; not to be changed. */
    public ShardState state() {
        return fold;
    }

    /** Returns the time since the last accepted record was seen, in milliseconds. */
    public long findAgeMs(long nowMs) {
        return leadership.findAgeMs(nowMs);
    }

    /** Tells whether this entry leads without the store. */
    public boolean isOutage() {
        return leadership.isOutage();
    }

    /** Returns the runs of this shard's work, and the rules' next ones. */
    public List<RunView> listRuns(long wallMs) {
        return RunViews.list(fold, scheduler, batches.waiting(), isLeading(), wallMs);
    }

    /** Tells whether a guard's task may get a grant now. */
    boolean mayAct(long nowMs) {
        return leadership.mayAct(nowMs);
    }

    // Log

    private void onAccepted(LoggedBatch logged, FoldOutcome.Accepted accepted, long nowMs) {
        WorkBatch batch = logged.batch();
        if (batch.asSnapshot() != null) {
            batches.noteSnapshot(nowMs);
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
        if (!leadership.isOwn(batch)) {
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
        boolean again = leadership.hasTerm();
        if (!leadership.begin(logged, claim, nowMs)) {
            depose(nowMs);
            return;
        }
        outbox.clear();
        if (!again) {
            placements.clear();
            startableFromMs.clear();
            for (WorkEntry entry : fold.entries()) {
                if (entry.live()) {
                    placements.add(new Placement(entry.task(), entry.vm(), true, nowMs));
                }
            }
        }
        notify(WorkNotice.LEADING, "term=" + leadership.term() + " witnesses=" + fold.witnesses());
        guards.values().stream()
                .filter(slot -> slot.isReachable(nowMs) && mayAct(nowMs))
                .forEach(slot -> dialogue.answer(slot, lease.isUnconditional(nowMs), nowMs));
    }

    private void depose(long nowMs) {
        if (!leadership.hasTerm()) {
            return;
        }
        leadership.end();
        outbox.clear();
        placements.clear();
        batches.clearWaiting();
    }

    // Leading

    private void lead(long nowMs, long wallMs) {
        leadership.maintain(nowMs);
        // A leader that cannot read back its decisions leaves the shard to an entry that can.
        if (!store.readsFail()) {
            batches.write(rulesKnown, nowMs, wallMs);
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
