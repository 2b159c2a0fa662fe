package org.fulmarreach.core.jobs;

/**
 * Limits how much work is started on a worker whose zone was taken back: processors up to a share of its capacity that
 * grows evenly from nothing. Immutable.
 *
 * @param sinceMs when the zone was taken back, as a reading of the leader's monotonic clock
 * @param fillMs time after which the whole capacity may be used; 0 for no limit
 */
record StartAllowance(long sinceMs, long fillMs) {
    /** Limits nothing. */
    static final StartAllowance UNLIMITED = new StartAllowance(0, 0);

    /** Tells whether a further task may be started on a worker now. */
    boolean admits(JobStep step, WorkerView worker, long nowMs) {
        long elapsedMs = nowMs - sinceMs;
        if (elapsedMs >= fillMs) {
            return true;
        }
        long started = step.demand().milliCores() + startedMilliCores(worker);
        return started <= worker.report().capacity().milliCores() * elapsedMs / fillMs;
    }

    /**
     * Tells whether a task that has waited for long may be started on a worker now: also one that is larger than the
     * share, if it is the first one there.
     *
     * @param minElapsedMs time from when the zone was taken back to such a first task
     */
    boolean admitsWaiting(JobStep step, WorkerView worker, long minElapsedMs, long nowMs) {
        return admits(step, worker, nowMs) || nowMs - sinceMs >= minElapsedMs && startedMilliCores(worker) == 0;
    }

    private long startedMilliCores(WorkerView worker) {
        long started = 0;
        for (JobTask task : worker.assigned()) {
            // Members of a gang are on the worker before they are assigned: a gang is chosen as a whole.
            if (!task.isAssigned() || task.progress().orderedAtMs() >= sinceMs) {
                started += task.step().demand().milliCores();
            }
        }
        return started;
    }
}
