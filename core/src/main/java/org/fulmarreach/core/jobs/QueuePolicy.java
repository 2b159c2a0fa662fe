package org.fulmarreach.core.jobs;

/**
 * Settings of a queue that the scheduler needs for its jobs. They are stored with each job at its acceptance, since the
 * queue may be removed from the configuration before the job ends. Immutable.
 *
 * @param service service whose workers run its tasks
 * @param priority priority; 0 is the highest
 * @param maxAttempts number of failed runs of a task at which the job fails
 * @param targetLatencyMs constant part of a job's target completion time in milliseconds
 * @param criticalPathFactor factor on the estimated duration of the critical path in a job's target completion time
 */
public record QueuePolicy(
        String service, int priority, int maxAttempts, long targetLatencyMs, double criticalPathFactor) {
    /** Largest factor. With durations of at most 100 years, a target completion time still fits into a long. */
    public static final double MAX_CRITICAL_PATH_FACTOR = 1_000_000;
}
