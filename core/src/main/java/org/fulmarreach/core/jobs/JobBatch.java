package org.fulmarreach.core.jobs;

import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Decisions that are written to the log in one append. The orders may be sent only after the store has acknowledged
 * the progress and the removals. Immutable.
 *
 * @param progress progress of the changed jobs, by job id
 * @param removedJobIds ids of jobs whose records are removed
 * @param orders orders that depend on the written records
 */
public record JobBatch(Map<String, JobSnapshot> progress, Set<String> removedJobIds, List<JobOrder> orders) {
    /** Copies the collections. */
    public JobBatch {
        progress = Map.copyOf(progress);
        removedJobIds = Set.copyOf(removedJobIds);
        orders = List.copyOf(orders);
    }

    /** Tells whether there is nothing to write and no order to send. */
    public boolean isEmpty() {
        return progress.isEmpty() && removedJobIds.isEmpty() && orders.isEmpty();
    }
}
