package org.fulmarreach.core.jobs;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.WeakHashMap;

import org.fulmarreach.core.model.Resources;

/**
 * Chooses the worker for a task. Hard conditions come first: label, room and bound per worker, and for a filling task
 * idle processors and serving tasks that can bear it. Among the workers left the lowest score wins. Not thread-safe.
 */
final class Placement {
    /**
     * Filling tasks share what others leave; they use less than they ask for, and some are slowed down. Well beyond
     * this share of it all of them would slow down, so that waiting for an end costs less.
     */
    private static final double MAX_FILL = 1.3;

    /** Share of its reserved processors that a serving task uses at most times; the rest is idle. */
    private static final double SERVING_USE = 0.45;

    /** Share of a target latency that a serving task may be predicted to reach beside filling ones at full pace. */
    private static final double MAX_TAIL = 0.8;

    /** Load of a serving task swings by half, and of several on a worker one is mostly near its peak. */
    private static final double LOAD_SWING = 0.2;

    /** While a tail is over this share of its target, only filling tasks come that hardly disturb it. */
    private static final double BUSY_TAIL = 0.8;

    /** Pressure of one filling task that hardly disturbs: less than the error of a reading. */
    private static final double SMALL_PART = 0.04;

    /** Weight of the pressure beside a filling task against the load of its worker. */
    private static final double PRESSURE_WEIGHT = 1;

    /**
     * Serving tasks of one image are kept together: a filling image that disturbs them then still finds workers on
     * which nobody minds. This outweighs any difference in load.
     */
    private static final double MIXED_PENALTY = 2;

    /** Fills workers one after the other with serving tasks, so that some stay free of them. */
    private static final double SERVING_BONUS = 1;

    /** Work off its data's rack, or off the rack of its step, takes longer; this outweighs any difference in load. */
    private static final double REMOTE_PENALTY = 1.5;

    /** Each fault in a row makes a worker as unattractive as one that is this much fuller. */
    private static final double FAULT_PENALTY = 0.5;

    /** Keeps a second attempt off the worker of the first one while another worker has room. */
    private static final double AVOIDED_PENALTY = 4;

    /** A job with nothing at work for this long gets room even where it disturbs; callers expect work within 3 s. */
    private static final long MAX_IDLE_MS = 1_500;

    /** Share of their target below which serving tasks bear a disturbing neighbour until it is slowed down. */
    private static final double CALM_TAIL = 0.5;

    private final InterferenceModel model;
    private final Map<Job, Long> idleSinceMs = new WeakHashMap<>();
    private final Map<Kind, List<Resources>> refused = new HashMap<>();
    private final Set<WorkerView> kept = new HashSet<>();
    private long candidates;
    private long comparedPairs;

    /** Tasks between which only the amounts that they ask for decide which of them find room. */
    private record Kind(String service, boolean longRunning, boolean filling, String image) {}

    /** Constructs a placement that keeps apart what is known to disturb. */
    Placement(InterferenceModel model) {
        this.model = model;
    }

    /** Begins a pass over the waiting tasks, during which no room comes free. */
    void beginPass() {
        refused.clear();
        kept.clear();
    }

    /** Notes that room came free during the pass, since tasks were taken off again that had been put on trial. */
    void noteFreedRoom() {
        refused.clear();
    }

    /** Returns how often a worker was considered for a task, in all passes so far. */
    long candidates() {
        return candidates;
    }

    /** Returns how often the pressure of one image on another was predicted, in all passes so far. */
    long comparedPairs() {
        return comparedPairs;
    }

