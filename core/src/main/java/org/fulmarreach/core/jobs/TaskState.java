package org.fulmarreach.core.jobs;

/**
 * Stored state of a task. Immutable.
 *
 * @param phase phase of the task
 * @param run number of its last run; 0 before the first
 * @param worker lifetime of the worker of the last run; null before the first
 * @param failures number of runs that failed
 * @param checkpoint saved progress that the next run starts from; empty for none
 */
public record TaskState(TaskPhase phase, int run, WorkerRef worker, int failures, String checkpoint) {
    /** State before the first run. */
    public static final TaskState INITIAL = new TaskState(TaskPhase.PENDING, 0, null, 0, "");
}
