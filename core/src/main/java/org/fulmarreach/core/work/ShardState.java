package org.fulmarreach.core.work;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Objects;
import java.util.TreeMap;

import org.fulmarreach.core.model.TaskId;

/**
 * State of one shard, computed by replaying the records of its stream. The state depends only on the records, so all
 * synchronized readers agree. A reader of a truncated stream is synchronized once it has read a snapshot for which all
 * later records are retained. Not thread-safe;
 * owned by the actor of the shard.
 */
public final class ShardState {
    /** Offset that means that no record has been accepted yet. */
    public static final long NO_OFFSET = -1;

    /** A run that failed on this many different VMs is not started again. */
    public static final int QUARANTINE_VMS = 3;

    /**
     * Number of ended runs kept for each unit of batch work. Runs with lower numbers than the lowest run kept are
     * treated as ended, so at least one has to be kept.
     */
    static final int ENDED_RUNS_KEPT = 4;

    private record Logged(long offset, WorkBatch batch) {}

    private final InvariantCheck invariants;
    private final TreeMap<RunKey, WorkEntry> entries = new TreeMap<>();
    private final List<Logged> buffered = new ArrayList<>();
    private boolean synchronizedWithLog = true;
    private long firstKeptOffset;
    private long nextOffset;
    private long lastAcceptedOffset = NO_OFFSET;
    private long lastSequence;
    private long term = NO_OFFSET;
    private String leader = "";
    private List<String> witnesses = List.of();
    private boolean resigned;
    private List<Predecessor> predecessors = new ArrayList<>();

    /** Constructs the state of an empty stream. */
    public ShardState(InvariantCheck invariants) {
        this.invariants = invariants;
    }

    // Life cycle

    /**
     * Resets the state in order to replay the log from the first record that it retains.
     *
     * @param newFirstKeptOffset offset of that record
     */
    public void restartAt(long newFirstKeptOffset) {
        entries.clear();
        buffered.clear();
        synchronizedWithLog = newFirstKeptOffset == 0;
        firstKeptOffset = newFirstKeptOffset;
        nextOffset = newFirstKeptOffset;
        lastAcceptedOffset = NO_OFFSET;
        lastSequence = 0;
        term = NO_OFFSET;
        leader = "";
        witnesses = List.of();
        resigned = false;
        predecessors = new ArrayList<>();
    }

    /**
     * Applies a record. Records are to be passed in the order of their offsets; one below {@link #nextOffset()} is
     * ignored.
     *
     * @param offset offset of the record
     * @param batch its content; null when it could not be decoded
     * @return whether the record was accepted, and which decisions took effect
     */
    public ApplyOutcome apply(long offset, WorkBatch batch) {
        if (offset < nextOffset) {
            return new ApplyOutcome.Ignored("already applied");
        }
        nextOffset = offset + 1;
        if (batch == null) {
            return new ApplyOutcome.Ignored("the record could not be decoded");
        }
        if (!synchronizedWithLog) {
            return applyUnsynchronized(offset, batch);
        }
        return applySynchronized(offset, batch);
    }

    // Public API

    /** Returns whether the state reflects the whole stream up to {@link #nextOffset()}. */
    public boolean isSynchronized() {
        return synchronizedWithLog;
    }

    /** Returns the offset to read from next. */
    public long nextOffset() {
        return nextOffset;
    }

    /** Returns the offset of the last accepted record, or {@link #NO_OFFSET}. */
    public long lastAcceptedOffset() {
        return lastAcceptedOffset;
    }

    /** Returns the sequence number of the last accepted batch of the term; 0 after the claim. */
    public long lastSequence() {
        return lastSequence;
    }

    /** Returns the current term, or {@link #NO_OFFSET}. */
    public long term() {
        return term;
    }

    /** Returns the leader of the term, {@code id/incarnation}; empty if there has been none. */
    public String leader() {
        return leader;
    }

    /** Returns the ids of the entries that are witnesses of the term. */
    public List<String> witnesses() {
        return witnesses;
    }

    /** Returns whether the leader of the term has resigned. */
    public boolean resigned() {
        return resigned;
    }

    /** Returns the earlier leaders whose grants may still be valid. */
    public List<Predecessor> predecessors() {
        return List.copyOf(predecessors);
    }

    /** Returns all recorded runs, ordered by work and run number; an unmodifiable view. */
    public Collection<WorkEntry> entries() {
        return Collections.unmodifiableCollection(entries.values());
    }

    /** Returns the recorded state of a run, or null if the run is not recorded. */
    public WorkEntry find(RunKey key) {
        return entries.get(key);
    }

    /** Returns whether a run that is no longer recorded has ended and was compacted. */
    public boolean isCompacted(RunKey key) {
        RunKey lowest = entries.ceilingKey(new RunKey(key.work(), Long.MIN_VALUE));
        return lowest != null && lowest.work().equals(key.work()) && key.run() < lowest.run();
    }

