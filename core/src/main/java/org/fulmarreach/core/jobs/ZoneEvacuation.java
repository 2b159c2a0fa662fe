package org.fulmarreach.core.jobs;

import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;

import org.fulmarreach.core.jobs.DecisionLog.Decision;

/**
 * Applies the operators' evacuations of availability zones. No new work goes to the workers of an evacuated zone; its
 * standing tasks are moved out a few at a time, and only as others have room for them; all other runs may end there.
 * The workers of a zone that is taken back are filled gradually, since they may be slow at first. Not thread-safe.
 */
final class ZoneEvacuation {
    /** A leader that knows few workers yet would crowd the tasks onto them. */
    static final long QUIET_MS = 4_000;

    /** The free capacity of a worker in a zone that was taken back is used up over this time. */
    static final long FILL_MS = 5_000;

    /** Interval between the searches for tasks to move; a move takes several times as long. */
    private static final long MOVE_INTERVAL_MS = 250;

    /** A move that is not over by then does not hold up others any longer. */
    private static final long MAX_MOVE_MS = 10_000;

    /** Part of the workers outside, as a divisor, that may be the target of a move at the same time. */
    private static final int WORKERS_PER_MOVE = 8;

    /** Part of the tasks of a step without a limit, as a divisor, that may be unavailable when one of them is moved. */
    private static final int TASKS_PER_MOVE = 10;

    private final Collection<WorkerView> workers;
    private final Placement placement;
    private final RunMover mover;
    private final UnavailabilityBudget budget;
    private final Function<Job, QueuePolicy> policies;
    private final DecisionLog log;
    private final long startedAtMs;
    private final Map<JobTask, Move> moves = new LinkedHashMap<>();
    private final Set<String> occupied = new TreeSet<>();
    private EvacuatedZones zones = EvacuatedZones.NONE;
    private long searchedAtMs;

    /** A move that has begun; {@code target} has room for it, and no other task is moved there meanwhile. */
    private record Move(int run, WorkerView target, long sinceMs) {}

    /**
     * Constructs the evacuation of a term without evacuated zones.
     *
     * @param workers view of all workers that the leader knows
     * @param policies returns the settings of a job's queue, or null if they are not known
     * @param startedAtMs when the term began
     */
    ZoneEvacuation(
            Collection<WorkerView> workers,
            Placement placement,
            RunMover mover,
            UnavailabilityBudget budget,
            Function<Job, QueuePolicy> policies,
            DecisionLog log,
            long startedAtMs) {
        this.workers = workers;
        this.placement = placement;
        this.mover = mover;
        this.budget = budget;
        this.policies = policies;
        this.log = log;
        this.startedAtMs = startedAtMs;
        this.searchedAtMs = startedAtMs;
    }

    /** Replaces the evacuated zones. */
    void replace(EvacuatedZones newZones, long nowMs) {
        EvacuatedZones before = zones;
        zones = newZones;
        workers.forEach(this::mark);
        for (String zone : newZones.sorted()) {
            if (!before.contains(zone)) {
                occupied.add(zone);
                record(Decision.ZONE_EVACUATED, zone, nowMs);
            }
        }
        for (String zone : before.sorted()) {
            if (!newZones.contains(zone)) {
                occupied.remove(zone);
                record(Decision.ZONE_REOPENED, zone, nowMs);
            }
        }
    }

    /** Marks a worker whose report was recorded, according to its zone. */
    void mark(WorkerView worker) {
        if (worker.report() != null) {
            String zone = worker.report().zone();
            worker.setEvacuated(zones.contains(zone));
            Long reopenedAtMs = zones.reopenedAtMs().get(zone);
            worker.setFilling(
                    reopenedAtMs == null ? StartAllowance.UNLIMITED : new StartAllowance(reopenedAtMs, FILL_MS));
        }
    }

