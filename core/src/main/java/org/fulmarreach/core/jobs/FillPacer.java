package org.fulmarreach.core.jobs;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.fulmarreach.core.jobs.DecisionLog.Decision;

/**
 * Slows filling tasks down while a serving task on the same worker is near its target latency. The share falls by half
 * at a time and rises in small steps, so that it settles below the share that does harm. Not thread-safe.
 */
final class FillPacer {
    /** Share of the target at which filling tasks are slowed; leaves room for the lag of the measurement. */
    private static final double SLOW_AT = 0.8;

    /** Share of the target below which they are released again. */
    private static final double RELEASE_BELOW = 0.5;

    private static final int FULL_PERCENT = 100;
    private static final int MIN_PERCENT = 10;
    private static final int RELEASE_STEP_PERCENT = 20;

    /** The tail figure covers the last half second, so a change shows only after that. */
    private static final long INTERVAL_MS = 600;

    private final Decisions decisions;
    private final DecisionLog log;
    private final Map<String, Integer> percents = new HashMap<>();
    private final Map<String, Long> changedAtMs = new HashMap<>();

    FillPacer(Decisions decisions, DecisionLog log) {
        this.decisions = decisions;
        this.log = log;
    }

    void review(WorkerView worker, long nowMs) {
        if (!worker.report().reachable()) {
            return;
        }
        List<JobTask> filling = new ArrayList<>();
        double worst = 0;
        for (JobTask task : worker.assigned()) {
            if (task.step().fillsIdleCapacity() && task.progress().isSeen()) {
                filling.add(task);
            }
            if (task.step().isServing()) {
                worst = Math.max(
                        worst, (double) task.progress().usage() / task.step().targetLatencyMs());
            }
        }
        int percent = percents.getOrDefault(worker.guard(), FULL_PERCENT);
        int wanted = choosePercent(worker, worst, percent, nowMs);
        if (wanted != percent) {
            percents.put(worker.guard(), wanted);
            changedAtMs.put(worker.guard(), nowMs);
        }
        for (JobTask task : filling) {
            if (task.pacePercent() != wanted) {
                task.setPacePercent(wanted);
                decisions.now(new JobOrder.Pace(
                        task.state().worker(), task.name(), task.state().run(), wanted));
                log.decided(
                        Decision.PACE_CHANGED,
                        task.name().toString(),
                        "run",
                        task.state().run(),
                        "percent",
                        wanted,
                        "worstShareOfTarget",
                        worst);
            }
        }
    }

    private int choosePercent(WorkerView worker, double worst, int percent, long nowMs) {
        if (worker.servingTasks() == 0) {
            return FULL_PERCENT;
        }
        if (nowMs - changedAtMs.getOrDefault(worker.guard(), nowMs - INTERVAL_MS) < INTERVAL_MS) {
            return percent;
        }
        if (worst >= 1) {
            return 0;
        }
        if (worst > SLOW_AT) {
            return percent <= MIN_PERCENT ? 0 : percent / 2;
        }
        return worst < RELEASE_BELOW ? Math.min(FULL_PERCENT, percent + RELEASE_STEP_PERCENT) : percent;
    }
}
