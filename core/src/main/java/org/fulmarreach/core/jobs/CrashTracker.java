package org.fulmarreach.core.jobs;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

import org.fulmarreach.core.jobs.DecisionLog.Decision;

/**
 * Finds the tasks that crash the workers that start them. After a crash, all runs whose start was sent and that had not
 * shown progress yet are suspects. Suspects are tried one by one, each on a worker where nothing else starts meanwhile,
 * so that the next crash has only one suspect; a task with two such crashes is given up. Not thread-safe.
 */
final class CrashTracker {
    /** Crashes with a task as the only suspect after which it is given up; callers may rely on two at least. */
    private static final int MAX_SOLE_CRASHES = 2;

    /**
     * Crashes after which a loss of power no longer excuses a task. After the third crash only two more starts are
     * allowed, so both of these must count.
     */
    private static final int MAX_EXCUSED_CRASHES = 3;

    /** Crashes after which a task is given up whoever else was a suspect: two starts after the third are allowed. */
    private static final int MAX_CRASHES = 5;

    /** A run that a worker has listed for this long has begun its work, also if its progress is rounded to 0. */
    private static final long SETTLED_MS = 1_000;

    /**
     * The crashes of workers that lose power together are noticed within this time of each other. Shorter than a guard
     * takes to notice one, 700 ms, so that a crash does not excuse the next one of the same task.
     */
    private static final long POWER_LOSS_MS = 650;

    /** A worker is not reserved any longer for a suspect that it cannot take, as its runs go on. */
    private static final long MAX_RESERVED_MS = 3_000;

    /** Part of the pool, as a divisor, on which suspects may be tried at the same time. */
    private static final int WORKERS_PER_TRIAL = 3;

    /** Keeps a suspect off a worker that another one waits for while there is any other; outweighs all of a score. */
    private static final double RESERVED_PENALTY = 8;

    private final DecisionBuffer decisions;
    private final DecisionLog log;
    private final Placement placement;
    private final Map<JobTask, Trial> trials = new LinkedHashMap<>();
    private final Map<JobTask, Long> verdictsAtMs = new LinkedHashMap<>();
    private final Map<String, WorkerRef> lastCrashed = new HashMap<>();
    private final Deque<Crash> recent = new ArrayDeque<>();
    private final List<Suspect> waiting = new ArrayList<>();
    private final Map<Job, Integer> waitingByJob = new HashMap<>();

    /** A crash; {@code blamed} are the tasks for which it was counted as a crash with a single suspect. */
    private record Crash(WorkerView worker, String rack, long atMs, List<JobTask> blamed) {}

    /** A worker that is reserved for a suspect, or runs it. */
    private record Trial(WorkerView worker, long sinceMs) {}

    /** A task that waits for its trial; {@code position} counts the tasks of its job that wait before it. */
    private record Suspect(JobTask task, String service, int position) {}

    CrashTracker(DecisionBuffer decisions, DecisionLog log, Placement placement) {
        this.decisions = decisions;
        this.log = log;
        this.placement = placement;
    }

    /** Continues the trial of, or the verdict on, a task that a former leader suspected. */
    void adopt(JobTask task, WorkerView worker, long nowMs) {
        if (task.isAssigned() && task.isTriedAlone()) {
            reserve(task, worker, nowMs);
        }
        if (isConvicted(task)) {
            verdictsAtMs.putIfAbsent(task, nowMs + POWER_LOSS_MS);
        }
    }

    /*
     * Crashes
     */

    /**
     * Returns the lifetime of a worker that has crashed according to a report which is not recorded yet, or null. A
     * worker that is silent, or whose guard was, may have run on or lost power, and one that drained has ended as
     * announced.
     */
    WorkerRef findCrashed(WorkerView worker, WorkerReport report, long nowMs) {
        WorkerReport before = worker.report();
        WorkerRef crashed = null;
        if (report.crashed()) {
            crashed = report.ref();
        } else if (before != null
                && !before.ref().equals(report.ref())
                && !before.draining()
                && !worker.isReportOverdue(nowMs)) {
            crashed = before.ref();
        }
        return crashed == null || crashed.equals(lastCrashed.get(worker.guard())) ? null : crashed;
    }