    /** Returns a snapshot of the current state. */
    public WorkDecision.Snapshot constructSnapshot() {
        return new WorkDecision.Snapshot(
                term,
                leader,
                List.copyOf(entries.values()),
                lastAcceptedOffset,
                witnesses,
                resigned,
                List.copyOf(predecessors));
    }

    /** Returns whether the run can be assigned: it is pending and has no live placement. */
    public static boolean isStartable(WorkEntry entry) {
        return !entry.live() && entry.phase() == WorkPhase.PENDING;
    }

    /** Returns whether a batch contains only cancellations outside any term, which any entry may append. */
    static boolean isCancelRequest(WorkBatch batch) {
        return batch.term() == NO_OFFSET
                && batch.decisions().stream()
                        .allMatch(decision ->
                                decision instanceof WorkDecision.Cancelled cancelled && !cancelled.isLifted());
    }

    // Helpers

    private ApplyOutcome applyUnsynchronized(long offset, WorkBatch batch) {
        buffered.add(new Logged(offset, batch));
        WorkDecision.Snapshot snapshot = batch.asSnapshot();
        if (snapshot == null || snapshot.basedOnOffset() < firstKeptOffset - 1) {
            return new ApplyOutcome.Ignored("no snapshot yet");
        }
        restore(snapshot, batch.sequence() - 1);
        ApplyOutcome outcome = new ApplyOutcome.Ignored("no snapshot yet");
        for (Logged logged : buffered) {
            if (logged.offset() > snapshot.basedOnOffset()) {
                outcome = applySynchronized(logged.offset(), logged.batch());
            }
        }
        buffered.clear();
        return outcome;
    }

    private void restore(WorkDecision.Snapshot snapshot, long sequence) {
        entries.clear();
        snapshot.entries().forEach(entry -> entries.put(entry.key(), entry));
        term = snapshot.term();
        leader = snapshot.leader();
        witnesses = snapshot.witnesses();
        resigned = snapshot.resigned();
        predecessors = new ArrayList<>(snapshot.predecessors());
        lastAcceptedOffset = snapshot.basedOnOffset();
        lastSequence = sequence;
        synchronizedWithLog = true;
    }

    private ApplyOutcome applySynchronized(long offset, WorkBatch batch) {
        if (batch.decisions().size() == 1 && batch.decisions().get(0) instanceof WorkDecision.Claim claim) {
            return applyClaim(offset, claim);
        }
        if (isCancelRequest(batch)) {
            ApplyOutcome outcome = applyDecisions(batch);
            lastAcceptedOffset = offset;
            return outcome;
        }
        if (batch.term() != term || term == NO_OFFSET) {
            return new ApplyOutcome.Ignored("term " + batch.term() + " is not the current term");
        }
        if (resigned) {
            return new ApplyOutcome.Ignored("the leader has resigned");
        }
        if (batch.sequence() <= lastSequence) {
            return new ApplyOutcome.Ignored("batch was already accepted");
        }
        ApplyOutcome outcome = applyDecisions(batch);
        lastSequence = batch.sequence();
        lastAcceptedOffset = offset;
        return outcome;
    }

    private ApplyOutcome applyDecisions(WorkBatch batch) {
        List<WorkDecision> applied = new ArrayList<>();
        List<WorkDecision> voided = new ArrayList<>();
        for (WorkDecision decision : batch.decisions()) {
            (applyDecision(decision) ? applied : voided).add(decision);
        }
        return new ApplyOutcome.Accepted(List.copyOf(applied), List.copyOf(voided));
    }

    private ApplyOutcome applyClaim(long offset, WorkDecision.Claim claim) {
        if (claim.seenOffset() != lastAcceptedOffset) {
            return new ApplyOutcome.Ignored("the claimant has not seen record " + lastAcceptedOffset);
        }
        invariants.check(offset > term, "I2", "claim at " + offset + " is not after term " + term);
        if (term != NO_OFFSET) {
            predecessors.add(new Predecessor(term, witnesses, resigned));
        }
        term = offset;
        leader = claim.leader();
        witnesses = claim.witnesses();
        resigned = false;
        lastSequence = 0;
        lastAcceptedOffset = offset;
        return new ApplyOutcome.Accepted(List.of(claim), List.of());
    }

    private boolean applyDecision(WorkDecision decision) {
        return switch (decision) {
            case WorkDecision.Claim claim -> false;
            case WorkDecision.Renew renew -> applyRenew(renew);
            case WorkDecision.Assign assign -> applyAssign(assign);
            case WorkDecision.Stopped stopped -> applyStopped(stopped);
            case WorkDecision.Finished finished -> applyFinished(finished);
            case WorkDecision.EvictIntent intent -> applyEvictIntent(intent);
            case WorkDecision.Cancelled cancelled -> applyCancelled(cancelled);
            case WorkDecision.Snapshot snapshot -> applySnapshot(snapshot);
        };
    }

