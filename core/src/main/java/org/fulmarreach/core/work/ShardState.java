package org.fulmarreach.core.work;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Objects;
import java.util.TreeMap;

import org.fulmarreach.core.model.TaskId;

/**
 * Fold of the stream of one shard. It depends only on the records, so all readers that are synchronized agree. A reader
 * of a truncated stream is synchronized once it has read a snapshot whose later records are all kept. Not thread-safe;
 * owned by the actor of the shard.
 */
public final class ShardState {
    /** Offset that stands for "no record accepted yet". */
    public static final long NO_OFFSET = -1;

    /** A run that failed on this many different VMs is not started again. */
    public static final int QUARANTINE_VMS = 3;

    /**
     * Ended runs kept for each batch work. Lower runs than the lowest one kept count as ended, so at least one has to
     * stay.
     */
    static final int ENDED_RUNS_KEPT = 4;

    private record Logged(long offset, WorkBatch batch) {}

    private final InvariantCheck invariants;
    private final TreeMap<RunKey, WorkEntry> entries = new TreeMap<>();
    private final List<Logged> unsynchronized = new ArrayList<>();
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

    /** Constructs the fold of an empty stream. */
    public ShardState(InvariantCheck invariants) {
        this.invariants = invariants;
    }

    // Life cycle