    /**
     * Blames the suspects of a crash; must be called before the report that shows it is recorded, and before the runs
     * of the crashed lifetime are marked as lost.
     */
    void onCrash(
            WorkerRef crashed, WorkerView worker, WorkerReport report, Collection<WorkerView> workers, long nowMs) {
        lastCrashed.put(worker.guard(), crashed);
        List<JobTask> suspects = new ArrayList<>();
        for (JobTask task : worker.assigned()) {
            if (task.state().worker().equals(crashed)
                    && task.progress().mayHaveStarted()
                    && !task.progress().isWithdrawn()
                    && !hasShownProgress(task, worker.answeredAtMs())
                    && !listsProgress(report, task)) {
                suspects.add(task);
            }
        }
        Crash crash = new Crash(worker, WorkerView.rackOf(report), nowMs, new ArrayList<>());
        recent.removeIf(earlier -> nowMs - earlier.atMs() > POWER_LOSS_MS);
        recent.add(crash);
        boolean powerLost = hasLostPower(crash, workers, nowMs);
        if (powerLost) {
            excuseRecentSuspects(crash.rack());
        }
        boolean single = !suspects.isEmpty() && suspects.stream().allMatch(task -> isSameRun(task, suspects.get(0)));
        log.record(
                Decision.WORKER_CRASHED,
                crashed.id(),
                "suspects",
                suspects.size(),
                "lostRuns",
                worker.assigned().size(),
                "powerLost",
                powerLost);
        for (JobTask task : suspects) {
            if (!task.step().longRunning()) {
                blame(task, crash, single, powerLost, nowMs);
            }
        }
    }

    /**
     * Counts the end of a lifetime that only a former leader has seen; must be called before the first report of the
     * next lifetime is recorded. The worker may as well have been replaced as planned or have lost power, so the crash
     * counts with other suspects. Runs that were no suspects before may have shown progress long ago, so one of them
     * is blamed only if no other run was lost.
     */
    void onUnseenEnd(WorkerView worker, WorkerReport report, long nowMs) {
        List<JobTask> lost = new ArrayList<>();
        for (JobTask task : worker.assigned()) {
            if (!task.state().worker().equals(report.ref()) && !task.step().longRunning()) {
                lost.add(task);
            }
        }
        Crash unseen = new Crash(worker, WorkerView.rackOf(report), nowMs, new ArrayList<>());
        for (JobTask task : lost) {
            if (lost.size() == 1 || task.state().crashes() > 0) {
                blame(task, unseen, false, false, nowMs);
            }
        }
    }

    /** Tells whether a report lists progress of a task's current run; a new leader has seen no earlier one. */
    private static boolean listsProgress(WorkerReport report, JobTask task) {
        for (WorkerReport.Running running : report.running()) {
            if (running.percent() > 0
                    && running.run() == task.state().run()
                    && running.task().equals(task.name().toString())
                    && task.state().worker().equals(report.ref())) {
                return true;
            }
        }
        return false;
    }

    /** Counts a crash for a suspect, unless the crash of a former lifetime counts for the same start already. */
    private void blame(JobTask task, Crash crash, boolean single, boolean powerLost, long nowMs) {
        TaskState state = task.state();
        if (state.crashes() >= state.run()) {
            return;
        }
        int crashes = state.crashes() + 1;
        boolean counts = single && (!powerLost || crashes > MAX_EXCUSED_CRASHES);
        task.setCrashes(crashes, state.soleCrashes() + (counts ? 1 : 0));
        decisions.markChanged(task.job());
        endTrial(task);
        if (counts) {
            crash.blamed().add(task);
        }
        log.record(
                Decision.TASK_SUSPECTED,
                task.name().toString(),
                "run",
                state.run(),
                "worker",
                state.worker().id(),
                "crashes",
                crashes,
                "soleCrashes",
                task.state().soleCrashes());
        verdictsAtMs.put(task, nowMs + POWER_LOSS_MS);
    }

    /** Tells whether at least half of the workers of a rack have crashed shortly after one another. */
    private boolean hasLostPower(Crash crash, Collection<WorkerView> workers, long nowMs) {
        long crashed = recent.stream()
                .filter(other -> other.rack().equals(crash.rack()))
                .map(Crash::worker)
                .distinct()
                .count();
        long all = workers.stream()
                .filter(worker ->
                        worker.report() != null && worker.rack().equals(crash.rack()) && !worker.isReportOverdue(nowMs))
                .count();
        return crashed > 1 && 2 * crashed >= all;
    }

    private void excuseRecentSuspects(String rack) {
        for (Crash earlier : recent) {
            if (earlier.rack().equals(rack)) {
                for (JobTask task : earlier.blamed()) {
                    TaskState state = task.state();
                    if (state.soleCrashes() > 0 && state.crashes() <= MAX_EXCUSED_CRASHES) {
                        task.setCrashes(state.crashes(), state.soleCrashes() - 1);
                        decisions.markChanged(task.job());
                    }
                }
                earlier.blamed().clear();
            }
        }
    }

    /** Tells whether two suspects can be blamed together: the members of a gang run and end only as a whole. */
    private static boolean isSameRun(JobTask task, JobTask other) {
        return task == other
                || task.step().gang()
                        && task.job() == other.job()
                        && task.step() == other.step()
                        && task.name().occurrence() == other.name().occurrence();
    }

