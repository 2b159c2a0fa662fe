package org.fulmarreach.core.work;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

import org.fulmarreach.core.rules.Rules;

/**
 * Makes the decisions of one entry about one shard, as follower, leader or witness. Performs no I/O: the caller passes
 * in events with the time of the entry's monotonic clock, and {@link #drain()} returns the actions to perform. Not
 * thread-safe; owned by the actor of the shard.
 */
public final class ShardLeader {
    private static final long PRUNE_INTERVAL_MS = 60_000;

    private final ShardId shard;
    private final InvariantCheck invariants;
    private final ShardState state;
    private final Scheduler scheduler;
    private final LeaderLease lease;
    private final Leadership leadership;
    private final Outbox outbox;
    private final Peers peers;
    private final StoreHealth store = new StoreHealth();
    private final Map<String, TrackedGuard> guards = new HashMap<>();
    private final Placements placements = new Placements();
    private final Map<RunKey, Long> earliestStartMs = new HashMap<>();
    private final Cancellations cancellations;
    private final GuardMessenger messenger;
    private final BatchWriter batchWriter;
    private List<Action> actions = new ArrayList<>();

    private boolean rulesKnown;
    private boolean caughtUp;
    private boolean noSnapshotReported;
    private long lastPrunedMs = Placement.NEVER;

    /**
     * Constructs a follower.
     *
     * @param shard shard and entry that follows it
     * @param zone availability zone of the entry
     * @param times durations of leases and takeovers
     * @param random source of random numbers for placement
     * @param invariants run-time check of invariants
     */
    public ShardLeader(ShardId shard, String zone, WorkTimes times, RandomGenerator random, InvariantCheck invariants) {
        this.shard = shard;
        this.invariants = invariants;
        this.state = new ShardState(invariants);
        this.scheduler = new Scheduler(shard, random);
        this.lease = new LeaderLease(times);
        Takeover takeover = new Takeover(times);
        this.outbox = new Outbox(times);
        this.peers = new Peers(zone);
        this.leadership = new Leadership(shard, times, state, store, lease, takeover, peers, this::emit);
        this.cancellations = new Cancellations(shard, state, scheduler, this::emit);
        this.messenger =
                new GuardMessenger(shard, times, state, scheduler, placements, earliestStartMs, invariants, this::emit);
        ReleasePlanner releases =
                new ReleasePlanner(times, state, scheduler, takeover, guards, placements, earliestStartMs, this::emit);
        this.batchWriter = new BatchWriter(
                times, state, scheduler, leadership, outbox, cancellations, releases, guards, placements, this::emit);
    }

    // Inputs

    /** Returns the actions since the last call, in order. */
    public List<Action> drain() {
        List<Action> drained = actions;
        actions = new ArrayList<>();
        return drained;
    }

    /**
     * Handles the result of a read.
     *
     * @param issuedMs time at which the read was sent
     * @param records records in order; empty if there were none
     * @param atTail whether the read reached the end of the log
     * @param nowMs current time
     */
    public void onRead(long issuedMs, List<LoggedBatch> records, boolean atTail, long nowMs) {
        store.recordRead(true, nowMs);
        leadership.onRead(issuedMs);
        for (LoggedBatch logged : records) {
            ApplyOutcome outcome = state.apply(logged.offset(), logged.batch());
            batchWriter.countRecord();
            if (outcome instanceof ApplyOutcome.Accepted accepted) {
                if (!ShardState.isCancelRequest(logged.batch())) {
                    leadership.onRecordAccepted(nowMs);
                }
                onAccepted(logged, accepted, nowMs);
            }
        }
        if (records.isEmpty()) {
            leadership.onEmptyRead(issuedMs);
        }
        if (atTail) {
            caughtUp = state.isSynchronized();
            if (!state.isSynchronized() && !noSnapshotReported) {
                noSnapshotReported = true;
                notify(WorkNotice.NO_SNAPSHOT, "no snapshot covers the first retained record");
            }
        }
        leadership.startSilenceTimer(nowMs);
    }

    /** Handles the failure of a read. */
    public void onReadFailed(long nowMs) {
        store.recordRead(false, nowMs);
        leadership.onReadFailed();
    }

