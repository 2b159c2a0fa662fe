package org.fulmarreach.core.jobs;

import java.util.List;

import org.fulmarreach.core.jobs.DecisionLog.Decision;

/**
 * Stops runs so that their tasks can be placed on other workers: when the worker is draining or the run has
 * stalled. Not thread-safe.
 */
final class RunMover {
    private static final int COMPLETE_PERCENT = 100;

    /** Number of stalls in a row, of different tasks, after which a worker gets no new work for a while. */
    private static final int STALLS_TO_SUSPECT = 2;

    /** Runs with less remaining time may finish on a draining worker, which keeps running for some seconds. */
    private static final long MAX_DRAIN_REMAINING_MS = 1_500;

    /** Time that a move costs; a throttled run that could end sooner waits where it is. */
    private static final long MOVE_COST_MS = 500;

    private final DecisionBuffer decisions;
    private final UnavailabilityBudget budget;
    private final DecisionLog log;

    RunMover(DecisionBuffer decisions, UnavailabilityBudget budget, DecisionLog log) {
        this.budget = budget;
        this.decisions = decisions;
        this.log = log;
    }

    void review(WorkerView worker, long nowMs) {
        WorkerReport report = worker.report();
        if (!report.reachable()) {
            return;
        }
        for (JobTask task : List.copyOf(worker.assigned())) {
            RunProgress progress = task.progress();
            if (!progress.isListed()) {
                continue;
            }
            if (progress.stopOrderedAtMs() > 0) {
                // The order may have been lost with the session of the guard, or with the guard's process.
                if (!progress.isStopConfirmed()) {
                    stop(task, "stop not confirmed", nowMs);
                }
            } else if (report.draining() && !endsBeforeShutdown(task, nowMs)) {
                stop(task, "worker is draining", nowMs);
            } else if (isStalled(task, nowMs) && isWorthMoving(task) && budget.mayStop(task, nowMs)) {
                task.avoid(report.ref());
                if (task.hasFullCpuShare()) {
                    worker.recordFault(STALLS_TO_SUSPECT, nowMs);
                }
                stop(task, "no progress for " + (nowMs - progress.advancedAtMs()) + " ms", nowMs);
            }
        }
    }

    /** Orders a run to stop; repeated calls send the order again at intervals until the run has ended. */
    void stop(JobTask task, String reason, long nowMs) {
        RunProgress progress = task.progress();
        long lastMs = progress.stopOrderedAtMs();
        if (lastMs > 0 && nowMs - lastMs < JobTimeLimits.STOP_RETRY_MS) {
            return;
        }
        if (lastMs == 0) {
            log.record(
                    Decision.RUN_MOVED,
                    task.name().toString(),
                    "run",
                    task.state().run(),
                    "worker",
                    task.state().worker().id(),
                    "percent",
                    progress.percent(),
                    "reason",
                    reason);
        }
        task.updateProgress(progress.withStopOrdered(nowMs));
        decisions.addImmediate(new JobOrder.Stop(
                task.state().worker(), task.name().toString(), task.state().run()));
    }

    /** Estimates from its progress whether a run will end before its draining worker shuts down. */
    private static boolean endsBeforeShutdown(JobTask task, long nowMs) {
        if (task.step().longRunning()) {
            return false;
        }
        RunProgress progress = task.progress();
        long elapsedMs = nowMs - progress.startedAtMs();
        long remainingMs = progress.percent() == 0
                ? task.step().estimatedMs()
                : elapsedMs * (COMPLETE_PERCENT - progress.percent()) / progress.percent();
        return remainingMs < MAX_DRAIN_REMAINING_MS;
    }

    /** Returns the time without progress after which a run is moved; longer if a throttled task would lose work. */
    private static long stallTimeoutMs(JobTask task) {
        if (task.step().longRunning()) {
            return JobTimeLimits.STARTUP_TIMEOUT_MS;
        }
        if (task.hasFullCpuShare()) {
            return JobTimeLimits.STALL_TIMEOUT_MS;
        }
        return task.progress().checkpoint().isEmpty()
                ? JobTimeLimits.THROTTLED_STALL_MS
                : JobTimeLimits.THROTTLED_CHECKPOINT_STALL_MS;
    }

    private static boolean isWorthMoving(JobTask task) {
        return task.hasFullCpuShare() || remainingMs(task) > MOVE_COST_MS;
    }

    /** Estimates the remaining run time of a task at full CPU share, in milliseconds. */
    private static long remainingMs(JobTask task) {
        long remainingPercent = COMPLETE_PERCENT - task.progress().percent();
        return task.step().estimatedMs() * remainingPercent / COMPLETE_PERCENT;
    }

    private static boolean isStalled(JobTask task, long nowMs) {
        RunProgress progress = task.progress();
        if (task.step().gang() || progress.percent() >= COMPLETE_PERCENT) {
            return false;
        }
        return nowMs - progress.advancedAtMs() > stallTimeoutMs(task);
    }
}
