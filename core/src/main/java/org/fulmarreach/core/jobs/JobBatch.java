package org.fulmarreach.core.jobs;

import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Decisions that are written together. The orders may leave only once the store has acknowledged the rest. Immutable.
 *
 * @param progress changed jobs, by id
 * @param forgotten ids of jobs whose records are removed
 * @param orders orders that follow from them
 */
public record JobBatch(Map<String, JobSnapshot> progress, Set<String> forgotten, List<JobOrder> orders) {
    /** Copies the collections. */
    public JobBatch {
        progress = Map.copyOf(progress);
        forgotten = Set.copyOf(forgotten);
        orders = List.copyOf(orders);
    }

    /** Tells whether there is nothing to write and nothing to order. */
    public boolean isEmpty() {
        return progress.isEmpty() && forgotten.isEmpty() && orders.isEmpty();
    }
}