    /*
     * Progress
     */

    /** Clears the suspicion against a task whose run has shown progress or has ended by itself. */
    void acquit(JobTask task) {
        if (task.state().crashes() > 0) {
            task.setCrashes(0, 0);
            decisions.markChanged(task.job());
        }
    }

    /** Tells whether the current run has shown progress by a time; one that crashes its worker does not. */
    static boolean hasShownProgress(JobTask task, long atMs) {
        RunProgress progress = task.progress();
        return progress.isListed() && (progress.percent() > 0 || atMs - progress.startedAtMs() >= SETTLED_MS);
    }

    /** Tells whether a task must not start again, since it is given up unless its crashes prove to be a power loss. */
    static boolean awaitsVerdict(JobTask task) {
        return isConvicted(task) && task.state().phase() == TaskPhase.PENDING;
    }

    /** Tells whether a time is set at which the task is given up, unless its crashes prove to be a power loss. */
    boolean hasVerdictDue(JobTask task) {
        return verdictsAtMs.containsKey(task);
    }

    private static boolean isConvicted(JobTask task) {
        boolean enough =
                task.state().soleCrashes() >= MAX_SOLE_CRASHES || task.state().crashes() >= MAX_CRASHES;
        return enough && !task.step().longRunning();
    }

    /*
     * Verdicts and trials
     */

    /** Gives up tasks, and ends the trials that are over. */
    void review(long nowMs) {
        waiting.clear();
        waitingByJob.clear();
        verdictsAtMs.entrySet().removeIf(entry -> entry.getValue() <= nowMs && decide(entry.getKey()));
        for (Map.Entry<JobTask, Trial> trial : List.copyOf(trials.entrySet())) {
            if (isOver(trial.getKey(), trial.getValue(), nowMs)) {
                endTrial(trial.getKey());
            }
        }
    }

    /** Gives a convicted task up; returns false while a start of it is being withdrawn, which may have begun. */
    private boolean decide(JobTask task) {
        boolean open = !task.job().status().isFinal();
        if (open && isConvicted(task) && task.isAssigned()) {
            return false;
        }
        if (open && awaitsVerdict(task)) {
            TaskState state = task.state();
            log.record(
                    Decision.TASK_GIVEN_UP,
                    task.name().toString(),
                    "runs",
                    state.run(),
                    "crashes",
                    state.crashes(),
                    "soleCrashes",
                    state.soleCrashes());
            task.finish(TaskPhase.FAILED, state.failures(), "");
            decisions.markChanged(task.job());
        }
        return true;
    }

    private static boolean isOver(JobTask task, Trial trial, long nowMs) {
        WorkerView worker = trial.worker();
        if (!task.isTriedAlone() || task.job().status().isFinal()) {
            return true;
        }
        if (task.isAssigned()) {
            return !worker.assigned().contains(task);
        }
        return nowMs - trial.sinceMs() > MAX_RESERVED_MS
                || worker.report() == null
                || !worker.isAvailable(worker.report().service(), nowMs)
                || worker.report().ref().equals(task.avoided());
    }

    /** Adds a task to the suspects of this pass, which are placed after all other tasks. */
    void addWaiting(JobTask task, String service) {
        int position = waitingByJob.merge(task.job(), 1, Integer::sum);
        waiting.add(new Suspect(task, service, position));
    }

    /** Places the waiting suspects on workers where no other run is without progress, as far as trials are allowed. */
    void placeWaiting(Collection<WorkerView> workers, long nowMs, BiConsumer<JobTask, WorkerView> assign) {
        if (waiting.isEmpty()) {
            return;
        }
        // A job without a run goes first, one task at a time. Otherwise a wide job is not tried as a whole before the
        // others: only one of its tasks may be to blame.
        waiting.sort(Comparator.comparing((Suspect suspect) -> !isFirstOfWaitingJob(suspect, nowMs))
                .thenComparingInt(suspect -> suspect.task().state().crashes())
                .thenComparingInt(Suspect::position));
        long usable = workers.stream()
                .filter(worker -> worker.report() != null
                        && placement.isUsable(worker, worker.report().service(), workers, nowMs))
                .count();
        long maxTrials = Math.max(1, usable / WORKERS_PER_TRIAL);
        reserveFitting(workers, maxTrials, nowMs);
        for (Suspect suspect : waiting) {
            if (trials.size() < maxTrials && !trials.containsKey(suspect.task())) {
                WorkerView worker = findTrialWorker(suspect, workers, nowMs);
                if (worker != null) {
                    reserve(suspect.task(), worker, nowMs);
                }
            }
        }
        for (Suspect suspect : waiting) {
            JobTask task = suspect.task();
            Trial trial = trials.get(task);
            if (trial != null
                    && !hasRunWithoutProgress(trial.worker(), nowMs)
                    && placement.canHost(task, suspect.service(), trial.worker(), workers, nowMs)) {
                assign.accept(task, trial.worker());
            }
        }
    }

