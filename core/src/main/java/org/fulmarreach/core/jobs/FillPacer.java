package org.fulmarreach.core.jobs;

import java.util.ArrayList;
import java.util.DoubleSummaryStatistics;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.fulmarreach.core.jobs.DecisionLog.Decision;

/**
 * Slows filling tasks down while a serving task on the same worker is near its target latency, each by its part in the
 * disturbance, and releases them when there is room again. Not thread-safe.
 */
final class FillPacer {
    /** Share of the target at which filling tasks that disturb are slowed; leaves room for the lag of the reading. */
    private static final double SLOW_AT = 0.9;

    /** Share of the target from which every filling task is slowed, however little it disturbs. */
    private static final double SLOW_ALL_AT = 1.0;

    /** Share of the target that slowing and releasing aim at. */
    private static final double AIM_AT = 0.8;

    /** Pressure of one task below which slowing it down hardly helps: less than the error of a reading. */
    private static final double SMALL_PART = 0.04;

    private static final int FULL_PERCENT = 100;

    /** Below this share a task gains more by being moved. */
    private static final int MIN_PERCENT = 30;

    /** Released tasks gain at most this at a time, since the model may be wrong. */
    private static final int MAX_RELEASE_PERCENT = 40;

    /** The tail figure covers the last half second, so a change shows only after that. */
    private static final long INTERVAL_MS = 550;

    private final InterferenceModel model;
    private final Decisions decisions;
    private final DecisionLog log;
    private final Map<String, Long> changedAtMs = new HashMap<>();

    FillPacer(InterferenceModel model, Decisions decisions, DecisionLog log) {
        this.model = model;
        this.decisions = decisions;
        this.log = log;
    }

    void review(WorkerView worker, long nowMs) {
        if (!worker.report().reachable()) {
            return;
        }
        List<JobTask> filling = new ArrayList<>();
        JobTask worst = null;
        Map<String, DoubleSummaryStatistics> pressures = new HashMap<>();
        Map<String, Double> shares = new HashMap<>();
        for (JobTask task : worker.assigned()) {
            if (task.step().fillsIdleCapacity() && task.progress().isSeen()) {
                filling.add(task);
                shares.merge(task.step().image(), worker.share(task.progress().usage()), Double::sum);
            } else if (task.tail() > 0) {
                worst = worst == null || task.tail() > worst.tail() ? task : worst;
                pressures
                        .computeIfAbsent(task.step().image(), image -> new DoubleSummaryStatistics())
                        .accept(pressure(task));
            }
        }
        Map<String, Double> means = new HashMap<>();
        Map<String, Double> highest = new HashMap<>();
        pressures.forEach((image, figures) -> {
            means.put(image, figures.getAverage());
            highest.put(image, figures.getMax());
        });
        model.learn(worker.guard(), new InterferenceModel.Look(nowMs, shares, means));
        worker.notePressures(highest);
        if (filling.isEmpty() || nowMs - changedAtMs.getOrDefault(worker.guard(), nowMs - INTERVAL_MS) < INTERVAL_MS) {
            return;
        }
        if (worst == null) {
            setPaces(worker, filling, FULL_PERCENT, 0, nowMs);
        } else if (worst.tail() > SLOW_AT) {
            slow(worker, filling, worst, nowMs);
        } else if (worst.tail() < AIM_AT) {
            release(worker, filling, worst, nowMs);
        }
    }

    /*
     * Helpers
     */

    private double pressure(JobTask serving) {
        return model.pressure(
                serving.step().image(),
                serving.progress().usage(),
                serving.step().targetLatencyMs());
    }

    private double aim(JobTask serving) {
        return model.pressureAt(serving.step().image(), AIM_AT, serving.step().targetLatencyMs());
    }

    /** Pressure of a filling task on a serving one at its present pace. */
    private double part(WorkerView worker, JobTask filling, JobTask serving) {
        return model.factor(filling.step().image(), serving.step().image())
                * worker.share(filling.step().demand().milliCores())
                * filling.pacePercent()
                / FULL_PERCENT;
    }

    private void slow(WorkerView worker, List<JobTask> filling, JobTask worst, long nowMs) {
        double smallest = worst.tail() >= SLOW_ALL_AT ? 0 : SMALL_PART;
        List<JobTask> blamed = new ArrayList<>();
        double total = 0;
        for (JobTask task : filling) {
            double part = part(worker, task, worst);
            if (part > smallest) {
                blamed.add(task);
                total += part;
            }
        }
        double excess = pressure(worst) - aim(worst);
        double scale = total <= excess ? 0 : 1 - excess / total;
        for (JobTask task : blamed) {
            int percent = (int) (task.pacePercent() * scale);
            setPace(worker, task, percent < MIN_PERCENT ? 0 : percent, worst.tail());
        }
        if (!blamed.isEmpty()) {
            changedAtMs.put(worker.guard(), nowMs);
        }
    }

    private void release(WorkerView worker, List<JobTask> filling, JobTask worst, long nowMs) {
        double room = aim(worst) - pressure(worst);
        for (JobTask task : filling) {
            if (task.pacePercent() < FULL_PERCENT) {
                double factor = model.factor(task.step().image(), worst.step().image());
                double perPercent = factor * worker.share(task.step().demand().milliCores()) / FULL_PERCENT;
                int gain = perPercent * MAX_RELEASE_PERCENT <= room ? MAX_RELEASE_PERCENT : (int) (room / perPercent);
                int percent = Math.min(FULL_PERCENT, task.pacePercent() + gain);
                room -= perPercent * (percent - task.pacePercent());
                if (percent >= MIN_PERCENT && percent != task.pacePercent()) {
                    setPace(worker, task, percent, worst.tail());
                    changedAtMs.put(worker.guard(), nowMs);
                }
            }
        }
    }

    private void setPaces(WorkerView worker, List<JobTask> filling, int percent, double tail, long nowMs) {
        for (JobTask task : filling) {
            if (task.pacePercent() != percent) {
                setPace(worker, task, percent, tail);
                changedAtMs.put(worker.guard(), nowMs);
            }
        }
    }

    private void setPace(WorkerView worker, JobTask task, int percent, double tail) {
        worker.setPace(task, percent);
        decisions.now(new JobOrder.Pace(
                task.state().worker(), task.name(), task.state().run(), percent));
        log.decided(
                Decision.PACE_CHANGED,
                task.name().toString(),
                "run",
                task.state().run(),
                "image",
                task.step().image(),
                "percent",
                percent,
                "worstShareOfTarget",
                tail);
    }
}
