package org.fulmarreach.core.jobs;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

import org.fulmarreach.core.jobs.DecisionLog.Decision;

/**
 * Logs how best-effort tasks get on: for each worker that has some, the processors that they request, are allowed and
 * use, next to what the placement assumes; and what the leader has learned of interference. The volume is bounded for
 * any number of workers and images. Not thread-safe.
 */
final class ColocationMonitor {
    /** Interval between two records about one worker. */
    private static final long WORKER_INTERVAL_MS = 1_000;

    /** Interval between two records about any workers; with many of them, each is recorded less often. */
    private static final long RECORD_INTERVAL_MS = 50;

    /** Interval between two records about one serving image. */
    private static final long IMAGE_INTERVAL_MS = 10_000;

    /** Serving images, and best-effort images for each of them, that are recorded. */
    private static final int MAX_IMAGES = 16;

    private final Colocation colocation;
    private final InterferenceModel model;
    private final DecisionLog log;
    private final Map<String, Long> recordedAtMs = new HashMap<>();
    private long lastRecordMs;
    private long learnedAtMs;

    /**
     * Constructs a monitor.
     *
     * @param nowMs when the term began
     */
    ColocationMonitor(InterferenceModel model, DecisionLog log, long nowMs) {
        this.colocation = new Colocation(model);
        this.model = model;
        this.log = log;
        this.lastRecordMs = nowMs;
        this.learnedAtMs = nowMs;
    }

    /** Records, if that is due, the load of a worker whose report has been handled, and what has been learned. */
    void review(WorkerView worker, long nowMs) {
        reviewLearned(nowMs);
        if (worker.bestEffortByImage().isEmpty()
                || nowMs - lastRecordMs < RECORD_INTERVAL_MS
                || nowMs - recordedAtMs.getOrDefault(worker.guard(), nowMs - WORKER_INTERVAL_MS) < WORKER_INTERVAL_MS) {
            return;
        }
        lastRecordMs = nowMs;
        recordedAtMs.put(worker.guard(), nowMs);
        Usage usage = Usage.of(worker);
        log.record(
                Decision.BEST_EFFORT_LOAD,
                worker.guard(),
                "runs",
                usage.runs(),
                "paused",
                usage.paused(),
                "requestedMilliCores",
                usage.requestedMilliCores(),
                "allowedMilliCores",
                usage.allowedMilliCores(),
                "usedMilliCores",
                usage.usedMilliCores(),
                "idleMilliCores",
                Math.round(Colocation.idleMilliCores(worker)),
                "reservedMilliCores",
                worker.reserved().milliCores(),
                "capacityMilliCores",
                worker.report().capacity().milliCores(),
                "worstShareOfTarget",
                usage.worstTailRatio(),
                "excess",
                decimal(colocation.predictPresentExcess(worker)),
                "serving",
                counts(worker.servingByImage().entrySet().stream()
                        .collect(Collectors.toMap(
                                Map.Entry::getKey, entry -> entry.getValue().size()))),
                "bestEffort",
                counts(worker.bestEffortByImage()));
    }

    private void reviewLearned(long nowMs) {
        if (nowMs - learnedAtMs < IMAGE_INTERVAL_MS) {
            return;
        }
        learnedAtMs = nowMs;
        recordedAtMs.values().removeIf(atMs -> nowMs - atMs > IMAGE_INTERVAL_MS);
        new TreeMap<>(model.learned().servingByImage())
                .entrySet().stream()
                        .limit(MAX_IMAGES)
                        .forEach(entry -> recordLearned(entry.getKey(), entry.getValue()));
    }

    private void recordLearned(String image, LearnedInterference.Serving learned) {
        log.record(
                Decision.INTERFERENCE_LEARNED,
                image,
                "baseMs",
                decimal(learned.baseMs()),
                "load",
                decimal(learned.load()),
                "factors",
                new TreeMap<>(learned.factors())
                        .entrySet().stream()
                                .limit(MAX_IMAGES)
                                .map(entry -> entry.getKey() + ":"
                                        + decimal(entry.getValue().mean()) + "/"
                                        + decimal(Math.sqrt(entry.getValue().variance())))
                                .collect(Collectors.joining(",")));
    }

    private static String counts(Map<String, Integer> byImage) {
        return new TreeMap<>(byImage)
                .entrySet().stream()
                        .limit(MAX_IMAGES)
                        .map(entry -> entry.getKey() + ":" + entry.getValue())
                        .collect(Collectors.joining(","));
    }

    private static String decimal(double value) {
        return String.format(Locale.ROOT, "%.2f", value);
    }

    /**
     * What the best-effort tasks of a worker request, are allowed and use, and the highest tail ratio beside them.
     *
     * @param runs number of runs that the worker lists
     * @param paused how many of them have no CPU share
     * @param requestedMilliCores processors at full CPU shares
     * @param allowedMilliCores processors at the present CPU shares
     * @param usedMilliCores processors in use, as reported
     */
    private record Usage(
            int runs,
            int paused,
            long requestedMilliCores,
            long allowedMilliCores,
            long usedMilliCores,
            double worstTailRatio) {
        private static final int FULL_PERCENT = 100;

        static Usage of(WorkerView worker) {
            int runs = 0;
            int paused = 0;
            long requested = 0;
            long allowed = 0;
            long used = 0;
            double worst = 0;
            for (JobTask task : worker.assigned()) {
                worst = Math.max(worst, task.tailRatio());
                if (task.step().bestEffort() && task.progress().isListed()) {
                    long milliCores = task.step().demand().milliCores();
                    runs++;
                    paused += task.cpuSharePercent() == 0 ? 1 : 0;
                    requested += milliCores;
                    allowed += milliCores * task.cpuSharePercent() / FULL_PERCENT;
                    used += task.progress().usage();
                }
            }
            return new Usage(runs, paused, requested, allowed, used, worst);
        }
    }
}
