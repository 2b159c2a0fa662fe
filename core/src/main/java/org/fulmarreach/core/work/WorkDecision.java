package org.fulmarreach.core.work;

import java.util.List;

import org.fulmarreach.core.model.TaskId;

/** One decision in the stream of a shard. Immutable. */
public sealed interface WorkDecision {
    /**
     * An entry claims to lead the shard. It is the only decision of its batch; its term is its offset.
     *
     * @param leader entry id and incarnation, {@code id/incarnation}
     * @param seenOffset offset of the last accepted record that the claimant has read; -1 when there is none
     * @param witnesses entry ids that can confirm an outage of the store to the claimant
     */
    record Claim(String leader, long seenOffset, List<String> witnesses) implements WorkDecision {
        /** Constructs a claim with its own copy of the list. */
        public Claim {
            witnesses = List.copyOf(witnesses);
        }
    }

    /**
     * The leader is alive.
     *
     * @param resign whether it leads no longer and grants nothing from now on
     * @param settled whether no earlier leader can have a valid grant any more
     */
    record Renew(boolean resign, boolean settled) implements WorkDecision {}

    /**
     * A run is placed.
     *
     * @param task run with its new epoch
     * @param vm VM
     * @param guardIncarnation incarnation of the guard that may start it
     * @param checkpoint progress to go on from; null to begin
     */
    record Assign(TaskId task, String vm, long guardIncarnation, String checkpoint) implements WorkDecision {}

    /**
     * The execution of an epoch has ended before the run was complete, or never began.
     *
     * @param task run and epoch
     * @param checkpoint progress; null keeps the latest one
     * @param reason why; null when unknown
     */
    record Stopped(TaskId task, String checkpoint, String reason) implements WorkDecision {}

    /**
     * The execution of an epoch has ended by itself.
     *
     * @param task run and epoch
     * @param success whether the run is complete
     * @param reason why not; null when it is
     */
    record Finished(TaskId task, boolean success, String reason) implements WorkDecision {}

    /**
     * The execution of an epoch is to be stopped with a checkpoint.
     *
     * @param task run and epoch
     */
    record EvictIntent(TaskId task) implements WorkDecision {}

    /**
     * A run is not started again.
     *
     * @param work name of the work
     * @param run number of the run
     * @param rule text of a standing rule, which may start again once it has another text; null for a batch run
     */
    record Cancelled(String work, long run, String rule) implements WorkDecision {}

    /**
     * State of the fold after the record at {@code basedOnOffset}. It is the only decision of its batch.
     *
     * @param term term in force
     * @param leader its leader
     * @param entries all runs
     * @param basedOnOffset offset of the last accepted record that it includes
     * @param witnesses witnesses of the term
     * @param resigned whether the leader has resigned
     * @param predecessors earlier leaders whose grants may be valid
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
