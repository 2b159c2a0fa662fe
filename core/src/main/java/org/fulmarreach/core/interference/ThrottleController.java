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
 * Decides the shares of processors of the tasks beside one service: multiplicative decrease of the most harmful tasks
 * while the service is slowed down, additive increase afterwards. After each action it waits until the effect can be
 * seen. A share that did harm is not tried again for a time that doubles with each failed trial, so that the shares
 * settle below it. Pure; owned by one thread.
 */
public final class ThrottleController {
    /** Part of the excess that learned harm must explain before tasks are blamed for it at the lowest share. */
    private static final double BLAME_PART = 0.3;

    /** Works below this harm recover together; of the others, one at a time, so that their harm can be told apart. */
    private static final double SMALL_HARM = 0.15;

    private final ThrottleSettings settings;
    private final HarmModel harms = new HarmModel();
    private final Baseline baseline = new Baseline();
    private final Map<TaskId, TaskControl> controls = new LinkedHashMap<>();
    private Trial trial;
    private int goodWindows;
    private long nextDecreaseMs = Long.MIN_VALUE;
    private long nextIncreaseMs = Long.MIN_VALUE;
    private long nextEvictMs = Long.MIN_VALUE;

    /** What is known about one task. */
    private static final class TaskControl {
        private double share = 1;
        private long lowestSinceMs = Long.MAX_VALUE;
        private boolean recovering = true;
        private double goodShare;
        private double ceiling = 1;
        private long ceilingUntilMs = Long.MIN_VALUE;
        private long probeMs;
        private double priorHarm;
    }

    /**
     * An action whose effect is not yet seen.
     *
     * @param dueMs when the effect shows
     * @param latencyMs latency before the action, in milliseconds
     * @param changes change of the share by task
     */
    private record Trial(long dueMs, double latencyMs, Map<TaskId, Double> changes) {
        boolean isDecrease() {
            return changes.values().stream().allMatch(change -> change < 0);
        }
    }

    /** Constructs a controller that has seen nothing; all tasks run at share 1. */
    public ThrottleController(ThrottleSettings settings) {
        this.settings = settings;
    }

    /*
     * Public API
     */

    /**
     * Decides after a window.
     *
     * @param nowMs time on any monotonic clock, the same for all calls
     * @param stats the window
     * @param running all tasks that run; a task not seen before is at share 1
     * @return shares to set, and whether a task must be evicted
     */
    public ThrottleDecision onWindow(long nowMs, WindowStats stats, List<RunningTask> running) {
        updateTasks(running);
        baseline.observe(stats.p99Ms(), stats.calls(), isBlameless(stats.service()));
        double slowdown = currentSlowdown(stats);
        if (trial != null && (nowMs >= trial.dueMs || slowdown > settings.badSlowdown() && !trial.isDecrease())) {
            learnFromTrial(stats.service());
        }
        updatePriors(running, slowdown);
        if (slowdown > settings.badSlowdown()) {
            goodWindows = 0;
            return decrease(nowMs, stats, running, slowdown);
        }
        goodWindows = slowdown <= settings.goodSlowdown() ? goodWindows + 1 : 0;
        noteGoodShares();
        if (goodWindows < settings.goodWindows() || nowMs < nextIncreaseMs) {
            return ThrottleDecision.NONE;
        }
        return increase(nowMs, stats.service(), slowdown);
    }

    /** Returns the share of a task; 1 for unknown ones. */
    public double share(TaskId task) {
        TaskControl control = controls.get(task);
        return control == null ? 1 : control.share;
    }

    /** Returns the present latency over the baseline. */
    public double slowdown() {
        return baseline.slowdown();
    }

    /** Returns the learned harm of a work to a service; 0 while nothing is known. */
    public double harm(String service, String work) {
        return harms.harm(service, work, 0);
    }

    /*
     * Observation
     */

    private void updateTasks(List<RunningTask> running) {
        Map<TaskId, TaskControl> known = new HashMap<>(controls);
        controls.clear();
        for (RunningTask task : running) {
            TaskControl control = known.get(task.task());
            controls.put(task.task(), control == null ? new TaskControl() : control);
        }
    }

    private double currentSlowdown(WindowStats stats) {
        double bySlots = stats.calls() == 0 ? 1 : baseline.slowdown();
        double byUse = stats.cpuOverload() > 1 ? settings.badSlowdown() * stats.cpuOverload() : 1;
        return Math.max(bySlots, byUse);
    }

    /** Tasks are not the cause when there are none, or when all are at the lowest share and harmless there. */
    private boolean isBlameless(String service) {
        if (!controls.values().stream().allMatch(this::isLowest)) {
            return false;
        }
        return remainingHarm(service) < BLAME_PART * Math.max(0, baseline.slowdown() - 1) || controls.isEmpty();
    }

    private double remainingHarm(String service) {
        double sum = 0;
        for (Map.Entry<TaskId, TaskControl> entry : controls.entrySet()) {
            sum += harmOf(service, entry.getKey()) * entry.getValue().share;
        }
        return sum;
    }

    private double harmOf(String service, TaskId task) {
        return harms.harm(service, task.work(), controls.get(task).priorHarm);
    }

    /** Before anything is learned, the excess is attributed to the tasks by their share of the reported use. */
    private void updatePriors(List<RunningTask> running, double slowdown) {
        double totalUse = 0;
        for (RunningTask task : running) {
            totalUse += 1 + task.usedMilliCores();
        }
        double excess = Math.max(0, slowdown - 1);
        for (RunningTask task : running) {
            TaskControl control = controls.get(task.task());
            double prior = excess * (1 + task.usedMilliCores()) / totalUse / control.share;
            control.priorHarm = Math.max(control.priorHarm, prior);
        }
    }

