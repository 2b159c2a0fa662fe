package org.fulmarreach.core.jobs;

import java.util.Collection;
import java.util.EnumMap;
import java.util.Map;

import org.fulmarreach.core.model.Resources;

/** Finds out why a task that may run is not at work. Decides nothing. Not thread-safe. */
final class WaitDiagnosis {
    private final Collection<WorkerView> workers;
    private final Placement placement;
    private final JobTimeLimits limits;

    WaitDiagnosis(Collection<WorkerView> workers, Placement placement, JobTimeLimits limits) {
        this.workers = workers;
        this.placement = placement;
        this.limits = limits;
    }

    /** Tells whether the current run of a task is listed by a worker that answers, and is not being stopped. */
    static boolean isAtWork(JobTask task, long nowMs) {
        RunProgress progress = task.progress();
        return task.isAssigned()
                && progress.isListed()
                && progress.stopOrderedAtMs() == 0
                && !progress.isStopConfirmed()
                && task.workerView() != null
                && isHeard(task.workerView(), nowMs);
    }

    /** Tells whether a worker answers its guard and the guard this leader, as far as known. */
    static boolean isHeard(WorkerView worker, long nowMs) {
        return worker.report() != null && worker.report().reachable() && !worker.isSilent(false, nowMs);
    }

    /** Returns why an assigned task is not at work; must be called only for such a task. */
    WaitReason explainAssigned(JobTask task, boolean placing, long nowMs) {
        WorkerView worker = task.workerView();
        RunProgress progress = task.progress();
        if (worker == null) {
            return new WaitReason.NoWorkerView(task.state().worker().guard());
        }
        String guard = worker.guard();
        if (progress.isStopConfirmed()) {
            return new WaitReason.BeingStopped(
                    guard, age(progress.stopOrderedAtMs(), nowMs), age(progress.stopConfirmedAtMs(), nowMs));
        }
        if (progress.mayHaveStarted() && !isHeard(worker, nowMs)) {
            return new WaitReason.LeaseNotOver(
                    guard,
                    age(worker.answeredAtMs(), nowMs),
                    worker.grantedAtMs() + limits.leaseExpiryMs() - nowMs,
                    worker.report() != null && !worker.isSilent(false, nowMs));
        }
        if (progress.stopOrderedAtMs() > 0) {
            return new WaitReason.BeingStopped(guard, age(progress.stopOrderedAtMs(), nowMs), -1);
        }
        if (progress.isSent()) {
            return new WaitReason.StartNotListed(guard, age(progress.orderedAtMs(), nowMs), progress.repeated());
        }
        return placing
                ? new WaitReason.StartNotStored(guard, age(progress.orderedAtMs(), nowMs))
                : new WaitReason.StartsHeld();
    }

    /**
     * Returns why a pending task is not placed; the same for all pending tasks of a step of an occurrence.
     *
     * @param policy settings of its queue, or null if unknown
     */
    WaitReason explainPending(JobTask task, QueuePolicy policy, boolean placing, long nowMs) {
        if (policy == null) {
            return new WaitReason.QueueUnknown(task.job().spec().queue());
        }
        if (!placing) {
            return new WaitReason.StartsHeld();
        }
        Map<Obstacle, Integer> counts = new EnumMap<>(Obstacle.class);
        for (WorkerView worker : workers) {
            if (worker.report() != null && worker.report().service().equals(policy.service())) {
                Obstacle obstacle = placement.findObstacle(task, policy.service(), worker, workers, nowMs);
                if (obstacle == null) {
                    return task.step().gang()
                            ? new WaitReason.GangIncomplete(task.step().taskCount())
                            : new WaitReason.NotPlaced(worker.guard());
                }
                counts.merge(obstacle, 1, Integer::sum);
            }
        }
        int known = counts.values().stream().mapToInt(Integer::intValue).sum();
        int available = known - count(counts, Obstacle.UNAVAILABLE);
        if (available == 0) {
            return explainUnavailable(policy.service(), known, nowMs);
        }
        if (count(counts, Obstacle.HEADROOM) > 0) {
            return placement.explainHeadroom(task, policy.service(), count(counts, Obstacle.HEADROOM), workers, nowMs);
        }
        if (count(counts, Obstacle.INTERFERENCE) > 0) {
            return new WaitReason.Interference(
                    count(counts, Obstacle.INTERFERENCE), task.job().hasAssignedTasks());
        }
        if (count(counts, Obstacle.STARTS_UNDER_WAY) > 0) {
            return new WaitReason.StartsUnderWay(count(counts, Obstacle.STARTS_UNDER_WAY), available);
        }
        if (count(counts, Obstacle.TASKS_PER_WORKER) > 0) {
            return new WaitReason.AntiAffinity(
                    task.step().maxPerWorker(), count(counts, Obstacle.TASKS_PER_WORKER), available);
        }
        int labelled = available - count(counts, Obstacle.LABEL);
        if (labelled == 0) {
            return new WaitReason.NoLabel(task.step().requiredLabel(), available);
        }
        return explainNoRoom(task, policy.service(), counts, labelled, nowMs);
    }

