package org.fulmarreach.core.interference;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.fulmarreach.core.model.TaskId;

/**
 * Feedback controller of the CPU shares of the tasks that share a VM with one service: multiplicative decrease of the
 * tasks with the highest interference while the service is slowed down, additive increase afterwards. After each
 * adjustment it waits until the effect is measurable. A share that caused a slowdown is not retried for a time that
 * doubles with each failed retry (exponential backoff), so that the shares settle below it. Performs no I/O. Not
 * thread-safe: confined to one thread.
 */
public final class ThrottleController {
    /**
     * Fraction of the excess slowdown that the learned interference must explain for throttled tasks to count as its
     * cause.
     */
    private static final double MIN_EXPLAINED_FRACTION = 0.3;

    /**
     * Works below this interference recover together; others recover one at a time, so that their interference can be
     * told apart.
     */
    private static final double NEGLIGIBLE_INTERFERENCE = 0.15;

    private final ThrottleSettings settings;
    private final WorkInterferenceModel interferenceModel = new WorkInterferenceModel();
    private final Baseline baseline = new Baseline();
    private final Map<TaskId, TaskControl> controls = new LinkedHashMap<>();
    private PendingAdjustment pendingAdjustment;
    private int windowsWithoutSlowdown;
    private long nextDecreaseMs = Long.MIN_VALUE;
    private long nextIncreaseMs = Long.MIN_VALUE;
    private long nextEvictMs = Long.MIN_VALUE;

    /** Controller state of one task. */
    private static final class TaskControl {
        private double share = 1;
        private long minShareSinceMs = Long.MAX_VALUE;
        private boolean recovering = true;
        private double safeShare;
        private double ceiling = 1;
        private long ceilingUntilMs = Long.MIN_VALUE;
        private long backoffMs;
        private double priorInterference;
    }

    /**
     * A share adjustment whose effect has not been measured yet.
     *
     * @param measurableAtMs time from which the effect is measurable
     * @param latencyMs latency before the adjustment, in milliseconds
     * @param changes share change by task
     */
    private record PendingAdjustment(long measurableAtMs, double latencyMs, Map<TaskId, Double> changes) {
        boolean isDecrease() {
            return changes.values().stream().allMatch(change -> change < 0);
        }
    }

    /** Constructs a controller without observations; all tasks start at share 1. */
    public ThrottleController(ThrottleSettings settings) {
        this.settings = settings;
    }

    /*
     * Public API
     */

    /**
     * Decides about share changes and evictions at the end of a latency window.
     *
     * @param nowMs current time of a monotonic clock, the same clock for all calls
     * @param stats measurements of the window
     * @param running all running tasks; a new task starts at share 1
     * @return shares to set, and the task to evict, if any
     */
    public ThrottleDecision onWindow(long nowMs, WindowStats stats, List<RunningTask> running) {
        updateTasks(running);
        baseline.observe(stats.p99Ms(), stats.calls(), areTasksRuledOut(stats.service()));
        double slowdown = currentSlowdown(stats);
        if (pendingAdjustment != null
                && (nowMs >= pendingAdjustment.measurableAtMs
                        || slowdown > settings.throttleThreshold() && !pendingAdjustment.isDecrease())) {
            updateInterferenceModel(stats.service());
        }
        updatePriors(running, slowdown);
        if (slowdown > settings.throttleThreshold()) {
            windowsWithoutSlowdown = 0;
            return decrease(nowMs, stats, running, slowdown);
        }
        windowsWithoutSlowdown = slowdown <= settings.recoveryThreshold() ? windowsWithoutSlowdown + 1 : 0;
        updateSafeShares();
        if (windowsWithoutSlowdown < settings.windowsBeforeRecovery() || nowMs < nextIncreaseMs) {
            return ThrottleDecision.NONE;
        }
        return increase(nowMs, stats.service(), slowdown);
    }

    /** Returns the CPU share of a task; 1 for unknown tasks. */
    public double share(TaskId task) {
        TaskControl control = controls.get(task);
        return control == null ? 1 : control.share;
    }

    /** Returns the ratio of the current latency to the baseline. */
    public double slowdown() {
        return baseline.slowdown();
    }

    /** Returns the learned interference of a work with a service; 0 before the first observation. */
    public double interference(String service, String work) {
        return interferenceModel.interference(service, work, 0);
    }

    /*
     * Observation
     */

