package org.fulmarreach.core.jobs;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.DoubleSummaryStatistics;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.fulmarreach.core.jobs.DecisionLog.Decision;

/**
 * Throttles best-effort tasks while a serving task on the same worker is close to its target latency, first those that
 * are predicted to interfere with it, and raises their CPU shares again when there is headroom. The tail ratio of a
 * serving task is its tail latency divided by its target. Not thread-safe.
 */
final class BestEffortPacer {
    /** Tail ratio above which interfering tasks are throttled; below 1 to allow for the delay of the measurement. */
    private static final double THROTTLE_TAIL_RATIO = 0.9;

    /** Tail ratio from which every best-effort task is throttled, however little it interferes. */
    private static final double THROTTLE_ALL_TAIL_RATIO = 1.0;

    /** Tail ratio that throttling and releasing aim for. */
    private static final double GOAL_TAIL_RATIO = 0.8;

    /** Pressure of one task below which throttling it hardly helps: less than the measurement error. */
    private static final double NEGLIGIBLE_PRESSURE = 0.04;

    private static final int FULL_PERCENT = 100;

    /** Limits each increase of a task's CPU share, since the model may be wrong. */
    private static final int MAX_INCREASE_PERCENT = 40;

    /** Tail latencies are measured over the last half second, so the effect of a change shows only after that. */
    private static final long CHANGE_INTERVAL_MS = 550;

    private final InterferenceModel model;
    private final RunTimeModel times;
    private final ColocationMonitor monitor;
    private final DecisionBuffer decisions;
    private final DecisionLog log;
    private final Map<String, Long> changedAtMs = new HashMap<>();

    /** Guards of the workers on which the last review has throttled tasks. */
    private final Set<String> throttledLast = new HashSet<>();

    BestEffortPacer(
            InterferenceModel model,
            RunTimeModel times,
            ColocationMonitor monitor,
            DecisionBuffer decisions,
            DecisionLog log) {
        this.model = model;
        this.times = times;
        this.monitor = monitor;
        this.decisions = decisions;
        this.log = log;
    }

    void review(WorkerView worker, long nowMs) {
        if (!worker.report().reachable()) {
            return;
        }
        List<JobTask> bestEffort = new ArrayList<>();
        JobTask worst = null;
        Map<String, Map<String, DoubleSummaryStatistics>> pressures = new HashMap<>();
        Map<String, Double> shares = new HashMap<>();
        for (JobTask task : worker.assigned()) {
            if (task.step().bestEffort() && task.progress().isListed()) {
                bestEffort.add(task);
                shares.merge(task.step().image(), worker.share(task.progress().usage()), Double::sum);
            } else if (task.tailRatio() > 0) {
                worst = worst == null || task.tailRatio() > worst.tailRatio() ? task : worst;
                pressures
                        .computeIfAbsent(task.step().image(), image -> new HashMap<>())
                        .computeIfAbsent(task.name().jobId(), job -> new DoubleSummaryStatistics())
                        .accept(pressure(task));
            }
        }
        learn(worker, shares, pressures, nowMs);
        monitor.review(worker, nowMs);
        for (JobTask task : bestEffort) {
            if (task.takeShareThatIsDue()) {
                setCpuShare(worker, task, task.cpuSharePercent(), worst == null ? 0 : worst.tailRatio());
                changedAtMs.put(worker.guard(), nowMs);
            }
        }
        if (bestEffort.isEmpty()
                || nowMs - changedAtMs.getOrDefault(worker.guard(), nowMs - CHANGE_INTERVAL_MS) < CHANGE_INTERVAL_MS) {
            return;
        }
        if (worst == null) {
            setCpuShares(worker, bestEffort, FULL_PERCENT, 0, nowMs);
        } else if (worst.tailRatio() > THROTTLE_TAIL_RATIO) {
            throttle(worker, bestEffort, worst, nowMs);
        } else {
            throttledLast.remove(worker.guard());
            if (worst.tailRatio() < GOAL_TAIL_RATIO) {
                release(worker, bestEffort, worst, nowMs);
            }
        }
    }

    /*
     * Helpers
     */

    /** Updates the model and the pressures of a worker from measured pressures by image and job. */
    private void learn(
            WorkerView worker,
            Map<String, Double> shares,
            Map<String, Map<String, DoubleSummaryStatistics>> pressures,
            long nowMs) {
        Map<String, Map<String, Double>> means = new HashMap<>();
        Map<String, Double> highest = new HashMap<>();
        pressures.forEach((image, byJob) -> byJob.forEach((job, statistics) -> {
            means.computeIfAbsent(image, unused -> new HashMap<>()).put(job, statistics.getAverage());
            highest.merge(image, statistics.getMax(), Math::max);
        }));
        model.learn(worker.guard(), new InterferenceModel.Sample(nowMs, shares, means));
        worker.setPressures(highest);
    }