    /**
     * Returns the best worker for a task of {@code service}, or null if none can take it now. A filling task that would
     * disturb on every worker gets room only after its job has had nothing at work for a while, alone on a worker with
     * calm serving tasks, so that no job waits for ever; the pacer then keeps it from doing harm.
     */
    WorkerView choose(JobTask task, String service, Collection<WorkerView> workers, long nowMs) {
        WorkerView best = chooseUndisturbing(task, service, workers, nowMs);
        if (best != null || task.job().hasAssignedTasks()) {
            idleSinceMs.remove(task.job());
            return best;
        }
        long idleMs = nowMs - idleSinceMs.computeIfAbsent(task.job(), unused -> nowMs);
        if (!task.step().fillsIdleCapacity() || idleMs < MAX_IDLE_MS) {
            return null;
        }
        double least = Double.MAX_VALUE;
        for (WorkerView worker : workers) {
            boolean calm = worker.fillMilliCores() == 0 && isCalm(worker);
            if (calm && worker.isUsable(service, nowMs) && hasFirmRoom(task, worker)) {
                double excess = predictExcess(task.step(), worker);
                if (excess < least) {
                    best = worker;
                    least = excess;
                }
            }
        }
        return best;
    }

    /** Tells whether all serving tasks of a worker are well below their targets. */
    private boolean isCalm(WorkerView worker) {
        for (JobTask serving : worker.assigned()) {
            if (serving.step().isServing() && serving.tail() > CALM_TAIL) {
                return false;
            }
        }
        return true;
    }

    private WorkerView chooseUndisturbing(JobTask task, String service, Collection<WorkerView> workers, long nowMs) {
        JobStep step = task.step();
        boolean filling = step.fillsIdleCapacity();
        if (isRefused(step, service)) {
            return null;
        }
        WorkerView best = null;
        double bestScore = Double.MAX_VALUE;
        candidates += workers.size();
        for (WorkerView worker : workers) {
            if (!worker.isUsable(service, nowMs) || !hasRoom(task, worker)) {
                continue;
            }
            // The prediction goes over all pairs of tasks on the worker, so it comes after the cheap conditions.
            double excess = filling ? predictExcess(step, worker) : 0;
            if (excess > 0) {
                continue;
            }
            double score = score(task, worker, excess);
            if (score < bestScore) {
                best = worker;
                bestScore = score;
            }
        }
        if (best == null) {
            noteRefusal(step, service);
            if (step.longRunning() && !filling && !step.gang()) {
                // A gang may find room for one task and never for all, so nothing is kept for it.
                keepRoom(task, service, workers, nowMs);
            }
        }
        return best;
    }

    /**
     * Keeps the worker on which least is missing for a long-running task free of tasks that end and rank behind it, for
     * the rest of the pass. Otherwise smaller tasks take each bit of room that comes free, and the task waits for ever.
     */
    private void keepRoom(JobTask task, String service, Collection<WorkerView> workers, long nowMs) {
        WorkerView nearest = null;
        int least = Integer.MAX_VALUE;
        for (WorkerView worker : workers) {
            if (worker.isUsable(service, nowMs) && fits(task, worker, worker.reservedForGood())) {
                int missing = worker.reserved().milliCores()
                        - worker.report().capacity().milliCores();
                if (missing < least) {
                    nearest = worker;
                    least = missing;
                }
            }
        }
        if (nearest != null) {
            kept.add(nearest);
        }
    }

    /** Tells whether a task of the same kind that needs no more found no room in this pass. */
    private boolean isRefused(JobStep step, String service) {
        for (Resources demand : refused.getOrDefault(kind(step, service), List.of())) {
            if (demand.fitsInto(step.demand())) {
                return true;
            }
        }
        return false;
    }

    /** Notes a refusal, unless a condition of the step's own may be the reason, which says nothing about others. */
    private void noteRefusal(JobStep step, String service) {
        if (step.requiredLabel().isEmpty() && step.maxPerWorker() == 0) {
            List<Resources> demands = refused.computeIfAbsent(kind(step, service), kind -> new ArrayList<>());
            demands.removeIf(step.demand()::fitsInto);
            demands.add(step.demand());
        }
    }

    private static Kind kind(JobStep step, String service) {
        // The image matters only to filling tasks; the others find room wherever they fit.
        boolean filling = step.fillsIdleCapacity();
        return new Kind(service, step.longRunning(), filling, filling ? step.image() : "");
    }

