package org.fulmarreach.core.jobs;

import java.util.Collection;

import org.fulmarreach.core.model.Resources;

/**
 * Chooses the worker for a task. Hard conditions come first: label, room, bound per worker, no filling task beside a
 * serving one. Among the workers left the lowest score wins. Stateless.
 */
final class Placement {
    /**
     * Filling tasks share what others leave. Beyond this share of the worker all of them would slow down, so that
     * waiting for an end costs less.
     */
    private static final double MAX_FILL = 1.0;

    /** Work off its data's rack, or off the rack of its step, takes longer; this outweighs any difference in load. */
    private static final double REMOTE_PENALTY = 1.5;

    /** Each fault in a row makes a worker as unattractive as one that is this much fuller. */
    private static final double FAULT_PENALTY = 0.5;

    /** Keeps a second attempt off the worker of the first one while another worker has room. */
    private static final double AVOIDED_PENALTY = 4;

    /** Serving tasks are packed, so that most workers stay free for filling tasks. */
    private static final double SERVING_BONUS = 0.4;

    private Placement() {}

    /** Returns the best worker for a task of {@code service}, or null if none can take it now. */
    static WorkerView choose(JobTask task, String service, Collection<WorkerView> workers, long nowMs) {
        WorkerView best = null;
        double bestScore = Double.MAX_VALUE;
        for (WorkerView worker : workers) {
            if (worker.isUsable(service, nowMs) && hasRoom(task, worker)) {
                double score = score(task, worker);
                if (score < bestScore) {
                    best = worker;
                    bestScore = score;
                }
            }
        }
        return best;
    }

    private static boolean hasRoom(JobTask task, WorkerView worker) {
        JobStep step = task.step();
        Resources capacity = worker.report().capacity();
        if (!worker.reserved().plus(step.reserved()).fitsInto(capacity)) {
            return false;
        }
        if (!step.requiredLabel().isEmpty() && !worker.report().labels().contains(step.requiredLabel())) {
            return false;
        }
        if (step.maxPerWorker() > 0 && worker.countOfStep(task) >= step.maxPerWorker()) {
            return false;
        }
        return !step.fillsIdleCapacity() || hasIdleProcessors(step, worker, capacity);
    }

    private static boolean hasIdleProcessors(JobStep step, WorkerView worker, Resources capacity) {
        if (worker.servingTasks() > 0) {
            return false;
        }
        double used = worker.reserved().milliCores()
                + worker.fillMilliCores()
                + step.demand().milliCores();
        return worker.fillMilliCores() == 0 || used <= MAX_FILL * capacity.milliCores();
    }

    private static double score(JobTask task, WorkerView worker) {
        JobStep step = task.step();
        double capacity = Math.max(1, worker.report().capacity().milliCores());
        double fill = worker.fillMilliCores() / capacity;
        double firm = worker.reserved().milliCores() / capacity;
        double score = firm + fill + worker.faultsInRow() * FAULT_PENALTY;
        if (step.isServing()) {
            score += fill > 0 ? 1 + fill : 0;
            score -= worker.servingTasks() > 0 ? SERVING_BONUS : 0;
        }
        if (worker.report().ref().equals(task.avoided())) {
            score += AVOIDED_PENALTY;
        }
        if (!step.dataRack().isEmpty() && !worker.rack().equals(step.dataRack())) {
            score += REMOTE_PENALTY;
        }
        if (step.rackLocal() && isRemoteFromStep(task, worker)) {
            score += REMOTE_PENALTY;
        }
        return score;
    }

    private static boolean isRemoteFromStep(JobTask task, WorkerView worker) {
        for (JobTask other :
                task.job().tasksOf(task.name().occurrence(), task.name().step())) {
            String rack = other.rack();
            if (other.isAssigned() && rack != null) {
                return !rack.equals(worker.rack());
            }
        }
        return false;
    }
}
