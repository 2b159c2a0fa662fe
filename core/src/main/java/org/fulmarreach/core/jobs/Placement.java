package org.fulmarreach.core.jobs;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.fulmarreach.core.model.Resources;

/**
 * Chooses the worker for a task. Workers are first filtered by hard constraints: label, capacity and limit per worker,
 * and for a best-effort task idle processors and the predicted interference with serving tasks. The lowest score among
 * the remaining workers wins. Not thread-safe.
 */
final class Placement {
    /** A job or standing task without a run for this long is placed where it interferes; callers allow for 3 s. */
    private static final long MAX_WITHOUT_RUN_MS = 1_500;

    /** Time after which a start is withdrawn, and in which a refused one is known to be. */
    private static final long MAX_START_MS = JobTimeLimits.START_WITHDRAW_MS + JobTimeLimits.STOP_RETRY_MS;

    /** Outweighs any predicted excess, so that workers without best-effort tasks come first. */
    private static final double OVERCOMMIT_PENALTY = 100;

    /** Outweighs any overcommitment, which slows down only best-effort tasks. */
    private static final double NEAR_TARGET_PENALTY = 300;

    /** Outweighs any overcommitment, so that a worker whose runs fail comes last. */
    private static final double SUSPECTED_PENALTY = 1_000;

    /** Outweighs a suspicion: the task to be tried may crash the worker, while a failed start costs half a second. */
    private static final double RESERVED_PENALTY = 2_000;

    /** Tail ratio up to which serving tasks tolerate an interfering task until it is throttled. */
    private static final double LOW_TAIL_RATIO = 0.5;

    /** Tail ratio up to which the pacer does not throttle, and raises CPU shares. */
    private static final double FAIR_TAIL_RATIO = 0.8;

    /** Number of suspected workers from which on the jobs are a likelier cause of the failures. */
    private static final int MIN_SUSPECTED_WORKERS = 2;

    private final Colocation colocation;
    private final Headroom headroom;
    private final JobWaits jobWaits;
    private final Map<JobTask, Wait> waits = new HashMap<>();
    private final Map<TaskClass, List<Resources>> unplaceable = new HashMap<>();
    private final Set<WorkerView> heldWorkers = new HashSet<>();
    private final Map<String, WorkerView> heldForBestEffort = new HashMap<>();
    private final Map<String, Boolean> mostlyFree = new HashMap<>();
    private final Map<String, Boolean> allSuspected = new HashMap<>();
    private JobTask placedNearTargets;
    private long candidates;
    private long passAtMs;

    /** Time since when a standing task has found no worker by the usual rules, and when that was last so. */
    private record Wait(long sinceMs, long lastMs) {}

    /** Class of tasks that differ only in the resources they request, as far as placement is concerned. */
    private record TaskClass(String service, boolean longRunning, boolean confined, boolean bestEffort, String image) {}

    /** Constructs a placement that avoids the interference that the model predicts and keeps no headroom. */
    Placement(InterferenceModel model) {
        this(model, new Headroom(job -> null), new JobWaits());
    }

    /**
     * Constructs a placement that also keeps standing tasks out of the headroom of short jobs.
     *
     * @param jobWaits for how long jobs have had no run, reviewed by the scheduler
     */
    Placement(InterferenceModel model, Headroom headroom, JobWaits jobWaits) {
        this.colocation = new Colocation(model);
        this.headroom = headroom;
        this.jobWaits = jobWaits;
    }

    /** Begins a pass over the waiting tasks; {@link #onCapacityFreed} must be called if it frees capacity. */
    void beginPass(long nowMs) {
        passAtMs = nowMs;
        waits.values().removeIf(wait -> nowMs - wait.lastMs() > MAX_START_MS);
        unplaceable.clear();
        heldWorkers.clear();
        heldForBestEffort.clear();
        mostlyFree.clear();
        allSuspected.clear();
    }

    /** Must be called when tentative assignments are undone during a pass, which frees their capacity again. */
    void onCapacityFreed() {
        unplaceable.clear();
        headroom.onReservationChanged();
    }

    /** Returns the total number of workers considered for tasks in all passes so far. */
    long candidates() {
        return candidates;
    }