    private boolean hasRoom(JobTask task, WorkerView worker) {
        JobStep step = task.step();
        return hasFirmRoom(task, worker)
                && (!step.fillsIdleCapacity()
                        || hasIdleRoom(step, worker, worker.report().capacity()));
    }

    private boolean hasFirmRoom(JobTask task, WorkerView worker) {
        return fits(task, worker, worker.reserved()) && (task.step().longRunning() || !kept.contains(worker));
    }

    /** Tells whether a task fits on a worker of whose capacity {@code taken} is taken. */
    private static boolean fits(JobTask task, WorkerView worker, Resources taken) {
        JobStep step = task.step();
        if (!taken.plus(step.reserved()).fitsInto(worker.report().capacity())) {
            return false;
        }
        if (!step.requiredLabel().isEmpty() && !worker.report().labels().contains(step.requiredLabel())) {
            return false;
        }
        return step.maxPerWorker() == 0 || worker.countOfStep(task) < step.maxPerWorker();
    }

    private static boolean hasIdleRoom(JobStep step, WorkerView worker, Resources capacity) {
        double filled = worker.fillMilliCores() + step.demand().milliCores();
        return worker.fillMilliCores() == 0 || filled <= MAX_FILL * idleMilliCores(worker, capacity);
    }

    /** Returns the processors that neither firm tasks nor, at most times, serving tasks use. */
    private static double idleMilliCores(WorkerView worker, Resources capacity) {
        double busy = worker.reserved().milliCores() - (1 - SERVING_USE) * worker.servingMilliCores();
        return Math.max(1, capacity.milliCores() - busy);
    }

    /**
     * Predicts how far the pressure on the serving tasks of a worker would go beyond what they can bear if a filling
     * task came and all worked at full pace; negative while there is room.
     */
    private double predictExcess(JobStep filling, WorkerView worker) {
        double worst = -1;
        for (Map.Entry<String, Set<JobTask>> entry : worker.servingByImage().entrySet()) {
            String image = entry.getKey();
            JobTask serving = entry.getValue().iterator().next();
            int targetMs = serving.step().targetLatencyMs();
            double part = part(filling.image(), filling.demand().milliCores(), image, worker);
            double pressure = model.ownPressure(image) + LOAD_SWING + part;
            comparedPairs += worker.fillByImage().size() + 1;
            for (Map.Entry<String, Integer> fill : worker.fillByImage().entrySet()) {
                pressure += part(fill.getKey(), fill.getValue(), image, worker);
            }
            worst = Math.max(worst, pressure - model.pressureAt(image, MAX_TAIL, targetMs));
            if (part > SMALL_PART && worker.pressure(image) > model.pressureAt(image, BUSY_TAIL, targetMs)) {
                return part;
            }
        }
        return worst;
    }

    /** Returns the pressure of filling tasks of an image at full pace on a serving image. */
    private double part(String filling, int milliCores, String serving, WorkerView worker) {
        return model.factor(filling, serving) * worker.share(milliCores);
    }

    /** Tells whether serving tasks of another image are there. */
    private static boolean isMixed(JobStep serving, WorkerView worker) {
        int images = worker.servingByImage().size();
        return images > 1 || images == 1 && !worker.servingByImage().containsKey(serving.image());
    }

    private static double score(JobTask task, WorkerView worker, double excess) {
        JobStep step = task.step();
        double capacity = Math.max(1, worker.report().capacity().milliCores());
        double fill = worker.fillMilliCores() / capacity;
        double firm = worker.reserved().milliCores() / capacity;
        double score = firm + fill + worker.faultsInRow() * FAULT_PENALTY;
        if (step.fillsIdleCapacity()) {
            score = worker.fillMilliCores()
                    / idleMilliCores(worker, worker.report().capacity());
            score += PRESSURE_WEIGHT * excess + worker.faultsInRow() * FAULT_PENALTY;
        } else if (step.isServing()) {
            score += isMixed(step, worker) ? MIXED_PENALTY : 0;
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