    private boolean isFirstOfWaitingJob(Suspect suspect, long nowMs) {
        return suspect.position() == 1 && placement.hasWaitedLong(suspect.task(), nowMs);
    }

    /**
     * Reserves workers for the suspects that fit somewhere now. They come before those that wait on a reserved worker
     * for its runs to end: these would hold the slots for seconds, and may not fit in the end.
     */
    private void reserveFitting(Collection<WorkerView> workers, long maxTrials, long nowMs) {
        Deque<JobTask> idle = new ArrayDeque<>();
        for (Suspect suspect : waiting) {
            Trial trial = trials.get(suspect.task());
            if (trial != null
                    && !placement.canHost(suspect.task(), suspect.service(), trial.worker(), workers, nowMs)) {
                idle.add(suspect.task());
            }
        }
        for (Suspect suspect : waiting) {
            if (trials.size() >= maxTrials && idle.isEmpty()) {
                return;
            }
            if (trials.containsKey(suspect.task())) {
                continue;
            }
            WorkerView worker = findFittingWorker(suspect, idle, workers, nowMs);
            if (worker != null) {
                boolean freed = idle.removeIf(task -> trials.get(task).worker() == worker && endTrial(task));
                if (!freed && trials.size() >= maxTrials) {
                    endTrial(idle.removeLast());
                }
                reserve(suspect.task(), worker, nowMs);
            }
        }
    }

    /** Finds the worker with room now on which a crash would do the least harm; preferably one that is not reserved. */
    private WorkerView findFittingWorker(
            Suspect suspect, Collection<JobTask> idle, Collection<WorkerView> workers, long nowMs) {
        Set<WorkerView> inUse = new HashSet<>();
        trials.forEach((task, trial) -> {
            if (!idle.contains(task)) {
                inUse.add(trial.worker());
            }
        });
        return findBest(
                workers,
                worker -> !inUse.contains(worker)
                        && placement.canHost(suspect.task(), suspect.service(), worker, workers, nowMs),
                worker -> score(suspect.task(), worker, nowMs) + (worker.isReservedForTrial() ? RESERVED_PENALTY : 0));
    }

    /** Finds the worker on which a crash would do the least harm, and that has room once its runs have ended. */
    private WorkerView findTrialWorker(Suspect suspect, Collection<WorkerView> workers, long nowMs) {
        return findBest(
                workers,
                worker -> !worker.isReservedForTrial()
                        && placement.canEverHost(suspect.task(), suspect.service(), worker, workers, nowMs),
                worker -> score(suspect.task(), worker, nowMs));
    }

    private static WorkerView findBest(
            Collection<WorkerView> workers, Predicate<WorkerView> allowed, ToDoubleFunction<WorkerView> score) {
        WorkerView best = null;
        double bestScore = Double.MAX_VALUE;
        for (WorkerView worker : workers) {
            if (allowed.test(worker)) {
                double each = score.applyAsDouble(worker);
                if (each < bestScore) {
                    best = worker;
                    bestScore = each;
                }
            }
        }
        return best;
    }

    /** Rates a worker for a trial by its load; lower is better. Preferably it is not the last one of the task. */
    private double score(JobTask task, WorkerView worker, long nowMs) {
        double score = worker.share(worker.reserved().milliCores() + worker.bestEffortMilliCores());
        boolean inRackOfTrial =
                trials.values().stream().anyMatch(other -> other.worker().rack().equals(worker.rack()));
        score += inRackOfTrial ? 1 : 0;
        score += hasRunWithoutProgress(worker, nowMs) ? 1 : 0;
        boolean last =
                task.state().worker() != null && task.state().worker().guard().equals(worker.guard());
        score += last || worker.report().ref().equals(task.avoided()) ? 2 : 0;
        return score;
    }

    private static boolean hasRunWithoutProgress(WorkerView worker, long nowMs) {
        for (JobTask task : worker.assigned()) {
            if (!hasShownProgress(task, Math.min(nowMs, worker.answeredAtMs()))) {
                return true;
            }
        }
        return false;
    }

    private void reserve(JobTask task, WorkerView worker, long nowMs) {
        trials.put(task, new Trial(worker, nowMs));
        worker.setReservedForTrial(true);
    }

    /** Ends a trial; returns false if the task has none. */
    private boolean endTrial(JobTask task) {
        Trial ended = trials.remove(task);
        if (ended != null) {
            boolean reserved = trials.values().stream().anyMatch(trial -> trial.worker() == ended.worker());
            ended.worker().setReservedForTrial(reserved);
        }
        return ended != null;
    }
}
