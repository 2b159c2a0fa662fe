package org.fulmarreach.core.jobs;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

import org.fulmarreach.core.jobs.DecisionLog.Decision;

/**
 * Assigns the pending tasks of jobs to workers, in the order in which the scheduler passes the jobs. Not thread-safe.
 */
final class TaskPlacer {
    private final Collection<WorkerView> workers;
    private final Placement placement;
    private final CrashTracker crashes;
    private final DecisionBuffer decisions;
    private final DecisionLog log;

    /**
     * Constructs a placer.
     *
     * @param workers view of all workers that the leader knows
     * @param placement chooses the worker of a task
     * @param crashes places the tasks that are tried alone
     */
    TaskPlacer(
            Collection<WorkerView> workers,
            Placement placement,
            CrashTracker crashes,
            DecisionBuffer decisions,
            DecisionLog log) {
        this.workers = workers;
        this.placement = placement;
        this.crashes = crashes;
        this.decisions = decisions;
        this.log = log;
    }

    /**
     * Places the pending tasks of all steps of a job that are due and whose predecessors are done.
     *
     * @param policy settings of the job's queue; null if they are not known, and then nothing is placed
     * @param configVersion version of the active configuration, for the log
     */
    void placeReadySteps(Job job, QueuePolicy policy, long configVersion, long nowMs, long unixMs) {
        if (policy == null || policy.service() == null) {
            return;
        }
        for (int occurrence = 0; occurrence < job.spec().occurrences(); occurrence++) {
            if (job.spec().dueMs(occurrence) > unixMs) {
                break;
            }
            for (int step = 0; step < job.spec().steps().size(); step++) {
                if (job.isReady(occurrence, step)) {
                    placeStep(job, occurrence, step, policy.service(), configVersion, nowMs);
                }
            }
        }
    }

    /** Places the tasks that are tried alone on the workers reserved for them. */
    void placeTrials(long configVersion, long nowMs) {
        crashes.placeWaiting(
                workers,
                nowMs,
                (task, worker) -> assign(task, worker, task.state().run() + 1, configVersion, nowMs));
    }

    private void placeStep(Job job, int occurrence, int step, String service, long configVersion, long nowMs) {
        List<JobTask> tasks = job.tasksOf(occurrence, step);
        if (job.spec().steps().get(step).gang()) {
            placeGang(tasks, service, configVersion, nowMs);
            return;
        }
        boolean untouchedFirst = placesUntouchedFirst(tasks.get(0), nowMs);
        StepFill fill = new StepFill(service, configVersion, nowMs);
        int from = job.indexOf(occurrence, step);
        for (int round = 0; round < (untouchedFirst ? 2 : 1); round++) {
            for (int index = 0; index < tasks.size(); index++) {
                TaskState state = job.stateAt(from + index);
                boolean inTurn = !untouchedFirst || repeatsWork(state) == (round == 1);
                // A task that is not constructed yet is left so while there is no room for it.
                if (state.phase() == TaskPhase.PENDING && inTurn && (!fill.full || hasOwnTurn(job, step, state))) {
                    fill.place(tasks.get(index));
                }
            }
        }
    }

    /** Tells whether a task is considered though there is no room for others of its step. */
    private static boolean hasOwnTurn(Job job, int step, TaskState state) {
        return job.spec().steps().get(step).longRunning() || state.crashes() > 0;
    }

    /**
     * Tells whether tasks that have not run, or can go on from a checkpoint, are placed before the others of their
     * step. A job that has waited for long gets one run at a time, and the end of a run that was lost may be known to
     * callers as done, so another run of that task is no progress to them.
     */
    private boolean placesUntouchedFirst(JobTask first, long nowMs) {
        return !first.step().longRunning() && first.job().hasBegun() && placement.hasWaitedLong(first, nowMs);
    }

    private static boolean repeatsWork(TaskState state) {
        return state.run() > 0 && state.checkpoint().isEmpty();
    }

    /** Placement of the pending tasks of a step in one pass. */
    private final class StepFill {
        private final String service;
        private final long configVersion;
        private final long nowMs;
        private boolean full;
        private boolean fullForNew;

        StepFill(String service, long configVersion, long nowMs) {
            this.service = service;
            this.configVersion = configVersion;
            this.nowMs = nowMs;
        }

        void place(JobTask task) {
            if (task.isTriedAlone()) {
                if (!CrashTracker.awaitsVerdict(task)) {
                    crashes.addWaiting(task, service);
                }
                return;
            }
            if (full || fullForNew && isNewStanding(task)) {
                placement.recordWaiting(task, nowMs);
                return;
            }
            WorkerView worker = placement.findWorker(task, service, workers, nowMs);
            if (worker == null) {
                // Tasks of a step have the same requirements, so only those with a worker of their own remain. A
                // standing task that has lost its run may use the headroom, so it is tried by itself.
                fullForNew = true;
                full = !isNewStanding(task);
            } else {
                assign(task, worker, task.state().run() + 1, configVersion, nowMs);
            }
        }
    }

    private static boolean isNewStanding(JobTask task) {
        return task.step().longRunning() && task.state().run() == 0;
    }

    /**
     * Places all members of a gang or none. They get the same run and the same checkpoint, and both are stored for each
     * member before a start is sent, so a start that is repeated carries them too.
     */
    private void placeGang(List<JobTask> tasks, String service, long configVersion, long nowMs) {
        List<WorkerView> chosen = new ArrayList<>();
        int run = 0;
        for (JobTask task : tasks) {
            if (task.state().phase() != TaskPhase.PENDING || CrashTracker.awaitsVerdict(task)) {
                break;
            }
            WorkerView worker = placement.findWorker(task, service, workers, nowMs);
            if (worker == null) {
                break;
            }
            worker.add(task);
            chosen.add(worker);
            run = Math.max(run, task.state().run());
        }
        for (int i = 0; i < chosen.size(); i++) {
            chosen.get(i).remove(tasks.get(i));
        }
        if (chosen.size() < tasks.size()) {
            placement.onCapacityFreed();
        } else {
            String checkpoint = JobTask.newestCheckpoint(tasks);
            for (int i = 0; i < tasks.size(); i++) {
                tasks.get(i).resumeFrom(checkpoint);
                assign(tasks.get(i), chosen.get(i), run + 1, configVersion, nowMs);
            }
        }
    }

    private void assign(JobTask task, WorkerView worker, int run, long configVersion, long nowMs) {
        task.assign(worker.report().ref(), worker.rack(), run, nowMs);
        if (placement.isPlacedNearTargets(task)) {
            task.startThrottled(ThrottlePlan.MIN_PERCENT);
        }
        worker.add(task);
        decisions.markChanged(task.job());
        decisions.addStart(task);
        log.record(
                Decision.RUN_ASSIGNED,
                task.name().toString(),
                "run",
                run,
                "worker",
                worker.report().ref().id(),
                "guard",
                worker.guard(),
                "look",
                worker.report().pollNumber(),
                "fillMilliCores",
                worker.bestEffortMilliCores(),
                "reservedMilliCores",
                worker.reserved().milliCores(),
                "checkpoint",
                task.state().checkpoint(),
                "config",
                configVersion);
    }
}
