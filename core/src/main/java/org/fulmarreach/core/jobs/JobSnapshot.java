package org.fulmarreach.core.jobs;

import java.util.List;

/**
 * Durable progress of a job. Immutable.
 *
 * @param tasks states of the tasks, ordered by occurrence, step and index
 * @param settledAtMs when the job was completed, failed or was cancelled, in Unix milliseconds; 0 before
 */
public record JobSnapshot(List<TaskState> tasks, long settledAtMs) {
    /** Copies the list. */
    public JobSnapshot {
        tasks = List.copyOf(tasks);
    }

    /** Derives the status that callers see. */
    public JobStatus status(boolean cancelled) {
        boolean allDone = true;
        boolean started = false;
        for (TaskState task : tasks) {
            if (task.phase() == TaskPhase.FAILED) {
                return JobStatus.FAILED;
            }
            allDone &= task.phase() == TaskPhase.DONE;
            started |= task.run() > 0;
        }
        return JobStatus.of(allDone, started, cancelled);
    }
}
