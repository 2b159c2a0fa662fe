package org.fulmarreach.core.jobs;

/**
 * A queue of jobs as operators configure it. Immutable.
 *
 * @param name its name
 * @param host host name of the requests that belong to it
 * @param pathPrefix path prefix of the requests that belong to it
 * @param service service whose workers run its tasks
 * @param priority 0 goes first
 * @param maxAttempts runs of a task that may fail before the job fails
 * @param timeoutMs bound on a request to it in milliseconds
 * @param targetLatencyMs allowance beyond the work itself in milliseconds
 * @param stretch factor on the longest chain of work within which a job is on time
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
        double stretch) {}
