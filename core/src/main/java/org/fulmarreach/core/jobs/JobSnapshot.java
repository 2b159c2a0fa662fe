package org.fulmarreach.core.jobs;

import java.util.List;

/**
 * Durable progress of a job. Immutable.
 *
 * @param tasks states of the tasks, ordered by occurrence, step and index
 * @param settledAtMs when the job was completed, failed or was cancelled, in Unix milliseconds; 0 before
 * @param begun whether a worker has begun one of the tasks; an assignment alone may be refused or get lost
 */
public record JobSnapshot(List<TaskState> tasks, long settledAtMs, boolean begun) {
    /** Copies the list. */
    public JobSnapshot {
        tasks = TaskStates.copyOf(tasks);
    }

    /** Returns the states of the tasks in parts. */
    public TaskStates states() {
        return TaskStates.copyOf(tasks);
    }

    /** Derives the status that callers see. */
    public JobStatus status(boolean cancelled) {
        TaskStates states = states();
        if (states.count(TaskPhase.FAILED) > 0) {
            return JobStatus.FAILED;
        }
        return JobStatus.of(states.count(TaskPhase.DONE) == states.size(), begun, cancelled);
    }
}
