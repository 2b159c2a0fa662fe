package org.fulmarreach.core.jobs;

import java.util.Map;
import java.util.Set;

/**
 * Predicts how best-effort tasks and serving tasks get on with each other on a worker: the processors that are left for
 * the former, and the interference that the latter see. Not thread-safe.
 */
final class Colocation {
    /**
     * Maximum overcommitment of idle processors by best-effort tasks, which use less than they request and are partly
     * throttled. Well beyond this factor all of them would slow down so much that waiting costs less.
     */
    private static final double MAX_IDLE_OVERCOMMIT = 1.3;

    /** Share of its reserved processors that a serving task uses most of the time; the rest is idle. */
    private static final double SERVING_UTILIZATION = 0.45;

    /** Maximum predicted tail ratio of a serving task beside best-effort tasks at full CPU share. */
    private static final double MAX_TAIL_RATIO = 0.8;

    /** Load margin: a serving task's load varies by half, and one of several on a worker is usually near its peak. */
    private static final double LOAD_MARGIN = 0.2;

    /** Tail ratio of a serving task above which only best-effort tasks with negligible interference may be added. */
    private static final double BUSY_TAIL_RATIO = 0.8;

    /** Pressure of one best-effort task that is negligible: less than the measurement error. */
    private static final double NEGLIGIBLE_PRESSURE = 0.04;

    private final InterferenceModel model;
    private long comparedPairs;

    Colocation(InterferenceModel model) {
        this.model = model;
    }

    /** Returns the total number of pairs of images whose interference was predicted so far. */
    long comparedPairs() {
        return comparedPairs;
    }

    /**
     * Tells whether the processors that are idle most of the time suffice for one more best-effort task. Half of the
     * task may exceed the limit. If the whole task had to fit, what one task frees would suffice only for one of its
     * size or a smaller one, and larger tasks would starve behind a stream of those.
     */
    static boolean hasIdleCapacity(JobStep step, WorkerView worker) {
        double filled = worker.bestEffortMilliCores() + step.demand().milliCores() / 2.0;
        return worker.bestEffortMilliCores() == 0 || filled <= MAX_IDLE_OVERCOMMIT * idleMilliCores(worker);
    }

    /** Returns the millicores by which best-effort tasks fall short of the maximum overcommitment; may be negative. */
    static double spareMilliCores(WorkerView worker) {
        return MAX_IDLE_OVERCOMMIT * idleMilliCores(worker) - worker.bestEffortMilliCores();
    }

    /** Returns the millicores that are idle most of the time: unreserved, or reserved but unused by serving tasks. */
    static double idleMilliCores(WorkerView worker) {
        double busy = worker.reserved().milliCores() - (1 - SERVING_UTILIZATION) * worker.servingMilliCores();
        return Math.max(1, worker.report().capacity().milliCores() - busy);
    }

    /**
     * Predicts by how much the pressure on the serving tasks of a worker would exceed the limit if a best-effort task
     * were added and all best-effort tasks ran at full CPU share; negative while there is headroom.
     */
    double predictExcess(JobStep bestEffort, WorkerView worker) {
        double worst = -1;
        for (Map.Entry<String, Set<JobTask>> entry : worker.servingByImage().entrySet()) {
            String image = entry.getKey();
            JobTask serving = entry.getValue().iterator().next();
            int targetMs = serving.step().targetLatencyMs();
            double added =
                    predictedPressure(bestEffort.image(), bestEffort.demand().milliCores(), image, worker);
            double pressure = model.ownPressure(image) + LOAD_MARGIN + added;
            comparedPairs += worker.bestEffortByImage().size() + 1;
            for (Map.Entry<String, Integer> other : worker.bestEffortByImage().entrySet()) {
                pressure += predictedPressure(other.getKey(), other.getValue(), image, worker);
            }
            worst = Math.max(worst, pressure - model.pressureAt(image, MAX_TAIL_RATIO, targetMs));
            if (added > NEGLIGIBLE_PRESSURE
                    && worker.pressure(image) > model.pressureAt(image, BUSY_TAIL_RATIO, targetMs)) {
                return added;
            }
        }
        return worst;
    }

    /**
     * Predicts by how much the pressure on the serving tasks of a worker exceeds the limit while the best-effort tasks
     * that it has run at full CPU share; negative while there is headroom.
     */
    double predictPresentExcess(WorkerView worker) {
        double worst = -1;
        for (Map.Entry<String, Set<JobTask>> entry : worker.servingByImage().entrySet()) {
            String image = entry.getKey();
            int targetMs = entry.getValue().iterator().next().step().targetLatencyMs();
            double pressure = model.ownPressure(image) + LOAD_MARGIN;
            for (Map.Entry<String, Integer> other : worker.bestEffortByImage().entrySet()) {
                pressure += predictedPressure(other.getKey(), other.getValue(), image, worker);
            }
            worst = Math.max(worst, pressure - model.pressureAt(image, MAX_TAIL_RATIO, targetMs));
        }
        return worst;
    }

    /** Returns the predicted pressure of best-effort tasks of one image at full CPU share on a serving image. */
    private double predictedPressure(String bestEffort, int milliCores, String serving, WorkerView worker) {
        return model.factor(bestEffort, serving) * worker.share(milliCores);
    }
}
