package org.fulmarreach.core.jobs;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.fulmarreach.core.jobs.DecisionLog.Decision;

/**
 * Checks that each task that may run is at work or has a next step with a time limit, and records the tasks for which
 * that does not hold, which is a fault of this program. Changes nothing. Not thread-safe.
 *
 * <p>A pending task has the next pass as its next step. It has no time limit while no worker accepts it. A task whose
 * worker has forgotten the end of its run has no next step, since it may have succeeded.
 */
final class NextStepMonitor {
    /** A check walks through the tasks of all jobs that are not final. */
    static final long CHECK_INTERVAL_MS = 1_000;

    /** Guards report every 500 ms, and most steps end with a report or the response to an order that follows one. */
    static final long MARGIN_MS = 3_000;

    /** With one check a second, at most 10 lines a second. */
    static final int MAX_LINES_PER_CHECK = 10;

    /** After a longer pause of the process the reports that end a step may still wait, so all limits begin anew. */
    private static final long MAX_PAUSE_MS = 2_000;

    private final JobRegistry registry;
    private final Set<Job> active;
    private final Map<String, WorkerView> workers;
    private final CrashTracker crashes;
    private final TaskWaitMonitor waits;
    private final JobTimeLimits limits;
    private final TaskStateLog lines;
    private Map<JobTask, Step> steps = new HashMap<>();
    private final Map<WorkerView, Set<String>> listed = new HashMap<>();
    private long checkedAtMs;
    private boolean checked;

    /** What a task waits for, since when it does, and the time limit of that, in ms since then. */
    private record Step(String name, TaskState task, long sinceMs, long limitMs) {
        boolean isSame(String otherName, TaskState other) {
            return name.equals(otherName)
                    && task.run() == other.run()
                    && task.phase() == other.phase()
                    && (task.worker() == null
                            ? other.worker() == null
                            : task.worker().equals(other.worker()));
        }
    }

    /**
     * Constructs the monitor of a term.
     *
     * @param active jobs that the scheduler considers, updated by the scheduler
     * @param workers workers by guard, updated by the scheduler
     * @param waits finds the standing tasks that passes leave out; its check comes before that of this monitor
     */
    NextStepMonitor(
            JobRegistry registry,
            Set<Job> active,
            Map<String, WorkerView> workers,
            CrashTracker crashes,
            TaskWaitMonitor waits,
            JobTimeLimits limits,
            DecisionLog log) {
        this.registry = registry;
        this.active = active;
        this.workers = workers;
        this.crashes = crashes;
        this.waits = waits;
        this.limits = limits;
        this.lines = new TaskStateLog(log, Decision.TASK_OVERDUE, MAX_LINES_PER_CHECK);
    }

    /** Checks all tasks, if the last check is long enough ago; must be called at the end of a pass. */
    void review(long nowMs, long unixMs) {
        if (checked && nowMs - checkedAtMs < CHECK_INTERVAL_MS) {
            return;
        }
        if (nowMs - checkedAtMs > MAX_PAUSE_MS) {
            steps.clear();
        }
        checked = true;
        checkedAtMs = nowMs;
        listed.clear();
        Map<JobTask, Step> present = new HashMap<>();
        for (Job job : registry.jobs()) {
            if (!job.status().isFinal()) {
                findSteps(job, present, nowMs, unixMs);
            }
        }
        steps = present;
        lines.beginCheck(present.keySet());
        present.forEach((task, step) -> {
            if (nowMs - step.sinceMs() > step.limitMs() + MARGIN_MS) {
                record(task, step, nowMs);
            }
        });
    }

    /*
     * Helpers
     */

    private void findSteps(Job job, Map<JobTask, Step> present, long nowMs, long unixMs) {
        for (int occurrence = 0; occurrence < job.spec().occurrences(); occurrence++) {
            if (job.spec().dueMs(occurrence) > unixMs) {
                break;
            }
            for (int step = 0; step < job.spec().steps().size(); step++) {
                if (job.isReady(occurrence, step)) {
                    for (JobTask task : findTasks(job, occurrence, step)) {
                        Step found = findStep(task, nowMs);
                        if (found != null) {
                            Step before = steps.get(task);
                            boolean same = before != null && before.isSame(found.name(), found.task());
                            present.put(task, same ? before : found);
                        }
                    }
                }
            }
        }
    }

