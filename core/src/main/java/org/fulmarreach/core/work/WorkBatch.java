package org.fulmarreach.core.work;

import java.util.List;

/**
 * One append to the stream of a shard. Immutable.
 *
 * @param batchId id that repetitions of the append share, {@code leader#sequence}
 * @param term term of the leader; 0 for a claim
 * @param decisions decisions in order
 */
public record WorkBatch(String batchId, long term, List<WorkDecision> decisions) {
    /** Constructs a batch with its own copy of the list. */
    public WorkBatch {
        decisions = List.copyOf(decisions);
    }

    /** Returns the id of the batch with the given sequence number, from 1 in each term. */
    public static String constructId(String leader, long sequence) {
        return leader + "#" + sequence;
    }

    /** Returns the sequence number in the id; -1 when it has none. */
    public long sequence() {
        int mark = batchId.lastIndexOf('#');
        try {
            return mark < 0 ? -1 : Long.parseLong(batchId.substring(mark + 1));
        } catch (NumberFormatException e) {
            return -1;
        }
    }

    /** Returns the snapshot if this batch is one; null otherwise. */
    WorkDecision.Snapshot asSnapshot() {
        return decisions.size() == 1 && decisions.get(0) instanceof WorkDecision.Snapshot snapshot ? snapshot : null;
    }
}