    /**
     * Starts again at the first record that the log keeps.
     *
     * @param newFirstKeptOffset its offset
     */
    public void restartAt(long newFirstKeptOffset) {
        entries.clear();
        unsynchronized.clear();
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
     * Applies a record. Records come in order of their offsets; a lower one than {@link #nextOffset()} is ignored.
     *
     * @param offset offset of the record
     * @param batch its content; null when it could not be decoded
     * @return what became of it
     */
    public FoldOutcome apply(long offset, WorkBatch batch) {
        if (offset < nextOffset) {
            return new FoldOutcome.Ignored("already applied");
        }
        nextOffset = offset + 1;
        if (batch == null) {
            return new FoldOutcome.Ignored("malformed");
        }
        if (!synchronizedWithLog) {
            return applyUnsynchronized(offset, batch);
        }
        return applySynchronized(offset, batch);
    }

    // Public API

    /** Tells whether the state is that of the whole stream. */
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

    /** Returns the sequence number of the last accepted batch of the term; 0 right after its claim. */
    public long lastSequence() {
        return lastSequence;
    }

    /** Returns the term in force, or {@link #NO_OFFSET}. */
    public long term() {
        return term;
    }

    /** Returns the leader of the term, {@code id/incarnation}; empty when there has been none. */
    public String leader() {
        return leader;
    }

    /** Returns the entry ids of the witnesses of the term. */
    public List<String> witnesses() {
        return witnesses;
    }

    /** Tells whether the leader of the term has resigned. */
    public boolean resigned() {
        return resigned;
    }

    /** Returns the earlier leaders whose grants may still be valid. */
    public List<Predecessor> predecessors() {
        return List.copyOf(predecessors);
    }

    /** Returns all runs known, by work and run. */
    public Collection<WorkEntry> entries() {
        return Collections.unmodifiableCollection(entries.values());
    }

    /** Returns the entry of a run; null when the log does not name it. */
    public WorkEntry find(RunKey key) {
        return entries.get(key);
    }

    /** Tells whether a run that the log does not name any more has ended earlier. */
    public boolean isForgotten(RunKey key) {
        RunKey lowest = entries.ceilingKey(new RunKey(key.work(), Long.MIN_VALUE));
        return lowest != null && lowest.work().equals(key.work()) && key.run() < lowest.run();
    }

    /** Returns a snapshot of the present state. */
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

    /** Tells whether an assignment of {@code entry} can be accepted. */
    public static boolean isStartable(WorkEntry entry) {
        boolean reopened = entry.phase() == WorkPhase.CANCELLED && entry.cancelledRule() != null;
        return !entry.live() && (entry.phase() == WorkPhase.PENDING || reopened);
    }

    /** Returns the checkpoint that the next assignment of {@code entry} has to name; null for none. */
    public static String findNextCheckpoint(WorkEntry entry) {
        return entry.phase() == WorkPhase.CANCELLED ? null : entry.checkpoint();
    }

    // Helpers

    private FoldOutcome applyUnsynchronized(long offset, WorkBatch batch) {
        unsynchronized.add(new Logged(offset, batch));
        WorkDecision.Snapshot snapshot = batch.asSnapshot();
        if (snapshot == null || snapshot.basedOnOffset() < firstKeptOffset - 1) {
            return new FoldOutcome.Ignored("no snapshot yet");
        }
        restore(snapshot, batch.sequence() - 1);
        FoldOutcome last = new FoldOutcome.Ignored("no snapshot yet");
        for (Logged logged : unsynchronized) {
            if (logged.offset() > snapshot.basedOnOffset()) {
                last = applySynchronized(logged.offset(), logged.batch());
            }
        }
        unsynchronized.clear();
        return last;
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

    private FoldOutcome applySynchronized(long offset, WorkBatch batch) {
        if (batch.decisions().size() == 1 && batch.decisions().get(0) instanceof WorkDecision.Claim claim) {
            return applyClaim(offset, claim);
        }
        if (batch.term() != term || term == NO_OFFSET) {
            return new FoldOutcome.Ignored("term " + batch.term() + " is not in force");
        }
        if (resigned) {
            return new FoldOutcome.Ignored("the leader has resigned");
        }
        if (batch.sequence() <= lastSequence) {
            return new FoldOutcome.Ignored("repeated batch");
        }
        List<WorkDecision> applied = new ArrayList<>();
        List<WorkDecision> voided = new ArrayList<>();
        for (WorkDecision decision : batch.decisions()) {
            (applyDecision(decision) ? applied : voided).add(decision);
        }
        lastSequence = batch.sequence();
        lastAcceptedOffset = offset;
        return new FoldOutcome.Accepted(List.copyOf(applied), List.copyOf(voided));
    }

    private FoldOutcome applyClaim(long offset, WorkDecision.Claim claim) {
        if (claim.seenOffset() != lastAcceptedOffset) {
            return new FoldOutcome.Ignored("the claimant has not seen record " + lastAcceptedOffset);
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
        return new FoldOutcome.Accepted(List.of(claim), List.of());
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
        if (known == null && isForgotten(key)) {
            return false;
        }
        WorkEntry entry = known == null ? WorkEntry.pending(key) : known;
        String checkpoint = findNextCheckpoint(entry);
        boolean next = assign.task().epoch() == entry.task().epoch() + 1;
        if (!isStartable(entry) || !next || !Objects.equals(assign.checkpoint(), checkpoint)) {
            return false;
        }
        WorkEntry base = entry.phase() == WorkPhase.CANCELLED ? entry.cleared() : entry;
        put(base.assigned(assign.task(), assign.vm(), assign.guardIncarnation()));
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
            boolean hopeless = failed.failedVms().size() >= QUARANTINE_VMS;
            put(failed.released(hopeless ? WorkPhase.QUARANTINED : WorkPhase.PENDING, null));
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
        boolean ended = known != null && known.phase().ended();
        if (ended && !key.standing() || known == null && isForgotten(key)) {
            return false;
        }
        put((known == null ? WorkEntry.pending(key) : known).cancelled(cancelled.rule()));
        return true;
    }

    private boolean applySnapshot(WorkDecision.Snapshot snapshot) {
        if (snapshot.basedOnOffset() == lastAcceptedOffset) {
            boolean equal = snapshot.entries().equals(List.copyOf(entries.values())) && snapshot.term() == term;
            invariants.check(equal, "I2", "the snapshot at " + lastAcceptedOffset + " differs from the fold");
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