    Headroom headroom() {
        return headroom;
    }

    /** Returns the total number of pairs of images whose interference was predicted in all passes so far. */
    long comparedPairs() {
        return colocation.comparedPairs();
    }

    /**
     * Returns the best worker for a task of {@code service}, or null if there is none now. To prevent starvation, a
     * best-effort task that would interfere on every worker, or for which all idle processors are taken, is placed
     * nevertheless once its job has had no run for a while; a standing one once it has had none itself. The pacer
     * throttles it there if necessary. A task also gets a suspected or reserved worker then; one that does not stand
     * only in a service that is mostly free, since callers expect its job to have a run only there.
     */
    WorkerView findWorker(JobTask task, String service, Collection<WorkerView> workers, long nowMs) {
        headroom.observe(task, service, () -> hasRoomTwice(task, service, workers, nowMs), nowMs);
        Headroom.Limit limit = findLimit(task, service, workers, nowMs);
        WorkerView best = findWorkerWithoutInterference(task, service, workers, limit, nowMs);
        placedNearTargets = null;
        if (best != null) {
            waits.remove(task);
        }
        if (best == null && hasWaitedLong(task, nowMs)) {
            if (task.step().bestEffort()) {
                best = findWorkerDespiteInterference(task, service, workers, nowMs);
            } else if (isStanding(task) || isMostlyFree(service, workers, nowMs)) {
                best = findWorkerDespiteDoubts(task, service, workers, limit, nowMs);
            }
            placedNearTargets = best != null && task.step().bestEffort() && !isWellBelowTargets(best) ? task : null;
        }
        if (best != null && task.step().longRunning()) {
            headroom.onReservationChanged();
        }
        return best;
    }

    /** Tells whether the last worker found is for this best-effort task and has serving tasks near their targets. */
    boolean isPlacedNearTargets(JobTask task) {
        return placedNearTargets == task;
    }

    private Headroom.Limit findLimit(JobTask task, String service, Collection<WorkerView> workers, long nowMs) {
        return headroom.findLimit(task, service, workers, () -> hasRoomTwice(task, service, workers, nowMs), nowMs);
    }

    /**
     * Tells whether the free room of a service suffices for a task twice over, whoever else may use it. Callers count
     * the room of suspected workers too, which the task gets once it has waited for long.
     */
    private boolean hasRoomTwice(JobTask task, String service, Collection<WorkerView> workers, long nowMs) {
        boolean found = false;
        Resources twice = task.step().reserved().plus(task.step().reserved());
        for (WorkerView worker : workers) {
            if (isOpenToWaiting(task, service, worker, workers, nowMs) && hasReservableCapacity(task, worker)) {
                if (found || worker.taken().plus(twice).fitsInto(worker.report().capacity())) {
                    return true;
                }
                found = true;
            }
        }
        return false;
    }

    /** Returns the number of standing tasks that found no worker by the usual rules a short time ago. */
    int waitingTasks() {
        return waits.size();
    }

    /** Records that a pending task was not tried in this pass, since another one of its step has found no worker. */
    void recordWaiting(JobTask task, long nowMs) {
        if (isStanding(task)) {
            recordWait(task, nowMs);
        }
    }

    /** Returns since when a standing task has waited. A start that is refused does not begin its wait again. */
    private long recordWait(JobTask task, long nowMs) {
        Wait before = waits.get(task);
        boolean goesOn = before != null && nowMs - before.lastMs() <= MAX_START_MS;
        long sinceMs = goesOn ? before.sinceMs() : nowMs;
        waits.put(task, new Wait(sinceMs, nowMs));
        return sinceMs;
    }

    /** Tells whether a standing task without a worker, or else its whole job, has had no run for a while. */
    boolean hasWaitedLong(JobTask task, long nowMs) {
        long waitedMs =
                isStanding(task) ? nowMs - recordWait(task, nowMs) : jobWaits.waitedWithoutStartMs(task.job(), nowMs);
        return waitedMs >= MAX_WITHOUT_RUN_MS;
    }

