package org.fulmarreach.core.jobs;

/**
 * Bounds the memory of the jobs that are kept. Each job counts with an estimate of what it takes at most, from its
 * submission to the end of its retention. One job may take a part of what is left only, so that a few large ones leave
 * room for many small ones. Not thread-safe.
 */
public final class JobMemory {
    /** Part of the heap that jobs may take; the rest is for requests, connections and this program. */
    private static final int HEAP_PERCENT = 40;

    private static final int FULL_PERCENT = 100;

    /** Part of what is left that one job may take, as a divisor. */
    private static final int SHARE_DIVISOR = 4;

    private static final int JOB_BYTES = 1_200;
    private static final int STEP_BYTES = 250;
    private static final int PREDECESSOR_BYTES = 20;
    private static final int CHAR_BYTES = 2;

    /** A task that waits or is done; few run at a time. */
    private static final int TASK_BYTES = 32;

    /** Tasks that wait for a worker one by one, or all together, are present from the begin. */
    private static final int PRESENT_TASK_BYTES = 400;

    private final long limitBytes;
    private long usedBytes;

    /**
     * Constructs a bound.
     *
     * @param limitBytes memory that all jobs may take
     */
    public JobMemory(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /** Returns a bound by the size of this process's heap. */
    public static JobMemory ofHeap() {
        return new JobMemory(Runtime.getRuntime().maxMemory() / FULL_PERCENT * HEAP_PERCENT);
    }

    /** Tells whether another job may be accepted. */
    public boolean admits(JobSpec job) {
        return bytesOf(job) <= (limitBytes - usedBytes) / SHARE_DIVISOR;
    }

    /** Counts a job. */
    public void add(JobSpec job) {
        usedBytes += bytesOf(job);
    }

    /** Ceases to count a job. */
    public void remove(JobSpec job) {
        usedBytes -= bytesOf(job);
    }

    /** Returns the memory that a job takes at most, in bytes. */
    static long bytesOf(JobSpec job) {
        long bytes = JOB_BYTES
                + (long) CHAR_BYTES * (job.id().length() + job.payload().length());
        for (JobStep step : job.steps()) {
            int chars = step.requiredLabel().length()
                    + step.dataRack().length()
                    + step.image().length();
            boolean present = step.longRunning() || step.gang();
            bytes += STEP_BYTES
                    + (long) PREDECESSOR_BYTES * step.predecessors().size()
                    + (long) CHAR_BYTES * chars
                    + (long) job.occurrences() * step.taskCount() * (present ? PRESENT_TASK_BYTES : TASK_BYTES);
        }
        return bytes;
    }
}