    /** Handles a read result saying that the record at {@link #nextOffset()} is no longer retained. */
    public void onTruncated(long firstKeptOffset, long nowMs) {
        store.recordRead(true, nowMs);
        depose(nowMs);
        state.restartAt(firstKeptOffset);
        caughtUp = false;
        noSnapshotReported = false;
    }

    /** Handles the result of an append; a failed append may still have taken effect. */
    public void onAppendResult(String batchId, boolean success, long nowMs) {
        store.recordAppend(success, nowMs);
        outbox.onAppendResult(batchId, success, nowMs);
    }

    /** Handles the result of an append to the probe stream. */
    public void onProbeResult(boolean success, long nowMs) {
        store.recordAppend(success, nowMs);
    }

    /** Applies new rules. */
    public void onRules(Rules rules) {
        rulesKnown = true;
        scheduler.changeRules(rules);
    }

    /** Handles a heartbeat of a guard. */
    public void onHeartbeat(GuardReport report, long nowMs) {
        TrackedGuard guard = guards.computeIfAbsent(report.vm().id(), vm -> new TrackedGuard());
        if (!guard.update(report, nowMs)) {
            return;
        }
        scheduler.observe(report);
        if (mayGrant(nowMs)) {
            messenger.answerHeartbeat(guard, lease.isUnconditional(nowMs), nowMs);
        }
    }

    /** Handles the loss of the connection to a guard, which may still be running. */
    public void onGuardLost(String vm) {
        TrackedGuard guard = guards.get(vm);
        if (guard != null) {
            guard.disconnect();
        }
    }

    /** Updates the state of another entry of the region. */
    public void onPeer(String entryId, String zone, boolean leaving) {
        peers.update(entryId, zone, leaving);
    }

    /** Handles the loss of the connection to another entry. */
    public void onPeerLost(String entryId) {
        peers.remove(entryId);
    }

    /** Handles a message of another entry about this shard. */
    public void onPeerMessage(String from, PeerMessage message, long nowMs) {
        leadership.onPeerMessage(from, message, caughtUp, nowMs);
    }

    /** Requests the cancellation of a unit of work; the answer is an {@link Action.CancelAnswer}. */
    public void cancel(long requestId, String work) {
        cancellations.add(requestId, work);
    }

    /** Withdraws a cancellation request; the cancellation may already have taken effect. */
    public void withdrawCancel(long requestId) {
        cancellations.withdraw(requestId);
    }

    /** Resigns for a planned shutdown: issues no grants and claims nothing from now on. */
    public void resign() {
        leadership.resign();
        if (!isLeading()) {
            emit(new Action.Resigned());
        }
    }