    /*
     * Helpers
     */

    private WaitReason explainUnavailable(String service, int known, long nowMs) {
        int silent = 0;
        int draining = 0;
        int evacuated = 0;
        for (WorkerView worker : workers) {
            if (worker.report() != null && worker.report().service().equals(service)) {
                if (worker.report().draining() && isHeard(worker, nowMs)) {
                    draining++;
                } else if (worker.isEvacuated() && isHeard(worker, nowMs)) {
                    evacuated++;
                } else {
                    silent++;
                }
            }
        }
        return new WaitReason.NoWorker(service, known, silent, draining, evacuated);
    }

    private WaitReason explainNoRoom(
            JobTask task, String service, Map<Obstacle, Integer> counts, int available, long nowMs) {
        Resources demand = task.step().reserved();
        int withoutStopping = 0;
        int withoutOthers = 0;
        WorkerView nearest = null;
        int least = Integer.MAX_VALUE;
        for (WorkerView worker : workers) {
            if (worker.report() == null
                    || placement.findObstacle(task, service, worker, workers, nowMs) != Obstacle.ROOM) {
                continue;
            }
            Resources capacity = worker.report().capacity();
            withoutStopping += worker.reserved().plus(demand).fitsInto(capacity) ? 1 : 0;
            withoutOthers += worker.reservedByLongRunning().plus(demand).fitsInto(capacity) ? 1 : 0;
            int missing = worker.taken().milliCores() - capacity.milliCores();
            if (missing < least) {
                nearest = worker;
                least = missing;
            }
        }
        return new WaitReason.NoRoom(
                findTaker(counts, withoutStopping),
                available,
                count(counts, Obstacle.SUSPECTED),
                count(counts, Obstacle.TRIAL),
                withoutStopping,
                withoutOthers,
                demand,
                nearest == null ? "" : nearest.guard(),
                nearest == null ? Resources.NONE : nearest.report().capacity(),
                nearest == null ? Resources.NONE : nearest.reserved(),
                nearest == null ? Resources.NONE : nearest.taken().minus(nearest.reserved()));
    }

    private static WaitReason.Taker findTaker(Map<Obstacle, Integer> counts, int withoutStopping) {
        if (withoutStopping > 0) {
            return WaitReason.Taker.STOPPING_RUNS;
        }
        if (count(counts, Obstacle.TRIAL) > 0) {
            return WaitReason.Taker.TRIALS;
        }
        return count(counts, Obstacle.SUSPECTED) > 0
                ? WaitReason.Taker.SUSPECTED_WORKERS
                : WaitReason.Taker.ASSIGNED_TASKS;
    }

    private static int count(Map<Obstacle, Integer> counts, Obstacle obstacle) {
        return counts.getOrDefault(obstacle, 0);
    }

    private static long age(long sinceMs, long nowMs) {
        return sinceMs == 0 ? -1 : nowMs - sinceMs;
    }
}