    /** Tells whether a task is promised a run by itself, whatever other tasks of its job do. */
    private static boolean isStanding(JobTask task) {
        return task.step().longRunning() && !task.step().gang();
    }

    /**
     * Returns the worker for a best-effort task that no worker accepts without interference or overcommitment: one
     * whose serving tasks are well below their targets and that has no other best-effort tasks. If there is none, and
     * less than half of the service's processors are reserved, the worker may have others, or serving tasks up to the
     * tail ratio that the pacer aims for, beside which the task starts throttled: callers expect every job to have a
     * run then. In a fuller service the job waits, since slowing down all best-effort tasks would cost more; a standing
     * task does not wait for a worker whose idle processors suffice for it beside the others.
     */
    private WorkerView findWorkerDespiteInterference(
            JobTask task, String service, Collection<WorkerView> workers, long nowMs) {
        WorkerView best = null;
        double least = Double.MAX_VALUE;
        for (WorkerView worker : workers) {
            boolean free = worker.bestEffortMilliCores() == 0;
            if (isOpenToWaiting(task, service, worker, workers, nowMs)
                    && hasReservableCapacityForWaiting(task, worker)
                    && worker.mayOrderStart(task)
                    && (free || hasRoomBesideOthers(task, worker) || isMostlyFree(service, workers, nowMs))
                    && (tailRatio(worker) <= LOW_TAIL_RATIO
                            || tailRatio(worker) <= FAIR_TAIL_RATIO && isMostlyFree(service, workers, nowMs))) {
                double excess = colocation.predictExcess(task.step(), worker);
                excess += tailRatio(worker) <= LOW_TAIL_RATIO ? 0 : NEAR_TARGET_PENALTY;
                if (!free) {
                    excess += OVERCOMMIT_PENALTY + worker.bestEffortMilliCores() / Colocation.idleMilliCores(worker);
                }
                excess += doubts(task, worker, nowMs);
                if (excess < least) {
                    best = worker;
                    least = excess;
                }
            }
        }
        return best;
    }

    /**
     * Tells whether a worker may get new work. A suspected one may if all available workers of the service are
     * suspected: the cause is then more likely in the jobs that failed, and the others must not wait for it. A single
     * available worker is as likely to be the cause, and would use up the attempts of all jobs.
     */
    boolean isUsable(WorkerView worker, String service, Collection<WorkerView> workers, long nowMs) {
        if (!worker.isAvailable(service, nowMs)) {
            return false;
        }
        return !worker.isSuspected(nowMs)
                || allSuspected.computeIfAbsent(service, unused -> areAllSuspected(service, workers, nowMs));
    }

    private static boolean areAllSuspected(String service, Collection<WorkerView> workers, long nowMs) {
        int suspected = 0;
        for (WorkerView worker : workers) {
            if (worker.isAvailable(service, nowMs)) {
                if (!worker.isSuspected(nowMs)) {
                    return false;
                }
                suspected++;
            }
        }
        return suspected >= MIN_SUSPECTED_WORKERS;
    }

    /** Returns the best worker for a task that no worker without faults or a trial has capacity for. */
    private WorkerView findWorkerDespiteDoubts(
            JobTask task, String service, Collection<WorkerView> workers, Headroom.Limit limit, long nowMs) {
        WorkerView best = null;
        double bestScore = Double.MAX_VALUE;
        for (WorkerView worker : workers) {
            if (isOpenToWaiting(task, service, worker, workers, nowMs)
                    && hasReservableCapacityForWaiting(task, worker)
                    && worker.mayOrderStart(task)
                    && (limit == null || limit.admits(worker))) {
                double score = WorkerScore.of(task, worker, 0) + doubts(task, worker, nowMs);
                if (score < bestScore) {
                    best = worker;
                    bestScore = score;
                }
            }
        }
        return best;
    }