    private boolean applyRenew(WorkDecision.Renew renew) {
        resigned = renew.resign();
        if (renew.settled()) {
            predecessors.clear();
        }
        return true;
    }

    private boolean applyAssign(WorkDecision.Assign assign) {
        RunKey key = RunKey.of(assign.task());
        WorkEntry known = entries.get(key);
        if (known == null && isCompacted(key)) {
            return false;
        }
        WorkEntry entry = known == null ? WorkEntry.pending(key) : known;
        boolean nextEpoch = assign.task().epoch() == entry.task().epoch() + 1;
        if (!isStartable(entry) || !nextEpoch || !Objects.equals(assign.checkpoint(), entry.checkpoint())) {
            return false;
        }
        put(entry.assigned(assign.task(), assign.vm(), assign.guardIncarnation()));
        return true;
    }

    private boolean applyStopped(WorkDecision.Stopped stopped) {
        WorkEntry entry = findLive(stopped.task());
        if (entry == null) {
            return false;
        }
        WorkPhase after = entry.phase() == WorkPhase.CANCELLED ? WorkPhase.CANCELLED : WorkPhase.PENDING;
        put(entry.released(after, stopped.checkpoint()));
        return true;
    }

    private boolean applyFinished(WorkDecision.Finished finished) {
        WorkEntry entry = findLive(finished.task());
        if (entry == null) {
            return false;
        }
        if (entry.phase() == WorkPhase.CANCELLED) {
            put(entry.released(WorkPhase.CANCELLED, null));
        } else if (finished.success()) {
            WorkPhase after = entry.key().standing() ? WorkPhase.PENDING : WorkPhase.DONE;
            put(entry.released(after, null).cleared());
        } else {
            WorkEntry failed = entry.withFailedVm(entry.vm());
            boolean quarantine = failed.failedVms().size() >= QUARANTINE_VMS;
            put(failed.released(quarantine ? WorkPhase.QUARANTINED : WorkPhase.PENDING, null));
        }
        return true;
    }

    private boolean applyEvictIntent(WorkDecision.EvictIntent intent) {
        WorkEntry entry = findLive(intent.task());
        if (entry == null || entry.phase() != WorkPhase.ASSIGNED) {
            return false;
        }
        put(entry.withPhase(WorkPhase.EVICTING));
        return true;
    }

    private boolean applyCancelled(WorkDecision.Cancelled cancelled) {
        RunKey key = new RunKey(cancelled.work(), cancelled.run());
        WorkEntry known = entries.get(key);
        if (cancelled.isLifted()) {
            boolean liftable = known != null && known.phase() == WorkPhase.CANCELLED && !known.live();
            if (liftable && key.standing()) {
                put(known.withPhase(WorkPhase.PENDING).cleared());
            }
            return liftable && key.standing();
        }
        boolean ended = known != null && known.phase().ended();
        if (ended && !key.standing() || known == null && isCompacted(key)) {
            return false;
        }
        put((known == null ? WorkEntry.pending(key) : known).cancelled(cancelled.rule()));
        return true;
    }

    private boolean applySnapshot(WorkDecision.Snapshot snapshot) {
        if (snapshot.basedOnOffset() == lastAcceptedOffset) {
            boolean equal = snapshot.entries().equals(List.copyOf(entries.values())) && snapshot.term() == term;
            invariants.check(equal, "I2", "the snapshot at " + lastAcceptedOffset + " differs from the replayed state");
        }
        return true;
    }

    private WorkEntry findLive(TaskId task) {
        WorkEntry entry = entries.get(RunKey.of(task));
        return entry != null && entry.live() && entry.task().epoch() == task.epoch() ? entry : null;
    }

    private void put(WorkEntry entry) {
        WorkEntry before = entries.put(entry.key(), entry);
        long epochBefore = before == null ? 0 : before.task().epoch();
        boolean newEpoch = entry.task().epoch() != epochBefore;
        boolean wasLive = before != null && before.live();
        invariants.check(
                !(newEpoch && wasLive)
                        && entry.task().epoch() - epochBefore <= 1
                        && entry.task().epoch() >= epochBefore,
                "I2",
                "epoch " + entry.task().epoch() + " of " + entry.key() + " follows " + epochBefore + ", live "
                        + wasLive);
        if (entry.phase().ended() && !entry.key().standing()) {
            compact(entry.key().work());
        }
    }

    private void compact(String work) {
        RunKey from = new RunKey(work, RunKey.STANDING + 1);
        RunKey to = new RunKey(work, Long.MAX_VALUE);
        var runs = entries.subMap(from, true, to, true);
        long ended = runs.values().stream()
                .filter(run -> run.phase().ended() && !run.live())
                .count();
        while (ended > ENDED_RUNS_KEPT) {
            WorkEntry lowest = runs.firstEntry().getValue();
            if (!lowest.phase().ended() || lowest.live()) {
                return;
            }
            runs.pollFirstEntry();
            ended--;
        }
    }
}