    /**
     * Makes the decisions that are due. Call it at least every 250 ms.
     *
     * @param nowMs current time
     * @param wallMs wall clock time in milliseconds since the Unix epoch
     */
    public void tick(long nowMs, long wallMs) {
        batchWriter.onTick(nowMs);
        if (nowMs - lastPrunedMs >= PRUNE_INTERVAL_MS) {
            lastPrunedMs = nowMs;
            guards.entrySet()
                    .removeIf(guard -> guard.getValue().isRemovable(nowMs)
                            && placements.findOn(guard.getKey()).isEmpty());
        }
        if (store.beginProbeIfDue(nowMs)) {
            emit(new Action.ProbeStore());
        }
        boolean ready = state.isSynchronized() && caughtUp && rulesKnown && !store.readsFail();
        if (ready) {
            cancellations.send(wallMs);
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
        return state.nextOffset();
    }

    /** Returns whether this entry leads the shard according to the records read so far. */
    public boolean isLeading() {
        return leadership.isLeading();
    }

    /** Returns the state of the shard according to the records read so far; callers must not modify it. */
    public ShardState state() {
        return state;
    }

    /** Returns the time since the last accepted record was seen, in milliseconds. */
    public long findAgeMs(long nowMs) {
        return leadership.findAgeMs(nowMs);
    }

    /** Returns whether this entry leads the shard during an outage of the store. */
    public boolean isOutage() {
        return leadership.isOutage();
    }

    /** Returns the recorded, due and next runs of this shard's work. */
    public List<RunView> listRuns(long wallMs) {
        return RunViews.list(state, scheduler, batchWriter.waiting(), isLeading(), wallMs);
    }

    /** Returns whether this entry may issue grants now. */
    boolean mayGrant(long nowMs) {
        return leadership.mayGrant(nowMs);
    }

    // Log

    private void onAccepted(LoggedBatch logged, ApplyOutcome.Accepted accepted, long nowMs) {
        WorkBatch batch = logged.batch();
        if (batch.asSnapshot() != null) {
            batchWriter.onSnapshot(nowMs);
        }
        for (WorkDecision decision : batch.decisions()) {
            if (decision instanceof WorkDecision.Cancelled cancelled) {
                cancellations.confirm(cancelled.work());
            }
        }
        if (accepted.applied().size() == 1 && accepted.applied().get(0) instanceof WorkDecision.Claim claim) {
            onClaim(logged, claim, nowMs);
            return;
        }
        if (!leadership.isOwn(batch)) {
            return;
        }
        long sentMs = outbox.confirm(batch.batchId());
        if (sentMs != Placement.NEVER) {
            lease.extend(sentMs);
        }
        invariants.check(
                accepted.voided().stream().noneMatch(this::isUnexpectedlyVoid),
                "I2",
                "an assignment by leader " + shard.leaderId() + " had no effect: " + accepted.voided());
        accepted.applied().forEach(decision -> onOwnDecision(decision, nowMs));
    }

    /** An assignment of the leader may be void only if another entry's cancellation was recorded before it. */
    private boolean isUnexpectedlyVoid(WorkDecision decision) {
        if (!(decision instanceof WorkDecision.Assign assign)) {
            return false;
        }
        WorkEntry entry = state.find(RunKey.of(assign.task()));
        return entry == null || entry.phase() != WorkPhase.CANCELLED;
    }

    private void onOwnDecision(WorkDecision decision, long nowMs) {
        switch (decision) {
            case WorkDecision.Assign assign -> {
                Placement placement = new Placement(assign.task(), assign.vm(), false, nowMs);
                placements.add(placement);
                if (mayGrant(nowMs)) {
                    messenger.startPlaced(placement, guards.get(assign.vm()), lease.isUnconditional(nowMs), nowMs);
                }
            }
            case WorkDecision.Stopped stopped -> placements.remove(stopped.task());
            case WorkDecision.Finished finished -> {
                placements.remove(finished.task());
                RunKey key = RunKey.of(finished.task());
                WorkEntry entry = state.find(key);
                if (entry == null || entry.phase().ended()) {
                    earliestStartMs.remove(key);
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
                    emit(new Action.Resigned());
                    depose(nowMs);
                }
            }
            default -> {
                // Claims are handled by onClaim; the other decisions change only the shard state.
            }
        }
    }

    private void onClaim(LoggedBatch logged, WorkDecision.Claim claim, long nowMs) {
        boolean hadTerm = leadership.hasTerm();
        if (!leadership.begin(logged, claim, nowMs)) {
            depose(nowMs);
            return;
        }
        outbox.clear();
        if (!hadTerm) {
            placements.clear();
            earliestStartMs.clear();
            for (WorkEntry entry : state.entries()) {
                if (entry.live()) {
                    placements.add(new Placement(entry.task(), entry.vm(), true, nowMs));
                }
            }
        }
        notify(WorkNotice.LEADING, "term=" + leadership.term() + " witnesses=" + state.witnesses());
        guards.values().stream()
                .filter(guard -> guard.isReachable(nowMs) && mayGrant(nowMs))
                .forEach(guard -> messenger.answerHeartbeat(guard, lease.isUnconditional(nowMs), nowMs));
    }

    private void depose(long nowMs) {
        if (!leadership.hasTerm()) {
            return;
        }
        leadership.end();
        outbox.clear();
        placements.clear();
        batchWriter.clearWaiting();
    }

    // Leading

    private void lead(long nowMs, long wallMs) {
        leadership.maintain(nowMs);
        // A leader that cannot read the log appends nothing, so that an entry that can read it takes over.
        if (!store.readsFail()) {
            batchWriter.write(rulesKnown, nowMs, wallMs);
        }
    }

    // Helpers

    private void notify(WorkNotice notice, String detail) {
        emit(new Action.Notify(notice, detail));
    }

    private void emit(Action action) {
        actions.add(action);
    }
}
