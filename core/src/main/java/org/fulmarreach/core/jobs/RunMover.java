package org.fulmarreach.core.jobs;

import java.util.List;

import org.fulmarreach.core.jobs.DecisionLog.Decision;

/**
 * Stops runs so that their tasks can go on elsewhere: on a worker that leaves, that stands still, or that is far slower
 * than its peers. Not thread-safe.
 */
final class RunMover {
    private static final int COMPLETE_PERCENT = 100;

    /** Stalls in a row, on different tasks, after which a worker is left alone. */
    private static final int STALLS_TO_SUSPECT = 2;

    /** A draining worker serves on for some seconds; runs that need less than this may end there. */
    private static final long DRAIN_LEFT_MS = 1_500;

    private final Decisions decisions;
    private final DecisionLog log;

    RunMover(Decisions decisions, DecisionLog log) {
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
            if (!progress.isSeen() || progress.stopOrderedAtMs() > 0) {
                continue;
            }
            if (report.draining() && !endsSoon(task, nowMs)) {
                stop(task, "worker is draining", nowMs);
            } else if (isStalled(task, nowMs)) {
                task.avoid(report.ref());
                if (task.isAtFullPace()) {
                    worker.noteFault(STALLS_TO_SUSPECT, nowMs);
                }
                stop(task, "no progress for " + (nowMs - progress.advancedAtMs()) + " ms", nowMs);
            }
        }
    }

    /** Stops a run, again after a while if its end is not listed. */
    void stop(JobTask task, String reason, long nowMs) {
        RunProgress progress = task.progress();
        long lastMs = progress.stopOrderedAtMs();
        if (lastMs > 0 && nowMs - lastMs < JobTimes.STOP_RETRY_MS) {
            return;
        }
        if (lastMs == 0) {
            log.decided(
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
        task.observe(progress.withStopOrdered(nowMs));
        decisions.now(new JobOrder.Stop(
                task.state().worker(), task.name().toString(), task.state().run()));
    }

    /** Tells whether a run should end before a draining worker leaves, going by its progress so far. */
    private static boolean endsSoon(JobTask task, long nowMs) {
        if (task.step().longRunning()) {
            return false;
        }
        RunProgress progress = task.progress();
        long elapsedMs = nowMs - progress.startedAtMs();
        long leftMs = progress.percent() == 0
                ? task.step().estimatedMs()
                : elapsedMs * (COMPLETE_PERCENT - progress.percent()) / progress.percent();
        return leftMs < DRAIN_LEFT_MS;
    }

    /** A task that was slowed down on purpose and would lose its work by a move is left alone for longer. */
    private static long patienceMs(JobTask task) {
        if (task.step().longRunning()) {
            return JobTimes.WARM_UP_MS;
        }
        if (task.isAtFullPace()) {
            return JobTimes.STALL_MS;
        }
        return task.progress().checkpoint().isEmpty() ? JobTimes.PACED_STALL_MS : JobTimes.PACED_MOVE_MS;
    }

    private static boolean isStalled(JobTask task, long nowMs) {
        RunProgress progress = task.progress();
        if (task.step().gang() || progress.percent() >= COMPLETE_PERCENT) {
            return false;
        }
        return nowMs - progress.advancedAtMs() > patienceMs(task);
    }
}
