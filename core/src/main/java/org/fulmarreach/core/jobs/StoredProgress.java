package org.fulmarreach.core.jobs;

import java.util.List;

/**
 * Names the records of a job's progress. Immutable.
 *
 * @param id id of the job
 * @param parts parts of its tasks that are stored apart, by {@link TaskStates}
 */
public record StoredProgress(String id, List<Integer> parts) {
    /** Copies the list. */
    public StoredProgress {
        parts = List.copyOf(parts);
    }
}
