package org.fulmarreach.core.jobs;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Keeps since when each job that may run has had no run at work. Only a run that its worker lists ends a wait: a start
 * that is refused, withdrawn or lost on the way leaves it as it is. The wait of a job that this leader finds without a
 * run at the begin of its term goes back to the job's submission or due time, or, if it has had runs, to an unknown
 * time: it counts as longer than any limit, as the former leader was away for a while. Lives for one term; not
 * thread-safe.
 */
final class JobWaits {
    /** A check walks through all active jobs, so not each pass makes one. */
    static final long CHECK_INTERVAL_MS = 250;

    /** Wait of a job that is found without a run and had one under a former leader; longer than any limit. */
    static final long UNKNOWN_WAIT_MS = 3_000;

    /**
     * Time at the begin of a term in which no wait counts: guards report within it, and what reserves room is placed.
     * Otherwise all jobs without a run would take room at the first report.
     */
    private static final long TERM_SETTLES_MS = 1_000;

    /** Time in which a worker usually lists a run after its start was ordered; most do within half of it. */
    private static final long START_MS = 1_000;

    /** Value of {@link Look#sinceMs} of a job that does not wait. */
    private static final long NOT_WAITING = Long.MAX_VALUE;

    private Map<Job, Look> looks = new LinkedHashMap<>();
    private long checkedAtMs;
    private long settledAtMs;
    private boolean checked;

    /**
     * What the last look at a job has found.
     *
     * @param sinceMs since when it has had no run at work
     * @param doneTasks number of its tasks that were done; a short run may begin and end between two looks
     */
    private record Look(long sinceMs, int doneTasks) {}

    /** Looks at all jobs, if the last look is long enough ago; called at the begin of a pass. */
    void review(Collection<Job> active, long nowMs, long unixMs) {
        if (checked && nowMs - checkedAtMs < CHECK_INTERVAL_MS) {
            return;
        }
        if (!checked) {
            settledAtMs = nowMs + TERM_SETTLES_MS;
        }
        checked = true;
        checkedAtMs = nowMs;
        Map<Job, Look> next = new LinkedHashMap<>();
        for (Job job : active) {
            if (!job.status().isFinal()) {
                JobTask task = isAtWork(job, nowMs) ? null : findNextTask(job, unixMs);
                long sinceMs = task == null ? NOT_WAITING : findStartMs(task, nowMs, unixMs);
                next.put(job, new Look(sinceMs, job.doneTasks()));
            }
        }
        looks = next;
    }

    /** Returns for how long a job has had no run at work, as of the last look, in ms; 0 if it has one. */
    long waitedMs(Job job, long nowMs) {
        Look look = looks.get(job);
        return look == null || look.sinceMs() == NOT_WAITING ? 0 : nowMs - look.sinceMs();
    }

    /**
     * Returns for how long a job has had no run at work; 0 if a start of it was ordered so lately that its worker may
     * list it next, or if the term has just begun.
     */
    long waitedWithoutStartMs(Job job, long nowMs) {
        if (nowMs < settledAtMs) {
            return 0;
        }
        long waitedMs = waitedMs(job, nowMs);
        if (waitedMs > 0 && job.hasAssignedTasks()) {
            for (JobTask task : job.presentTasks()) {
                if (task.isAssigned() && nowMs - task.progress().orderedAtMs() < START_MS) {
                    return 0;
                }
            }
        }
        return waitedMs;
    }

    /** Returns the jobs that have waited for at least a time. */
    List<Job> findWaiting(long minWaitMs, long nowMs) {
        return looks.keySet().stream()
                .filter(job -> waitedMs(job, nowMs) >= minWaitMs)
                .toList();
    }

    /** Returns the first task of a job whose turn has come and that has not ended, or null if there is none. */
    static JobTask findNextTask(Job job, long unixMs) {
        for (int occurrence = 0;
                occurrence < job.spec().occurrences() && job.spec().dueMs(occurrence) <= unixMs;
                occurrence++) {
            for (int step = 0; step < job.spec().steps().size(); step++) {
                JobTask open = job.isReady(occurrence, step) ? job.findOpenTask(occurrence, step) : null;
                if (open != null) {
                    return open;
                }
            }
        }
        return null;
    }

    /*
     * Helpers
     */

    private long findStartMs(JobTask task, long nowMs, long unixMs) {
        Job job = task.job();
        Look before = looks.get(job);
        if (before != null) {
            boolean goesOn = before.sinceMs() != NOT_WAITING && before.doneTasks() == job.doneTasks();
            return goesOn ? before.sinceMs() : nowMs;
        }
        JobSpec spec = job.spec();
        long ageMs = Math.max(
                0, unixMs - Math.max(spec.acceptedAtMs(), spec.dueMs(task.name().occurrence())));
        return nowMs - (job.hasBegun() ? Math.min(ageMs, UNKNOWN_WAIT_MS) : ageMs);
    }

    private static boolean isAtWork(Job job, long nowMs) {
        if (!job.hasAssignedTasks()) {
            return false;
        }
        for (JobTask task : job.presentTasks()) {
            if (WaitDiagnosis.isAtWork(task, nowMs)) {
                return true;
            }
        }
        return false;
    }
}
