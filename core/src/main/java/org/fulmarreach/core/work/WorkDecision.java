package org.fulmarreach.core.work;

import java.util.List;

import org.fulmarreach.core.model.TaskId;

/** A decision recorded in the stream of a shard. Immutable. */
public sealed interface WorkDecision {
    /**
     * An entry claims to lead the shard. A claim is the only decision of its batch, and its offset becomes
     * the term.
     *
     * @param leader entry id and incarnation, {@code id/incarnation}
     * @param seenOffset offset of the last accepted record that the claimant has read; -1 if there is none
     * @param witnesses ids of the entries that can confirm an outage of the store to the claimant
     */
    record Claim(String leader, long seenOffset, List<String> witnesses) implements WorkDecision {
        /** Constructs a claim with its own copy of the list. */
        public Claim {
            witnesses = List.copyOf(witnesses);
        }
    }

    /**
     * The leader extends its lease.
     *
     * @param resign whether the leader resigns and issues no more grants
     * @param settled whether no grant of an earlier leader can be valid any more
     */
    record Renew(boolean resign, boolean settled) implements WorkDecision {}

    /**
     * A run is assigned to a VM.
     *
     * @param task run with its new epoch
     * @param vm id of the VM
     * @param guardIncarnation guard incarnation that may start the task
     * @param checkpoint checkpoint to resume from; null to start from the beginning
     */
    record Assign(TaskId task, String vm, long guardIncarnation, String checkpoint) implements WorkDecision {}

    /**
     * The execution of an epoch ended before the run was complete, or never started.
     *
     * @param task run and epoch
     * @param checkpoint new checkpoint; null keeps the latest one
     * @param reason why it ended; null if unknown
     */
    record Stopped(TaskId task, String checkpoint, String reason) implements WorkDecision {}

    /**
     * The execution of an epoch succeeded or failed without being stopped.
     *
     * @param task run and epoch
     * @param success whether the run is complete
     * @param reason why it failed; null if it succeeded
     */
    record Finished(TaskId task, boolean success, String reason) implements WorkDecision {}

    /**
     * The execution of an epoch is to be evicted, that is, stopped with a checkpoint.
     *
     * @param task run and epoch
     */
    record EvictIntent(TaskId task) implements WorkDecision {}

    /**
     * A run is cancelled and will not be started again. Any entry may append a batch of cancellations outside any term.
     *
     * @param work name of the work
     * @param run number of the run
     * @param rule text of the rule of cancelled standing work, which may start again once the text has changed; empty
     *     to lift the cancellation after such a change; null for a batch run
     */
    record Cancelled(String work, long run, String rule) implements WorkDecision {
        /** Returns whether this decision lifts the cancellation of standing work. */
        public boolean isLifted() {
            return rule != null && rule.isEmpty();
        }
    }

    /**
     * State of the shard after the record at {@code basedOnOffset}. A snapshot is the only decision of its batch.
     *
     * @param term current term
     * @param leader leader of the term
     * @param entries all runs
     * @param basedOnOffset offset of the last accepted record that the snapshot includes
     * @param witnesses witnesses of the term
     * @param resigned whether the leader has resigned
     * @param predecessors earlier leaders whose grants may still be valid
     */
    record Snapshot(
            long term,
            String leader,
            List<WorkEntry> entries,
            long basedOnOffset,
            List<String> witnesses,
            boolean resigned,
            List<Predecessor> predecessors)
            implements WorkDecision {
        /** Constructs a snapshot with its own copies of the lists. */
        public Snapshot {
            entries = List.copyOf(entries);
            witnesses = List.copyOf(witnesses);
            predecessors = List.copyOf(predecessors);
        }
    }
}