    /** The next step of a task that is not constructed yet is the next pass, unless no pass considers its job. */
    private List<JobTask> findTasks(Job job, int occurrence, int step) {
        return isConsidered(job) ? job.presentTasksOf(occurrence, step) : job.openTasksOf(occurrence, step);
    }

    private boolean isConsidered(Job job) {
        return active.contains(job) && job.hasWaitingTasks();
    }

    /** Returns the next step of a task that is neither at work nor considered by each pass, or else null. */
    private Step findStep(JobTask task, long nowMs) {
        return switch (task.state().phase()) {
            case PENDING -> findStepOfPending(task, nowMs);
            case ASSIGNED -> findStepOfAssigned(task, nowMs);
            case DONE, FAILED -> null;
        };
    }

    private Step findStepOfPending(JobTask task, long nowMs) {
        if (!isConsidered(task.job())) {
            return new Step("not considered by the passes", task.state(), nowMs, 0);
        }
        if (CrashTracker.awaitsVerdict(task) && !crashes.hasVerdictDue(task)) {
            return new Step("suspected, without a verdict that is due", task.state(), nowMs, 0);
        }
        if (waits.isPassedOver(task)) {
            return new Step("not placed though a worker accepts it", task.state(), nowMs, 0);
        }
        return null;
    }

    private Step findStepOfAssigned(JobTask task, long nowMs) {
        if (task.isEndForgotten()) {
            return null;
        }
        TaskState state = task.state();
        WorkerView worker = task.workerView();
        if (worker == null || !worker.assigned().contains(task) || workers.get(worker.guard()) != worker) {
            return new Step("assigned, but in no worker's tasks", state, nowMs, 0);
        }
        RunProgress progress = task.progress();
        boolean stopping = progress.stopOrderedAtMs() > 0 || progress.isStopConfirmed();
        if (stopping && task.step().longRunning() && progress.isStopConfirmed()) {
            return new Step("stop confirmed", state, nowMs, limits.stopEndMs());
        }
        if (!WaitDiagnosis.isHeard(worker, nowMs)) {
            // A former leader may have granted leases until some time after the beginning of this term.
            long grantsForMs = Math.max(0, worker.grantedAtMs() - nowMs);
            return new Step("lease of a silent worker", state, nowMs, grantsForMs + limits.leaseExpiryMs());
        }
        if (!worker.report().ref().equals(state.worker())) {
            return new Step("run of a former lifetime", state, nowMs, 0);
        }
        if (stopping) {
            return new Step("being stopped", state, nowMs, limits.stopEndMs() + JobTimeLimits.START_WITHDRAW_MS);
        }
        if (!progress.isListed()) {
            // A start is withdrawn this long after it was sent, and it is sent within the same time or not at all.
            return new Step("start not listed", state, nowMs, 2 * JobTimeLimits.START_WITHDRAW_MS);
        }
        return isListedNow(task, worker) ? null : new Step("run no longer listed", state, nowMs, 0);
    }

    private boolean isListedNow(JobTask task, WorkerView worker) {
        return listed.computeIfAbsent(worker, NextStepMonitor::namesOfRunning)
                .contains(task.name().toString());
    }

    private static Set<String> namesOfRunning(WorkerView worker) {
        Set<String> names = new HashSet<>();
        worker.report().running().forEach(running -> names.add(running.task()));
        return names;
    }

    private void record(JobTask task, Step step, long nowMs) {
        WorkerView worker = task.workerView();
        lines.offer(
                task,
                step.name(),
                nowMs,
                List.of(
                        "step",
                        step.name(),
                        "forMs",
                        nowMs - step.sinceMs(),
                        "limitMs",
                        step.limitMs(),
                        "phase",
                        task.state().phase(),
                        "run",
                        task.state().run(),
                        "longRunning",
                        task.step().longRunning(),
                        "guard",
                        worker == null ? "none" : worker.guard(),
                        "answeredAgeMs",
                        worker == null ? -1 : nowMs - worker.answeredAtMs(),
                        "orderedAgeMs",
                        nowMs - task.progress().orderedAtMs(),
                        "sent",
                        task.progress().isSent(),
                        "listed",
                        task.progress().isListed(),
                        "stopOrderedAgeMs",
                        age(task.progress().stopOrderedAtMs(), nowMs),
                        "stopConfirmedAgeMs",
                        age(task.progress().stopConfirmedAtMs(), nowMs)));
    }

    private static long age(long sinceMs, long nowMs) {
        return sinceMs == 0 ? -1 : nowMs - sinceMs;
    }
}