    /**
     * Tells whether a worker may get a task that has waited for long. It may go to a suspected worker, since the jobs
     * whose runs failed there may be the cause: a standing task has no limit of attempts, and any other one risks its
     * first attempt. It may also go to one that is reserved for a trial which has not begun, since the runs there may
     * leave no room for the trial for long.
     */
    private boolean isOpenToWaiting(
            JobTask task, String service, WorkerView worker, Collection<WorkerView> workers, long nowMs) {
        boolean despiteDoubts =
                isStanding(task) || task.state().failures() == 0 && isMostlyFree(service, workers, nowMs);
        return despiteDoubts
                ? worker.isAvailable(service, nowMs) && !hasTrial(worker)
                : isOpen(worker, service, workers, nowMs);
    }

    private static boolean hasRoomBesideOthers(JobTask task, WorkerView worker) {
        return isStanding(task) && Colocation.hasIdleCapacity(task.step(), worker);
    }

    private static boolean hasTrial(WorkerView worker) {
        return worker.isReservedForTrial() && worker.assigned().stream().anyMatch(JobTask::isTriedAlone);
    }

    /** Returns what is added to the score of a worker that a task gets only because it has waited for long. */
    private static double doubts(JobTask task, WorkerView worker, long nowMs) {
        boolean avoided = worker.report().ref().equals(task.avoided());
        double faults = avoided || worker.isSuspected(nowMs) ? SUSPECTED_PENALTY + worker.faultsInRow() : 0;
        return faults + (worker.isReservedForTrial() ? RESERVED_PENALTY : 0);
    }

    /**
     * Tells whether less than half of the processors of the available workers of a service is reserved, of suspected
     * ones too: callers count their room. Memory does not count: most of it is held by the best-effort tasks that the
     * waiting job is to run beside.
     */
    private boolean isMostlyFree(String service, Collection<WorkerView> workers, long nowMs) {
        return mostlyFree.computeIfAbsent(service, unused -> {
            long reserved = 0;
            long capacity = 0;
            for (WorkerView worker : workers) {
                if (worker.isAvailable(service, nowMs)) {
                    reserved += worker.reserved().milliCores();
                    capacity += worker.report().capacity().milliCores();
                }
            }
            return 2 * reserved < capacity;
        });
    }

    /** Tells whether the tail latencies of all serving tasks of a worker are well below their targets. */
    private boolean isWellBelowTargets(WorkerView worker) {
        return tailRatio(worker) <= LOW_TAIL_RATIO;
    }

    private static double tailRatio(WorkerView worker) {
        double worst = 0;
        for (JobTask serving : worker.assigned()) {
            worst = Math.max(worst, serving.tailRatio());
        }
        return worst;
    }

    private WorkerView findWorkerWithoutInterference(
            JobTask task, String service, Collection<WorkerView> workers, Headroom.Limit limit, long nowMs) {
        JobStep step = task.step();
        boolean bestEffort = step.bestEffort();
        TaskClass taskClass = taskClass(step, service, limit != null);
        if (isKnownUnplaceable(step, taskClass)) {
            return null;
        }
        WorkerView best = null;
        double bestScore = Double.MAX_VALUE;
        boolean startsUnderWay = false;
        candidates += workers.size();
        for (WorkerView worker : workers) {
            if (!isOpen(worker, service, workers, nowMs)
                    || !hasCapacity(task, worker)
                    || limit != null && !limit.admits(worker)) {
                continue;
            }
            if (!worker.mayOrderStart(task)) {
                startsUnderWay = true;
                continue;
            }
            // The prediction iterates over all pairs of images on the worker, so cheap conditions are checked first.
            double excess = bestEffort ? colocation.predictExcess(step, worker) : 0;
            if (excess > 0) {
                continue;
            }
            double score = WorkerScore.of(task, worker, excess);
            if (score < bestScore) {
                best = worker;
                bestScore = score;
            }
        }
        if (best == null && !startsUnderWay) {
            recordUnplaceable(step, taskClass);
            if (!bestEffort) {
                headroom.recordShortage(service, nowMs);
            }
            if (step.longRunning() && !bestEffort && !step.gang()) {
                // Even if one task of a gang fits, the whole gang may never fit, so no worker is held for it.
                holdWorker(task, service, workers, limit, nowMs);
            }
            if (bestEffort && !step.gang() && !heldForBestEffort.containsKey(service)) {
                holdIdleProcessors(task, service, workers, nowMs);
            }
        }
        return best;
    }

