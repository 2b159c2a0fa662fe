package org.fulmarreach.core.jobs;

/**
 * Bounds how many standing tasks of a step are not at work because of the system's own decisions. Each stop that the
 * system decides for a standing task asks {@link #mayStop} first. Whoever stops several tasks asks again before each of
 * them, after the stop of the one before was recorded in its progress. Stateless: all that counts is in the progress of
 * the tasks, so a new leader counts a task as unavailable until a worker has listed it.
 */
final class UnavailabilityBudget {
    private static final int COMPLETE_PERCENT = 100;

    /**
     * Tells whether the system may stop a task without exceeding {@link JobStep#maxUnavailable} of its step. Tasks that
     * are certainly not at work make nobody wait if they are stopped. Exempt as well are tasks of settled jobs, which
     * nobody waits for, and those on draining workers, which end anyway. Runs that are not the current one of their
     * task are duplicates and are stopped without asking.
     */
    boolean mayStop(JobTask task, long nowMs) {
        int max = task.step().maxUnavailable();
        return max == 0
                || !task.step().longRunning()
                || task.job().status().isFinal()
                || isCertainlyIdle(task, nowMs)
                || isOnDrainingWorker(task)
                || countOthersUnavailable(task, nowMs) < max;
    }

    /**
     * Tells whether a task is not at work, and will not be when a stop arrives: it has no run that may have begun, is
     * being stopped, or has not started up for so long that it counts as stalled. The leader's view is as old as the
     * last report, so a task that starts up, or whose worker is silent, may be at work unseen.
     */
    private static boolean isCertainlyIdle(JobTask task, long nowMs) {
        RunProgress progress = task.progress();
        if (!task.isAssigned() || !progress.mayHaveStarted() || progress.stopOrderedAtMs() > 0) {
            return true;
        }
        return progress.percent() < COMPLETE_PERCENT
                && nowMs - progress.advancedAtMs() > JobTimeLimits.STARTUP_TIMEOUT_MS
                && WaitDiagnosis.isAtWork(task, nowMs);
    }

    private static boolean isOnDrainingWorker(JobTask task) {
        WorkerView worker = task.workerView();
        return worker != null && worker.report() != null && worker.report().draining();
    }

    /** Returns the number of other tasks of the same step and occurrence that are not at work, for whatever reason. */
    int countOthersUnavailable(JobTask task, long nowMs) {
        int atWork = 0;
        for (JobTask other :
                task.job().presentTasksOf(task.name().occurrence(), task.name().step())) {
            if (other != task && isAtWork(other, nowMs)) {
                atWork++;
            }
        }
        return task.step().taskCount() - 1 - atWork;
    }

    /** Tells whether the run of a standing task is started up, and neither stopped nor on a silent worker. */
    boolean isAtWork(JobTask task, long nowMs) {
        return task.progress().percent() >= COMPLETE_PERCENT && WaitDiagnosis.isAtWork(task, nowMs);
    }
}
