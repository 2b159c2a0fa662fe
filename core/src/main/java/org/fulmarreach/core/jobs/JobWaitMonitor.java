package org.fulmarreach.core.jobs;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

import org.fulmarreach.core.jobs.DecisionLog.Decision;

/**
 * Records why a job that ends by itself has had no run at work for a while, though the turn of one of its tasks has
 * come. Standing tasks are covered one by one by {@link TaskWaitMonitor}. Decides nothing. Not thread-safe.
 */
final class JobWaitMonitor {
    static final long CHECK_INTERVAL_MS = 500;

    /** Callers allow for 3 s. */
    static final long REPORT_AFTER_MS = 2_000;

    /** Finding a reason walks through all workers. With two checks a second, at most 4 lines a second. */
    static final int MAX_REASONS_PER_CHECK = 2;

    private final JobWaits waits;
    private final Function<Job, QueuePolicy> policies;
    private final WaitDiagnosis diagnosis;
    private final TaskStateLog lines;
    private final Map<Job, Long> explainedAtMs = new LinkedHashMap<>();
    private long checkedAtMs;
    private boolean checked;

    /**
     * Constructs the monitor of a term.
     *
     * @param waits since when jobs wait
     * @param policies returns the settings of a job's queue, or null if unknown
     */
    JobWaitMonitor(JobWaits waits, Function<Job, QueuePolicy> policies, WaitDiagnosis diagnosis, DecisionLog log) {
        this.waits = waits;
        this.policies = policies;
        this.diagnosis = diagnosis;
        this.lines = new TaskStateLog(log, Decision.JOB_WAITING, MAX_REASONS_PER_CHECK);
    }

    /**
     * Checks the jobs, if the last check is long enough ago; must be called at the end of a pass.
     *
     * @param placing whether the pass placed waiting tasks
     */
    void review(long nowMs, long unixMs, boolean placing) {
        if (checked && nowMs - checkedAtMs < CHECK_INTERVAL_MS) {
            return;
        }
        checked = true;
        checkedAtMs = nowMs;
        List<Job> waiting = new ArrayList<>();
        Set<JobTask> next = new HashSet<>();
        for (Job job : waits.findWaiting(REPORT_AFTER_MS, nowMs)) {
            JobTask task = JobWaits.findNextTask(job, unixMs);
            if (task != null && !task.step().longRunning()) {
                waiting.add(job);
                next.add(task);
            }
        }
        explainedAtMs.keySet().retainAll(waiting);
        lines.beginCheck(next);
        waiting.sort(Comparator.comparing((Job job) -> explainedAtMs.getOrDefault(job, Long.MIN_VALUE))
                .thenComparing(job -> -waits.waitedMs(job, nowMs)));
        for (Job job : waiting.subList(0, Math.min(MAX_REASONS_PER_CHECK, waiting.size()))) {
            explainedAtMs.put(job, nowMs);
            JobTask task = JobWaits.findNextTask(job, unixMs);
            if (!lines.isRecent(task, nowMs)) {
                record(task, explain(task, placing, nowMs), waiting.size(), nowMs, unixMs);
            }
        }
    }

    /*
     * Helpers
     */

    private WaitReason explain(JobTask task, boolean placing, long nowMs) {
        if (task.isAssigned()) {
            return task.isEndForgotten()
                    ? new WaitReason.EndForgotten(task.state().worker().guard())
                    : diagnosis.explainAssigned(task, placing, nowMs);
        }
        if (CrashTracker.awaitsVerdict(task) || task.isTriedAlone()) {
            return new WaitReason.Suspected(task.state().crashes(), CrashTracker.awaitsVerdict(task));
        }
        return diagnosis.explainPending(task, policies.apply(task.job()), placing, nowMs);
    }

    private void record(JobTask task, WaitReason reason, int waitingJobs, long nowMs, long unixMs) {
        lines.offer(
                task,
                reason.label(),
                nowMs,
                List.of(
                        "reason",
                        reason.label(),
                        "waitingMs",
                        waits.waitedMs(task.job(), nowMs),
                        "queue",
                        task.job().spec().queue(),
                        "ageMs",
                        unixMs - task.job().spec().acceptedAtMs(),
                        "run",
                        task.state().run(),
                        "phase",
                        task.state().phase(),
                        "waitingJobs",
                        waitingJobs,
                        "inputs",
                        reason));
    }
}