    /**
     * Holds the worker with the smallest shortage for a long-running task: for the rest of the pass it accepts only
     * long-running tasks. Otherwise smaller tasks of lower rank take all capacity that is freed, and the task starves.
     */
    private void holdWorker(
            JobTask task, String service, Collection<WorkerView> workers, Headroom.Limit limit, long nowMs) {
        WorkerView nearest = null;
        int least = Integer.MAX_VALUE;
        for (WorkerView worker : workers) {
            if (isOpen(worker, service, workers, nowMs)
                    && fits(task, worker, worker.reservedByLongRunning())
                    && (limit == null || limit.admits(worker))) {
                int missing = worker.reserved().milliCores()
                        - worker.report().capacity().milliCores();
                if (missing < least) {
                    nearest = worker;
                    least = missing;
                }
            }
        }
        if (nearest != null) {
            heldWorkers.add(nearest);
        }
    }

    /**
     * Holds the worker with the most idle processors for the first best-effort task that finds too few of them: for the
     * rest of the pass it accepts no other one by the usual rules. Otherwise smaller tasks of lower rank take all that
     * is freed, and a large task starves.
     */
    private void holdIdleProcessors(JobTask task, String service, Collection<WorkerView> workers, long nowMs) {
        WorkerView nearest = null;
        double most = Double.NEGATIVE_INFINITY;
        for (WorkerView worker : workers) {
            if (isOpen(worker, service, workers, nowMs)
                    && hasReservableCapacity(task, worker)
                    && Colocation.spareMilliCores(worker) > most
                    && colocation.predictExcess(task.step(), worker) <= 0) {
                nearest = worker;
                most = Colocation.spareMilliCores(worker);
            }
        }
        if (nearest != null) {
            heldForBestEffort.put(service, nearest);
        }
    }

    /** Tells whether a task of the same class with the same or smaller demand could not be placed in this pass. */
    private boolean isKnownUnplaceable(JobStep step, TaskClass taskClass) {
        for (Resources demand : unplaceable.getOrDefault(taskClass, List.of())) {
            if (demand.fitsInto(step.demand())) {
                return true;
            }
        }
        return false;
    }

    /** Records the demand of a task that could not be placed, unless a constraint of its step may be the cause. */
    private void recordUnplaceable(JobStep step, TaskClass taskClass) {
        if (step.requiredLabel().isEmpty() && step.maxPerWorker() == 0) {
            List<Resources> demands = unplaceable.computeIfAbsent(taskClass, unused -> new ArrayList<>());
            demands.removeIf(step.demand()::fitsInto);
            demands.add(step.demand());
        }
    }

    private static TaskClass taskClass(JobStep step, String service, boolean confined) {
        // The image matters only for best-effort tasks, since only their placement depends on interference.
        boolean bestEffort = step.bestEffort();
        return new TaskClass(service, step.longRunning(), confined, bestEffort, bestEffort ? step.image() : "");
    }

    private boolean isOpen(WorkerView worker, String service, Collection<WorkerView> workers, long nowMs) {
        return isUsable(worker, service, workers, nowMs) && !worker.isReservedForTrial();
    }

    /**
     * Tells whether a worker that is reserved for a task can run it now. A best-effort task whose job has had no run
     * for a while may interfere and overcommit there, as it may on any other worker of a service that is mostly free.
     */
    boolean canHost(JobTask task, String service, WorkerView worker, Collection<WorkerView> workers, long nowMs) {
        JobStep step = task.step();
        if (!isUsable(worker, service, workers, nowMs) || !hasReservableCapacity(task, worker)) {
            return false;
        }
        boolean tolerated = !step.bestEffort()
                || colocation.predictExcess(step, worker) <= 0
                || worker.bestEffortMilliCores() == 0 && isWellBelowTargets(worker);
        return tolerated && hasCapacity(task, worker)
                || step.bestEffort()
                        && hasWaitedLong(task, nowMs)
                        && isWellBelowTargets(worker)
                        && isMostlyFree(service, workers, nowMs);
    }