    private void updateTasks(List<RunningTask> running) {
        Map<TaskId, TaskControl> previousControls = new HashMap<>(controls);
        controls.clear();
        for (RunningTask task : running) {
            TaskControl control = previousControls.get(task.task());
            controls.put(task.task(), control == null ? new TaskControl() : control);
        }
    }

    private double currentSlowdown(WindowStats stats) {
        double latencySlowdown = stats.calls() == 0 ? 1 : baseline.slowdown();
        double cpuSlowdown = stats.cpuOverload() > 1 ? settings.throttleThreshold() * stats.cpuOverload() : 1;
        return Math.max(latencySlowdown, cpuSlowdown);
    }

    /**
     * Returns whether tasks are ruled out as the cause of the latency: there are none, or all are at the minimum share
     * and their remaining interference does not explain the slowdown.
     */
    private boolean areTasksRuledOut(String service) {
        if (!controls.values().stream().allMatch(this::isAtMinShare)) {
            return false;
        }
        return sumRemainingInterference(service) < MIN_EXPLAINED_FRACTION * Math.max(0, baseline.slowdown() - 1)
                || controls.isEmpty();
    }

    private double sumRemainingInterference(String service) {
        double sum = 0;
        for (Map.Entry<TaskId, TaskControl> entry : controls.entrySet()) {
            sum += interferenceOf(service, entry.getKey()) * entry.getValue().share;
        }
        return sum;
    }

    private double interferenceOf(String service, TaskId task) {
        return interferenceModel.interference(service, task.work(), controls.get(task).priorInterference);
    }

    /**
     * Before the interference is learned, the slowdown is attributed to the tasks in proportion to their reported CPU
     * usage.
     */
    private void updatePriors(List<RunningTask> running, double slowdown) {
        double totalUse = 0;
        for (RunningTask task : running) {
            totalUse += 1 + task.usedMilliCores();
        }
        double excess = Math.max(0, slowdown - 1);
        for (RunningTask task : running) {
            TaskControl control = controls.get(task.task());
            double prior = excess * (1 + task.usedMilliCores()) / totalUse / control.share;
            control.priorInterference = Math.max(control.priorInterference, prior);
        }
    }

    /** The baseline may have moved since the adjustment, so the latency change is divided by the current baseline. */
    private void updateInterferenceModel(String service) {
        Map<String, Double> changes = new HashMap<>();
        Map<String, Double> priors = new HashMap<>();
        for (Map.Entry<TaskId, Double> change : pendingAdjustment.changes.entrySet()) {
            TaskControl control = controls.get(change.getKey());
            if (control != null) {
                changes.merge(change.getKey().work(), change.getValue(), Double::sum);
                priors.put(change.getKey().work(), control.priorInterference);
            }
        }
        interferenceModel.observe(
                service, changes, priors, baseline.slowdownOf(baseline.latencyMs() - pendingAdjustment.latencyMs));
        pendingAdjustment = null;
    }

    /** A share without slowdown is known to be safe once the feedback delay of the last adjustment has passed. */
    private void updateSafeShares() {
        if (pendingAdjustment == null && windowsWithoutSlowdown >= settings.windowsBeforeRecovery()) {
            for (TaskControl control : controls.values()) {
                control.safeShare = Math.max(control.safeShare, control.share);
            }
        }
    }

    /*
     * Adjustments
     */

    private ThrottleDecision decrease(long nowMs, WindowStats stats, List<RunningTask> running, double slowdown) {
        Optional<TaskId> eviction = selectEviction(nowMs, stats.service(), slowdown);
        if (nowMs < nextDecreaseMs) {
            return new ThrottleDecision(Map.of(), eviction);
        }
        double requiredReduction = slowdown - settings.throttleThreshold();
        double predictedReduction = 0;
        Map<TaskId, Double> shares = new LinkedHashMap<>();
        Map<TaskId, Double> changes = new LinkedHashMap<>();
        for (TaskId task : sortByPredictedReduction(stats.service())) {
            TaskControl control = controls.get(task);
            if (isAtMinShare(control) || !shares.isEmpty() && predictedReduction >= requiredReduction) {
                continue;
            }
            double previousShare = control.share;
            lowerShare(control, nowMs);
            shares.put(task, control.share);
            changes.put(task, control.share - previousShare);
            predictedReduction += interferenceOf(stats.service(), task) * (previousShare - control.share);
        }
        if (!shares.isEmpty()) {
            pendingAdjustment = new PendingAdjustment(
                    nowMs + settings.windowMs() + settings.feedbackDelayMs(), baseline.latencyMs(), changes);
            nextDecreaseMs = nowMs + settings.windowMs() + feedbackDelayMs(stats, running);
            nextIncreaseMs = nextDecreaseMs;
        }
        return new ThrottleDecision(shares, eviction);
    }

