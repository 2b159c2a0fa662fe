package org.fulmarreach.core.jobs;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Decisions that are written to the log together. The orders may be sent only after the store has acknowledged the
 * progress and the removals. Immutable.
 *
 * @param progress changes of the progress of jobs, by job id
 * @param removed progress that is removed
 * @param orders orders that depend on the written records
 */
public record JobBatch(Map<String, JobChange> progress, List<StoredProgress> removed, List<JobOrder> orders) {
    /** Copies the collections. */
    public JobBatch {
        progress = Map.copyOf(progress);
        removed = List.copyOf(removed);
        orders = List.copyOf(orders);
    }

    /** Tells whether there is nothing to write and no order to send. */
    public boolean isEmpty() {
        return progress.isEmpty() && removed.isEmpty() && orders.isEmpty();
    }

    /** Returns the batch without the changes of some jobs and without the starts of their tasks. */
    public JobBatch without(Set<String> jobIds) {
        if (jobIds.isEmpty()) {
            return this;
        }
        Map<String, JobChange> kept = new LinkedHashMap<>(progress);
        kept.keySet().removeAll(jobIds);
        return new JobBatch(
                kept,
                removed,
                orders.stream().filter(order -> !isStartOf(order, jobIds)).toList());
    }

    /** Returns the starts of the tasks of some jobs. */
    public List<JobOrder.Start> startsOf(Set<String> jobIds) {
        return orders.stream()
                .filter(order -> isStartOf(order, jobIds))
                .map(JobOrder.Start.class::cast)
                .toList();
    }

    private static boolean isStartOf(JobOrder order, Set<String> jobIds) {
        return order instanceof JobOrder.Start start
                && jobIds.contains(start.task().jobId());
    }
}
