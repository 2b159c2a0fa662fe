package org.fulmarreach.core.jobs;

import java.util.List;

/**
 * Durable progress of a job. Immutable.
 *
 * @param tasks states of its tasks, by occurrence, step and index
 * @param settledAtMs Unix milliseconds at which it was done, had failed or was cancelled; 0 before
 */
public record JobSnapshot(List<TaskState> tasks, long settledAtMs) {
    /** Copies the list. */
    public JobSnapshot {
        tasks = List.copyOf(tasks);
    }

    /** Derives the state that callers are shown. */
    public JobStatus status(boolean cancelled) {
        boolean allDone = true;
        boolean begun = false;
        for (TaskState task : tasks) {
            if (task.phase() == TaskPhase.FAILED) {
                return JobStatus.FAILED;
            }
            allDone &= task.phase() == TaskPhase.DONE;
            begun |= task.run() > 0;
        }
        return JobStatus.of(allDone, begun, cancelled);
    }
}
