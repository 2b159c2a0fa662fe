package org.fulmarreach.core.jobs;

/**
 * Stored state of a task. Immutable.
 *
 * @param phase phase of the task
 * @param run number of its last run; 0 before the first
 * @param worker lifetime of the worker of the last run; null before the first
 * @param failures number of runs that failed
 * @param checkpoint saved progress that the next run starts from; empty for none
 * @param crashes worker crashes in which the task was a suspect, since one of its runs last showed progress
 * @param soleCrashes those of {@code crashes} in which it was the only suspect
 * @param stopConfirmed whether the worker has confirmed a stop of the current run: it ends within the platform's bound
 *     on stops, and no start of it is accepted any more
 * @param endForgotten whether the current run has ended and its worker does not list the end, so that it may have
 *     succeeded
 */
public record TaskState(
        TaskPhase phase,
        int run,
        WorkerRef worker,
        int failures,
        String checkpoint,
        int crashes,
        int soleCrashes,
        boolean stopConfirmed,
        boolean endForgotten) {
    /** State before the first run. */
    public static final TaskState INITIAL = new TaskState(TaskPhase.PENDING, 0, null, 0, "");

    /** Constructs the state of a task that is not suspected of crashing its workers. */
    public TaskState(TaskPhase phase, int run, WorkerRef worker, int failures, String checkpoint) {
        this(phase, run, worker, failures, checkpoint, 0, 0);
    }

    /** Constructs the state of a task whose worker has not confirmed a stop. */
    public TaskState(
            TaskPhase phase, int run, WorkerRef worker, int failures, String checkpoint, int crashes, int soleCrashes) {
        this(phase, run, worker, failures, checkpoint, crashes, soleCrashes, false, false);
    }

    /** Returns the state with another checkpoint. */
    public TaskState withCheckpoint(String newCheckpoint) {
        return new TaskState(
                phase, run, worker, failures, newCheckpoint, crashes, soleCrashes, stopConfirmed, endForgotten);
    }

    TaskState withCrashes(int newCrashes, int newSoleCrashes) {
        return new TaskState(
                phase, run, worker, failures, checkpoint, newCrashes, newSoleCrashes, stopConfirmed, endForgotten);
    }

    TaskState withStopConfirmed() {
        return new TaskState(phase, run, worker, failures, checkpoint, crashes, soleCrashes, true, endForgotten);
    }

    TaskState withEndForgotten(boolean forgotten) {
        return new TaskState(phase, run, worker, failures, checkpoint, crashes, soleCrashes, stopConfirmed, forgotten);
    }
}
