package org.fulmarreach.core.jobs;

import java.util.List;

/**
 * Specification of a job as submitted by its caller. Immutable.
 *
 * @param id unique id of the job, chosen by the caller
 * @param queue name of the queue that it was submitted to
 * @param payload text that is passed to each task at its start
 * @param steps steps in order; the predecessors of a step are earlier in the list
 * @param firstRunMs due time of the first occurrence in Unix milliseconds; used when {@code repetitions} is over 0
 * @param intervalMs time between two occurrences in milliseconds
 * @param repetitions number of occurrences; 0 for a job that runs once, immediately
 * @param acceptedAtMs when an entry accepted the job, in Unix milliseconds
 * @param queuePolicy settings of the queue when the job was accepted; null if its record does not hold them
 */
public record JobSpec(
        String id,
        String queue,
        String payload,
        List<JobStep> steps,
        long firstRunMs,
        long intervalMs,
        int repetitions,
        long acceptedAtMs,
        QueuePolicy queuePolicy) {
    /** Limit on the tasks of a job with all its occurrences; a larger one would not fit into a record of the store. */
    public static final int MAX_TASKS = 20_000;

    /** Copies the list. */
    public JobSpec {
        steps = List.copyOf(steps);
    }

    /** Constructs the specification of a job whose record does not hold the settings of its queue. */
    public JobSpec(
            String id,
            String queue,
            String payload,
            List<JobStep> steps,
            long firstRunMs,
            long intervalMs,
            int repetitions,
            long acceptedAtMs) {
        this(id, queue, payload, steps, firstRunMs, intervalMs, repetitions, acceptedAtMs, null);
    }

    /** Returns how often the steps run, at least 1. */
    public int occurrences() {
        return Math.max(1, repetitions);
    }

    /** Tells whether the job has due times. */
    public boolean isTimed() {
        return repetitions > 0;
    }

    /** Returns the due time of an occurrence in Unix milliseconds; 0 for a job without due times. */
    public long dueMs(int occurrence) {
        return isTimed() ? firstRunMs + occurrence * intervalMs : 0;
    }
}