    /** Tells whether a worker can run a task once the runs on it that do not last have ended. */
    boolean canEverHost(JobTask task, String service, WorkerView worker, Collection<WorkerView> workers, long nowMs) {
        JobStep step = task.step();
        return isUsable(worker, service, workers, nowMs)
                && fits(task, worker, worker.reservedByLongRunning())
                && (!step.bestEffort() || colocation.predictExcess(step, worker) <= 0 || isWellBelowTargets(worker));
    }

    /** Returns the first constraint by which a worker does not accept a task now, or null if it accepts it. */
    Obstacle findObstacle(JobTask task, String service, WorkerView worker, Collection<WorkerView> workers, long nowMs) {
        JobStep step = task.step();
        if (!worker.isAvailable(service, nowMs)) {
            return Obstacle.UNAVAILABLE;
        }
        if (!step.requiredLabel().isEmpty() && !worker.report().labels().contains(step.requiredLabel())) {
            return Obstacle.LABEL;
        }
        if (!isUsable(worker, service, workers, nowMs)) {
            return Obstacle.SUSPECTED;
        }
        if (worker.isReservedForTrial()) {
            return Obstacle.TRIAL;
        }
        if (!worker.taken().plus(step.reserved()).fitsInto(worker.report().capacity())
                || !worker.mayFillWith(step, passAtMs)) {
            return Obstacle.ROOM;
        }
        if (!worker.mayOrderStart(task)) {
            return Obstacle.STARTS_UNDER_WAY;
        }
        if (!fits(task, worker, worker.taken())) {
            return Obstacle.TASKS_PER_WORKER;
        }
        Headroom.Limit limit = findLimit(task, service, workers, nowMs);
        if (limit != null && !limit.admits(worker)) {
            return Obstacle.HEADROOM;
        }
        boolean accepted =
                hasCapacity(task, worker) && (!step.bestEffort() || colocation.predictExcess(step, worker) <= 0);
        return accepted ? null : Obstacle.INTERFERENCE;
    }

    /** Returns the inputs by which a standing task is kept out of the headroom on workers with room for it. */
    WaitReason explainHeadroom(JobTask task, String service, int withRoom, Collection<WorkerView> workers, long nowMs) {
        Headroom.Limit limit = findLimit(task, service, workers, nowMs);
        return limit == null
                ? new WaitReason.Headroom(withRoom, 0, 0)
                : new WaitReason.Headroom(withRoom, limit.heldMilliCores(), limit.capacityMilliCores());
    }

    private boolean hasCapacity(JobTask task, WorkerView worker) {
        JobStep step = task.step();
        return hasReservableCapacity(task, worker)
                && (!step.bestEffort()
                        || Colocation.hasIdleCapacity(step, worker) && !heldForBestEffort.containsValue(worker));
    }

    private boolean hasReservableCapacity(JobTask task, WorkerView worker) {
        return fits(task, worker, worker.taken()) && !isHeldFrom(task, worker);
    }

    /** Tells whether a worker has the room to reserve for a task that has waited for long. */
    private boolean hasReservableCapacityForWaiting(JobTask task, WorkerView worker) {
        return hasRoom(task, worker, worker.taken())
                && worker.mayFillWithWaiting(task.step(), MAX_WITHOUT_RUN_MS, passAtMs)
                && !isHeldFrom(task, worker);
    }

    private boolean isHeldFrom(JobTask task, WorkerView worker) {
        return !task.step().longRunning() && heldWorkers.contains(worker);
    }

    /** Tells whether a task fits on a worker whose reserved resources are {@code taken}, and may be started there. */
    private boolean fits(JobTask task, WorkerView worker, Resources taken) {
        return hasRoom(task, worker, taken) && worker.mayFillWith(task.step(), passAtMs);
    }

    private boolean hasRoom(JobTask task, WorkerView worker, Resources taken) {
        JobStep step = task.step();
        if (!taken.plus(step.reserved()).fitsInto(worker.report().capacity())) {
            return false;
        }
        if (!step.requiredLabel().isEmpty() && !worker.report().labels().contains(step.requiredLabel())) {
            return false;
        }
        return step.maxPerWorker() == 0 || worker.countTasksOfStep(task) < step.maxPerWorker();
    }
}