    /** Usage is reported with a lag; if it is the reason for throttling, the feedback delay is at least that lag. */
    private long feedbackDelayMs(WindowStats stats, List<RunningTask> running) {
        long delayMs = settings.feedbackDelayMs();
        if (stats.cpuOverload() > 1) {
            for (RunningTask task : running) {
                delayMs = Math.max(delayMs, task.usageLagMs());
            }
        }
        return delayMs;
    }

    /**
     * Only the first decrease after a recovery identifies a share that causes a slowdown: until the effect of a
     * decrease is measurable, further decreases may start from safe shares. The ceiling for the next recovery is midway
     * between the known safe share and the share that caused the slowdown.
     */
    private void lowerShare(TaskControl control, long nowMs) {
        if (control.recovering) {
            control.recovering = false;
            double below = Math.max(settings.minShare(), control.share - settings.increaseStep());
            control.safeShare = Math.min(control.safeShare, below);
            control.ceiling = Math.min(below, (control.safeShare + control.share) / 2);
            control.backoffMs =
                    Math.clamp(2L * control.backoffMs, settings.initialBackoffMs(), settings.maxBackoffMs());
        }
        control.ceilingUntilMs = nowMs + control.backoffMs;
        control.share = Math.max(settings.minShare(), control.share * settings.decreaseFactor());
        if (isAtMinShare(control)) {
            control.minShareSinceMs = nowMs;
        }
    }

    private ThrottleDecision increase(long nowMs, String service, double slowdown) {
        double predicted = slowdown;
        String recoveringWork = null;
        Map<TaskId, Double> shares = new LinkedHashMap<>();
        for (TaskId task : sortByPredictedReduction(service).reversed()) {
            TaskControl control = controls.get(task);
            double change = nextShare(control, nowMs) - control.share;
            double interference = interferenceOf(service, task);
            boolean isAllowed = interference < NEGLIGIBLE_INTERFERENCE
                    || recoveringWork == null
                    || recoveringWork.equals(task.work());
            boolean isPredictedSlow = predicted + interference * change > settings.throttleThreshold();
            if (change <= 1e-9 || !isAllowed || !shares.isEmpty() && isPredictedSlow) {
                continue;
            }
            predicted += interference * change;
            recoveringWork = interference < NEGLIGIBLE_INTERFERENCE ? recoveringWork : task.work();
            shares.put(task, change);
        }
        if (shares.isEmpty()) {
            return ThrottleDecision.NONE;
        }
        pendingAdjustment = new PendingAdjustment(
                nowMs + settings.windowMs() + settings.feedbackDelayMs(), baseline.latencyMs(), Map.copyOf(shares));
        nextIncreaseMs = pendingAdjustment.measurableAtMs;
        shares.replaceAll((task, change) -> raiseShare(controls.get(task), change));
        return new ThrottleDecision(shares, Optional.empty());
    }

    private double nextShare(TaskControl control, long nowMs) {
        double limit = nowMs < control.ceilingUntilMs ? Math.max(control.ceiling, control.share) : 1;
        return Math.min(limit, control.share + settings.increaseStep());
    }

    private static double raiseShare(TaskControl control, double change) {
        control.share += change;
        control.recovering = true;
        control.minShareSinceMs = Long.MAX_VALUE;
        return control.share;
    }

    private Optional<TaskId> selectEviction(long nowMs, String service, double slowdown) {
        if (nowMs < nextEvictMs || sumRemainingInterference(service) < MIN_EXPLAINED_FRACTION * (slowdown - 1)) {
            return Optional.empty();
        }
        for (TaskId task : sortByPredictedReduction(service)) {
            TaskControl control = controls.get(task);
            if (control.minShareSinceMs <= nowMs - settings.evictAfterMs()) {
                nextEvictMs = nowMs + settings.evictAfterMs();
                return Optional.of(task);
            }
        }
        return Optional.empty();
    }

    private List<TaskId> sortByPredictedReduction(String service) {
        List<TaskId> tasks = new ArrayList<>(controls.keySet());
        tasks.sort(
                Comparator.comparingDouble((TaskId task) -> -interferenceOf(service, task) * controls.get(task).share));
        return tasks;
    }

    private boolean isAtMinShare(TaskControl control) {
        return control.share <= settings.minShare() + 1e-9;
    }
}
