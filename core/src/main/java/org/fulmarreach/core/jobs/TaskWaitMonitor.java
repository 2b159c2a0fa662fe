package org.fulmarreach.core.jobs;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

import org.fulmarreach.core.jobs.DecisionLog.Decision;

/**
 * Records why a standing (long-running) task that may run has not been at work for a while. A run counts as not at work
 * from its stop order on, and that of a silent worker from the last answer on; this leader does not know of earlier
 * times. Decides nothing. Not thread-safe.
 */
final class TaskWaitMonitor {
    /** A check walks through the standing tasks of all active jobs, so not each pass makes one. */
    static final long CHECK_INTERVAL_MS = 500;

    /** An orderly change of the worker takes less: a stop, an append and the start. */
    static final long REPORT_AFTER_MS = 2_000;

    /** With two checks a second, at most 10 lines a second. */
    static final int MAX_LINES_PER_CHECK = 5;

    private final Collection<Job> active;
    private final Function<Job, QueuePolicy> policies;
    private final WaitDiagnosis diagnosis;
    private final TaskStateLog lines;
    private Map<JobTask, Long> waitingSinceMs = new LinkedHashMap<>();
    private final Set<JobTask> passedOver = new HashSet<>();
    private long checkedAtMs;
    private boolean checked;
    private long longestSinceMs;

    /** A step of an occurrence of a job. */
    private record StepKey(Job job, int occurrence, int step) {}

    /**
     * Constructs the monitor of a term.
     *
     * @param active jobs that the scheduler considers, updated by the scheduler
     * @param policies returns the settings of a job's queue, or null if unknown
     */
    TaskWaitMonitor(
            Collection<Job> active, Function<Job, QueuePolicy> policies, WaitDiagnosis diagnosis, DecisionLog log) {
        this.active = active;
        this.policies = policies;
        this.diagnosis = diagnosis;
        this.lines = new TaskStateLog(log, Decision.TASK_WAITING, MAX_LINES_PER_CHECK);
    }

    /**
     * Checks the standing tasks, if the last check is long enough ago; must be called at the end of a pass.
     *
     * @param placing whether the pass placed waiting tasks
     */
    void review(long nowMs, long unixMs, boolean placing) {
        if (checked && nowMs - checkedAtMs < CHECK_INTERVAL_MS) {
            return;
        }
        checked = true;
        checkedAtMs = nowMs;
        waitingSinceMs = findWaiting(nowMs, unixMs);
        longestSinceMs = waitingSinceMs.values().stream()
                .mapToLong(Long::longValue)
                .min()
                .orElse(0);
        lines.beginCheck(waitingSinceMs.keySet());
        passedOver.retainAll(waitingSinceMs.keySet());
        Map<StepKey, WaitReason> pendingReasons = new HashMap<>();
        waitingSinceMs.forEach((task, sinceMs) -> {
            if (nowMs - sinceMs >= REPORT_AFTER_MS && !lines.isRecent(task, nowMs)) {
                WaitReason reason = task.isAssigned()
                        ? diagnosis.explainAssigned(task, placing, nowMs)
                        : explainPending(task, placing, nowMs, pendingReasons);
                if (reason instanceof WaitReason.NotPlaced) {
                    passedOver.add(task);
                } else {
                    passedOver.remove(task);
                }
                record(task, reason, sinceMs, nowMs, unixMs);
            }
        });
    }

    /** Returns how long the standing task that has waited longest has not been at work, in ms; 0 if all are. */
    long longestWaitMs(long nowMs) {
        return waitingSinceMs.isEmpty() ? 0 : nowMs - longestSinceMs;
    }

    /** Tells whether the last finding on a task is that a worker accepts it; findings are repeated within 2.5 s. */
    boolean isPassedOver(JobTask task) {
        return passedOver.contains(task);
    }

    /*
     * Helpers
     */

    /** Returns the standing tasks that may run and are not at work, those that have waited longest first. */
    private Map<JobTask, Long> findWaiting(long nowMs, long unixMs) {
        Map<JobTask, Long> known = new LinkedHashMap<>();
        Map<JobTask, Long> added = new LinkedHashMap<>();
        for (Job job : active) {
            if (!job.status().isFinal()) {
                addWaiting(job, known, added, nowMs, unixMs);
            }
        }
        Map<JobTask, Long> waiting = new LinkedHashMap<>();
        for (JobTask task : waitingSinceMs.keySet()) {
            if (known.containsKey(task)) {
                waiting.put(task, known.get(task));
            }
        }
        waiting.putAll(added);
        return waiting;
    }

    private void addWaiting(Job job, Map<JobTask, Long> known, Map<JobTask, Long> added, long nowMs, long unixMs) {
        List<JobStep> steps = job.spec().steps();
        for (int step = 0; step < steps.size(); step++) {
            if (!steps.get(step).longRunning()) {
                continue;
            }
            for (int occurrence = 0;
                    occurrence < job.spec().occurrences() && job.spec().dueMs(occurrence) <= unixMs;
                    occurrence++) {
                boolean ready = job.isReady(occurrence, step);
                for (JobTask task : ready ? job.tasksOf(occurrence, step) : List.<JobTask>of()) {
                    if (!isEnded(task) && !WaitDiagnosis.isAtWork(task, nowMs)) {
                        Long sinceMs = waitingSinceMs.get(task);
                        if (sinceMs == null) {
                            added.put(task, findStart(task, nowMs));
                        } else {
                            known.put(task, sinceMs);
                        }
                    }
                }
            }
        }
    }

    private static boolean isEnded(JobTask task) {
        TaskPhase phase = task.state().phase();
        return phase == TaskPhase.DONE || phase == TaskPhase.FAILED;
    }

    /** Returns when a task stopped being at work, as far as that is known; the check comes later. */
    private static long findStart(JobTask task, long nowMs) {
        RunProgress progress = task.progress();
        if (!task.isAssigned()) {
            return nowMs;
        }
        if (!progress.isListed()) {
            return progress.orderedAtMs();
        }
        if (progress.stopOrderedAtMs() > 0) {
            return progress.stopOrderedAtMs();
        }
        return task.workerView() == null
                ? nowMs
                : Math.max(progress.startedAtMs(), task.workerView().answeredAtMs());
    }

    /** The reason is the same for all pending tasks of a step, and finding it walks through all workers. */
    private WaitReason explainPending(JobTask task, boolean placing, long nowMs, Map<StepKey, WaitReason> found) {
        StepKey step =
                new StepKey(task.job(), task.name().occurrence(), task.name().step());
        WaitReason known = found.get(step);
        if (known == null) {
            known = diagnosis.explainPending(task, policies.apply(task.job()), placing, nowMs);
            found.put(step, known);
        }
        return known;
    }

    private void record(JobTask task, WaitReason reason, long sinceMs, long nowMs, long unixMs) {
        List<Object> fields = new ArrayList<>(List.of(
                "reason",
                reason.label(),
                "waitingMs",
                nowMs - sinceMs,
                "sinceUnixMs",
                unixMs - (nowMs - sinceMs),
                "run",
                task.state().run(),
                "phase",
                task.state().phase(),
                "inputs",
                reason));
        lines.offer(task, reason.label(), nowMs, fields);
    }
}