    /** The baseline may move meanwhile, so the effect is the change of the latency over the present baseline. */
    private void learnFromTrial(String service) {
        Map<String, Double> changes = new HashMap<>();
        Map<String, Double> priors = new HashMap<>();
        for (Map.Entry<TaskId, Double> change : trial.changes.entrySet()) {
            TaskControl control = controls.get(change.getKey());
            if (control != null) {
                changes.merge(change.getKey().work(), change.getValue(), Double::sum);
                priors.put(change.getKey().work(), control.priorHarm);
            }
        }
        harms.observe(service, changes, priors, baseline.slowdownOf(baseline.latencyMs() - trial.latencyMs));
        trial = null;
    }

    /** A share that stayed good for as long as an effect takes to show is known to be good. */
    private void noteGoodShares() {
        if (trial == null && goodWindows >= settings.goodWindows()) {
            for (TaskControl control : controls.values()) {
                control.goodShare = Math.max(control.goodShare, control.share);
            }
        }
    }

    /*
     * Actions
     */

    private ThrottleDecision decrease(long nowMs, WindowStats stats, List<RunningTask> running, double slowdown) {
        Optional<TaskId> evict = findEviction(nowMs, stats.service(), slowdown);
        if (nowMs < nextDecreaseMs) {
            return new ThrottleDecision(Map.of(), evict);
        }
        double wanted = slowdown - settings.badSlowdown();
        double relief = 0;
        Map<TaskId, Double> shares = new LinkedHashMap<>();
        Map<TaskId, Double> changes = new LinkedHashMap<>();
        for (TaskId task : sortByRelief(stats.service())) {
            TaskControl control = controls.get(task);
            if (isLowest(control) || !shares.isEmpty() && relief >= wanted) {
                continue;
            }
            double old = control.share;
            lowerShare(control, nowMs);
            shares.put(task, control.share);
            changes.put(task, control.share - old);
            relief += harmOf(stats.service(), task) * (old - control.share);
        }
        if (!shares.isEmpty()) {
            trial = new Trial(nowMs + settings.windowMs() + settings.feedbackDelayMs(), baseline.latencyMs(), changes);
            nextDecreaseMs = nowMs + settings.windowMs() + feedbackDelayMs(stats, running);
            nextIncreaseMs = nextDecreaseMs;
        }
        return new ThrottleDecision(shares, evict);
    }

    /** Reported use lags behind; when it is the reason for throttling, its lag is part of the feedback delay. */
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
     * Only the first cut since the last recovery tells a harmful share: while the effect of a cut is not seen, further
     * cuts start from shares that may be harmless. The next trial stays midway between known good and harmful.
     */
    private void lowerShare(TaskControl control, long nowMs) {
        if (control.recovering) {
            control.recovering = false;
            double below = Math.max(settings.lowestShare(), control.share - settings.increaseStep());
            control.goodShare = Math.min(control.goodShare, below);
            control.ceiling = Math.min(below, (control.goodShare + control.share) / 2);
            control.probeMs = Math.clamp(2L * control.probeMs, settings.firstProbeMs(), settings.maxProbeMs());
        }
        control.ceilingUntilMs = nowMs + control.probeMs;
        control.share = Math.max(settings.lowestShare(), control.share * settings.decreaseFactor());
        if (isLowest(control)) {
            control.lowestSinceMs = nowMs;
        }
    }

    private ThrottleDecision increase(long nowMs, String service, double slowdown) {
        double predicted = slowdown;
        String testedWork = null;
        Map<TaskId, Double> shares = new LinkedHashMap<>();
        for (TaskId task : sortByRelief(service).reversed()) {
            TaskControl control = controls.get(task);
            double change = nextShare(control, nowMs) - control.share;
            double harm = harmOf(service, task);
            boolean isTested = harm < SMALL_HARM || testedWork == null || testedWork.equals(task.work());
            boolean isPredictedBad = predicted + harm * change > settings.badSlowdown();
            if (change <= 1e-9 || !isTested || !shares.isEmpty() && isPredictedBad) {
                continue;
            }
            predicted += harm * change;
            testedWork = harm < SMALL_HARM ? testedWork : task.work();
            shares.put(task, change);
        }
        if (shares.isEmpty()) {
            return ThrottleDecision.NONE;
        }
        trial = new Trial(
                nowMs + settings.windowMs() + settings.feedbackDelayMs(), baseline.latencyMs(), Map.copyOf(shares));
        nextIncreaseMs = trial.dueMs;
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
        control.lowestSinceMs = Long.MAX_VALUE;
        return control.share;
    }

    private Optional<TaskId> findEviction(long nowMs, String service, double slowdown) {
        if (nowMs < nextEvictMs || remainingHarm(service) < BLAME_PART * (slowdown - 1)) {
            return Optional.empty();
        }
        for (TaskId task : sortByRelief(service)) {
            TaskControl control = controls.get(task);
            if (control.lowestSinceMs <= nowMs - settings.evictAfterMs()) {
                nextEvictMs = nowMs + settings.evictAfterMs();
                return Optional.of(task);
            }
        }
        return Optional.empty();
    }

    private List<TaskId> sortByRelief(String service) {
        List<TaskId> tasks = new ArrayList<>(controls.keySet());
        tasks.sort(Comparator.comparingDouble((TaskId task) -> -harmOf(service, task) * controls.get(task).share));
        return tasks;
    }

    private boolean isLowest(TaskControl control) {
        return control.share <= settings.lowestShare() + 1e-9;
    }
}
