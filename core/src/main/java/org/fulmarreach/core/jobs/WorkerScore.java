package org.fulmarreach.core.jobs;

/** Rates the workers that meet the constraints of a task; the lowest score wins. Stateless. */
final class WorkerScore {
    /** Weight of the predicted pressure excess relative to the load of the worker in a best-effort task's score. */
    private static final double PRESSURE_WEIGHT = 1;

    /**
     * Groups serving tasks by image, so that a best-effort image that interferes with one of them still finds workers
     * without that one. Outweighs any difference in load.
     */
    private static final double MIXED_IMAGES_PENALTY = 2;

    /** Part of the best-effort images that suit a worker's serving images and still do beside a further one. */
    private static final double SUITABLE_PART = 0.5;

    /** Packs serving tasks onto workers that already have some, so that other workers stay free of them. */
    private static final double PACKING_BONUS = 1;

    /** Tasks run longer away from the rack of their data or of their step; outweighs any difference in load. */
    private static final double REMOTE_PENALTY = 1.5;

    /** Each successive fault of a worker counts as much as this additional share of load. */
    private static final double FAULT_PENALTY = 0.5;

    /** Keeps a retry off the worker of the previous attempt while another worker has capacity. */
    private static final double AVOIDED_PENALTY = 4;

    private WorkerScore() {}

    /**
     * Rates a worker for a task; the lowest score wins.
     *
     * @param excess predicted pressure of a best-effort task beyond what the worker's serving tasks tolerate
     */
    static double of(JobTask task, WorkerView worker, double excess) {
        JobStep step = task.step();
        double capacity = Math.max(1, worker.report().capacity().milliCores());
        double bestEffortLoad = worker.bestEffortMilliCores() / capacity;
        double reservedLoad = worker.reserved().milliCores() / capacity;
        double score = reservedLoad + bestEffortLoad + worker.faultsInRow() * FAULT_PENALTY;
        if (step.bestEffort()) {
            score = worker.bestEffortMilliCores() / Colocation.idleMilliCores(worker);
            score += PRESSURE_WEIGHT * excess + worker.faultsInRow() * FAULT_PENALTY;
        } else if (step.isServing()) {
            score += mixingPenalty(step, worker);
            score -= worker.servingTasks() > 0 ? PACKING_BONUS : 0;
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

    /**
     * Returns the penalty for a further serving image on a worker. The more images it has, the fewer best-effort images
     * can run there anyway, so the next one costs less there than on a worker with a single image.
     */
    private static double mixingPenalty(JobStep serving, WorkerView worker) {
        int images = worker.servingByImage().size();
        boolean mixes = images > 0 && !worker.servingByImage().containsKey(serving.image());
        return mixes ? MIXED_IMAGES_PENALTY * (1 + Math.pow(SUITABLE_PART, images)) : 0;
    }

    private static boolean isRemoteFromStep(JobTask task, WorkerView worker) {
        for (JobTask other :
                task.job().presentTasksOf(task.name().occurrence(), task.name().step())) {
            String rack = other.lastRack();
            if (other.isAssigned() && rack != null) {
                return !rack.equals(worker.rack());
            }
        }
        return false;
    }
}
