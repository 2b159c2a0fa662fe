package org.fulmarreach.core.jobs;

/**
 * Configuration of a job queue. Immutable.
 *
 * @param name name of the queue
 * @param host host name of the requests that belong to it
 * @param pathPrefix path prefix of the requests that belong to it
 * @param service service whose workers run its tasks
 * @param priority priority; 0 is the highest
 * @param maxAttempts number of failed runs of a task at which the job fails
 * @param timeoutMs timeout of a request to the queue in milliseconds; 0 for none
 * @param targetLatencyMs constant part of a job's target completion time in milliseconds
 * @param criticalPathFactor factor on the estimated duration of the critical path in a job's target completion time
 */
public record JobQueue(
        String name,
        String host,
        String pathPrefix,
        String service,
        int priority,
        int maxAttempts,
        long timeoutMs,
        long targetLatencyMs,
        double criticalPathFactor) {
    /** Returns the settings that are stored with each job of the queue. */
    public QueuePolicy policy() {
        return new QueuePolicy(service, priority, maxAttempts, targetLatencyMs, criticalPathFactor);
    }
}
