package org.fulmarreach.core.jobs;

import java.util.List;

/**
 * Change of the progress of a job that is to be stored. Immutable.
 *
 * @param snapshot all progress of the job
 * @param parts parts of the tasks with changes, by {@link TaskStates}; those of a job with one part are not listed
 */
public record JobChange(JobSnapshot snapshot, List<Integer> parts) {
    /** Copies the list. */
    public JobChange {
        parts = List.copyOf(parts);
    }

    /** Tells whether the states of the tasks are stored apart from the rest of the progress, in parts. */
    public boolean isDivided() {
        return snapshot.states().countParts() > 1;
    }
}
