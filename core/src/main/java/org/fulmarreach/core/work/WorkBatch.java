package org.fulmarreach.core.work;

import java.util.List;

/**
 * One append to the stream of a shard. Immutable.
 *
 * @param batchId id of the batch, {@code leader#sequence}; retries of the append use the same id
 * @param term term of the leader; 0 for a claim
 * @param decisions decisions in the order in which they apply
 */
public record WorkBatch(String batchId, long term, List<WorkDecision> decisions) {
    /** Constructs a batch with its own copy of the list. */
    public WorkBatch {
        decisions = List.copyOf(decisions);
    }

    /** Returns the id of the batch with the given sequence number; numbers start at 1 in each term. */
    public static String constructId(String leader, long sequence) {
        return leader + "#" + sequence;
    }

    /** Returns the sequence number in the id, or -1 if the id has none. */
    public long sequence() {
        int separator = batchId.lastIndexOf('#');
        try {
            return separator < 0 ? -1 : Long.parseLong(batchId.substring(separator + 1));
        } catch (NumberFormatException e) {
            return -1;
        }
    }

    /** Returns the snapshot if it is the only decision of this batch; null otherwise. */
    WorkDecision.Snapshot asSnapshot() {
        return decisions.size() == 1 && decisions.get(0) instanceof WorkDecision.Snapshot snapshot ? snapshot : null;
    }
}