    /**
     * Stops standing tasks in evacuated zones that have room elsewhere. Called only while starts can be stored and
     * sent, so that a task which is stopped is soon started again.
     */
    void moveOut(long nowMs) {
        if (zones.zones().isEmpty()) {
            return;
        }
        recordEmptied(nowMs);
        if (nowMs - startedAtMs < QUIET_MS || nowMs - searchedAtMs < MOVE_INTERVAL_MS) {
            return;
        }
        searchedAtMs = nowMs;
        moves.entrySet().removeIf(move -> isOver(move.getKey(), move.getValue(), nowMs));
        int maxMoves = Math.max(1, countOutside(nowMs) / WORKERS_PER_MOVE);
        Set<JobStep> withoutRoom = new HashSet<>();
        for (WorkerView worker : workers) {
            if (worker.isEvacuated() && WaitDiagnosis.isHeard(worker, nowMs)) {
                for (JobTask task : List.copyOf(worker.assigned())) {
                    if (moves.size() >= maxMoves) {
                        return;
                    }
                    if (isMovable(task, nowMs) && !withoutRoom.contains(task.step())) {
                        WorkerView target = findTarget(task, nowMs);
                        if (target == null) {
                            withoutRoom.add(task.step());
                        } else {
                            moves.put(task, new Move(task.state().run(), target, nowMs));
                            mover.stop(task, "zone " + worker.report().zone() + " is evacuated", nowMs);
                        }
                    }
                }
            }
        }
    }

    /** Records a change of a zone with the workers that are known there and what runs on them. */
    private void record(Decision decision, String zone, long nowMs) {
        int known = 0;
        int running = 0;
        for (WorkerView worker : workers) {
            if (isIn(worker, zone)) {
                known++;
                running += worker.assigned().size();
            }
        }
        log.record(
                decision,
                zone,
                "workers",
                known,
                "tasks",
                running,
                "standingTasks",
                countStanding(zone),
                "termAgeMs",
                nowMs - startedAtMs);
    }

    private void recordEmptied(long nowMs) {
        if (nowMs - startedAtMs < QUIET_MS) {
            return;
        }
        for (String zone : List.copyOf(occupied)) {
            if (countStanding(zone) == 0) {
                occupied.remove(zone);
                record(Decision.ZONE_EMPTIED, zone, nowMs);
            }
        }
    }

    private int countStanding(String zone) {
        int count = 0;
        for (WorkerView worker : workers) {
            if (isIn(worker, zone)) {
                for (JobTask task : worker.assigned()) {
                    count += task.step().longRunning() ? 1 : 0;
                }
            }
        }
        return count;
    }

    private static boolean isIn(WorkerView worker, String zone) {
        return worker.report() != null && worker.report().zone().equals(zone);
    }

    /**
     * Tells whether a task may be stopped now; a member of a gang would stop all others with it. A task that starts up
     * stays, although the budget grants its stop: by the time the order arrives it may be at work.
     */
    private boolean isMovable(JobTask task, long nowMs) {
        JobStep step = task.step();
        if (!step.longRunning() || step.gang() || task.job().status().isFinal() || !budget.isAtWork(task, nowMs)) {
            return false;
        }
        if (step.maxUnavailable() == 0) {
            return budget.countOthersUnavailable(task, nowMs) < Math.max(1, step.taskCount() / TASKS_PER_MOVE);
        }
        return budget.mayStop(task, nowMs);
    }

    private WorkerView findTarget(JobTask task, long nowMs) {
        QueuePolicy policy = policies.apply(task.job());
        if (policy == null || policy.service() == null) {
            return null;
        }
        Set<WorkerView> targets = new HashSet<>();
        moves.values().forEach(move -> targets.add(move.target()));
        for (WorkerView worker : workers) {
            if (!worker.isEvacuated()
                    && !targets.contains(worker)
                    && worker.report() != null
                    && placement.findObstacle(task, policy.service(), worker, workers, nowMs) == null) {
                return worker;
            }
        }
        return null;
    }

    private boolean isOver(JobTask task, Move move, long nowMs) {
        boolean moved = task.state().run() > move.run() && budget.isAtWork(task, nowMs);
        return moved || task.job().status().isFinal() || nowMs - move.sinceMs() > MAX_MOVE_MS;
    }

    private int countOutside(long nowMs) {
        int count = 0;
        for (WorkerView worker : workers) {
            count += !worker.isEvacuated() && WaitDiagnosis.isHeard(worker, nowMs) ? 1 : 0;
        }
        return count;
    }
}