    private double pressure(JobTask serving) {
        return model.pressure(
                serving.step().image(),
                serving.progress().usage(),
                serving.step().targetLatencyMs());
    }

    private double goalPressure(JobTask serving) {
        return model.pressureAt(
                serving.step().image(), GOAL_TAIL_RATIO, serving.step().targetLatencyMs());
    }

    /** Returns the predicted pressure of a best-effort task, at its current CPU share, on a serving task. */
    private double predictedPressure(WorkerView worker, JobTask bestEffort, JobTask serving) {
        return model.factor(bestEffort.step().image(), serving.step().image())
                * worker.share(bestEffort.step().demand().milliCores())
                * bestEffort.cpuSharePercent()
                / FULL_PERCENT;
    }

    private void throttle(WorkerView worker, List<JobTask> bestEffort, JobTask worst, long nowMs) {
        double minPressure = worst.tailRatio() >= THROTTLE_ALL_TAIL_RATIO ? 0 : NEGLIGIBLE_PRESSURE;
        List<ThrottlePlan.Contributor> contributors = new ArrayList<>();
        for (JobTask task : bestEffort) {
            double predicted = predictedPressure(worker, task, worst);
            if (predicted > minPressure) {
                contributors.add(
                        new ThrottlePlan.Contributor(task, JobUrgency.remainingPermille(task.job(), times), predicted));
            }
        }
        double excess = pressure(worst) - goalPressure(worst);
        List<ThrottlePlan.Share> shares = throttledLast.add(worker.guard())
                ? ThrottlePlan.reduce(contributors, excess)
                : ThrottlePlan.reduceEvenly(contributors, excess);
        for (ThrottlePlan.Share share : shares) {
            setCpuShare(worker, share.task(), share.percent(), worst.tailRatio());
        }
        if (!contributors.isEmpty()) {
            changedAtMs.put(worker.guard(), nowMs);
        }
    }

    private void release(WorkerView worker, List<JobTask> bestEffort, JobTask worst, long nowMs) {
        double headroom = goalPressure(worst) - pressure(worst);
        List<JobTask> throttled = new ArrayList<>(bestEffort);
        throttled.removeIf(JobTask::hasFullCpuShare);
        if (throttled.size() > 1) {
            Map<JobTask, Integer> remaining = new HashMap<>();
            throttled.forEach(task -> remaining.put(task, JobUrgency.remainingPermille(task.job(), times)));
            throttled.sort(Comparator.comparing(remaining::get));
        }
        for (JobTask task : throttled) {
            double factor = model.factor(task.step().image(), worst.step().image());
            double perPercent = factor * worker.share(task.step().demand().milliCores()) / FULL_PERCENT;
            int increase = perPercent * MAX_INCREASE_PERCENT <= headroom
                    ? MAX_INCREASE_PERCENT
                    : (int) (headroom / perPercent);
            int percent = Math.min(FULL_PERCENT, task.cpuSharePercent() + increase);
            headroom -= perPercent * (percent - task.cpuSharePercent());
            if (percent >= ThrottlePlan.MIN_PERCENT && percent != task.cpuSharePercent()) {
                setCpuShare(worker, task, percent, worst.tailRatio());
                changedAtMs.put(worker.guard(), nowMs);
            }
        }
    }

    private void setCpuShares(
            WorkerView worker, List<JobTask> bestEffort, int percent, double worstTailRatio, long nowMs) {
        for (JobTask task : bestEffort) {
            if (task.cpuSharePercent() != percent) {
                setCpuShare(worker, task, percent, worstTailRatio);
                changedAtMs.put(worker.guard(), nowMs);
            }
        }
    }

    private void setCpuShare(WorkerView worker, JobTask task, int percent, double worstTailRatio) {
        worker.setCpuShare(task, percent);
        decisions.addImmediate(new JobOrder.SetCpuShare(
                task.state().worker(), task.name(), task.state().run(), percent));
        log.record(
                Decision.PACE_CHANGED,
                task.name().toString(),
                "run",
                task.state().run(),
                "image",
                task.step().image(),
                "percent",
                percent,
                "worstShareOfTarget",
                worstTailRatio);
    }
}
