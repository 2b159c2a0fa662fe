package org.fulmarreach.core.jobs;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.ToIntFunction;

import org.fulmarreach.core.jobs.DecisionLog.Decision;

/** Applies the runs and ends that workers list, and their responses to orders, to the tasks. Not thread-safe. */
final class RunTracker {
    /** Number of failed runs in a row after which a worker gets no new work for a while. */
    private static final int FAULTS_TO_SUSPECT = 2;

    /**
     * Polls that the worker must answer after a confirmed stop before an unlisted run counts as absent. The first one
     * may have been in flight when the stop arrived.
     */
    private static final int POLLS_AFTER_STOP = 2;

    /**
     * Polls in a row that list a run neither as running nor as ended, after which it counts as ended. More than one,
     * since nothing must start in place of a run that one poll left out.
     */
    private static final int POLLS_TO_LOSE = 3;

    /** Refusal of a start whose run number is not above that of a run that was stopped or ended on the worker. */
    private static final String OLD = "old";

    /** Outcome of an order after a start that got no answer, so that the run may have started, or may start yet. */
    private static final String UNCERTAIN = "uncertain";

    private final JobRegistry registry;
    private final DecisionBuffer decisions;
    private final DecisionLog log;
    private final CrashTracker crashes;
    private final RunTimeModel times;

    RunTracker(
            JobRegistry registry, DecisionBuffer decisions, DecisionLog log, CrashTracker crashes, RunTimeModel times) {
        this.times = times;
        this.crashes = crashes;
        this.registry = registry;
        this.decisions = decisions;
        this.log = log;
    }

    void apply(WorkerReport report, WorkerView worker, ToIntFunction<Job> maxAttempts, long nowMs) {
        Set<JobTask> listed = new HashSet<>();
        long lastEnd = 0;
        for (WorkerReport.Ended end : report.ended()) {
            lastEnd = Math.max(lastEnd, end.number());
            if (!worker.recordEnd(report.ref(), end.number())) {
                // Already handled; the acknowledgement has not reached the worker yet.
                continue;
            }
            applyEnd(report.ref(), worker, end, maxAttempts, nowMs);
        }
        if (lastEnd > 0) {
            decisions.acknowledgeEnds(report.ref(), lastEnd);
        }
        for (WorkerReport.Running running : report.running()) {
            JobTask task = registry.findTask(running.task());
            if (task != null && task.isCurrent(report.ref(), running.run())) {
                if (task.isEndForgotten()) {
                    task.resume(worker);
                }
                applyListing(task, running, worker, nowMs);
                listed.add(task);
            } else {
                stopStray(report.ref(), running, task);
                if (task != null) {
                    recordBegun(task.job());
                    worker.countUntilEnded(task, running.run());
                }
            }
        }
        if (report.reachable()) {
            reviewUnlisted(report, worker, listed, nowMs);
        }
    }

    void onOrderOutcome(
            WorkerView worker, WorkerRef ref, String name, int run, boolean start, String outcome, long nowMs) {
        JobTask task = registry.findTask(name);
        if (task == null || !task.isCurrent(ref, run)) {
            return;
        }
        if (!start) {
            confirmStop(task, !outcome.equals(UNCERTAIN), nowMs);
            return;
        }
        log.record(Decision.START_REFUSED, name, "run", run, "worker", ref.id(), "outcome", outcome);
        boolean inconclusive = outcome.equals(OLD) || outcome.equals(UNCERTAIN);
        if (inconclusive || task.progress().mayHaveStartedDespiteRefusal()) {
            withdraw(task, nowMs);
        } else {
            task.release();
            task.avoid(ref);
            task.finish(TaskPhase.PENDING, task.state().failures(), "");
            decisions.markChanged(task.job());
        }
        // Lack of capacity or draining is not a fault of the worker: the leader's view of it was out of date.
        if (!inconclusive && !outcome.equals("room") && !outcome.equals("draining")) {
            suspect(worker, "start refused: " + outcome, nowMs);
        }
    }

    /**
     * Records that the worker has confirmed a stop. A task that is started again however its run ends needs no list of
     * the worker then, so the confirmation is stored for the next leader; any other task may have succeeded.
     *
     * @param certain whether no start is left that the next lifetime of the worker may carry out
     */
    private void confirmStop(JobTask task, boolean certain, long nowMs) {
        task.updateProgress(task.progress().withStopConfirmed(nowMs));
        if (certain && task.step().longRunning() && !task.state().stopConfirmed()) {
            task.confirmStop();
            decisions.markChanged(task.job());
        }
    }

    /**
     * Releases the long-running tasks of a worker whose runs have ended since it confirmed their stops. The worker may
     * be gone before it has listed the ends.
     */
    void releaseStopped(WorkerView worker, long stopEndMs, long nowMs) {
        for (JobTask task : List.copyOf(worker.assigned())) {
            long confirmedAtMs = task.progress().stopConfirmedAtMs();
            if (task.state().stopConfirmed() && nowMs - confirmedAtMs > stopEndMs) {
                worker.countUntilEnded(task, task.state().run());
                markLost(
                        task, worker, "stopped, as its worker confirmed " + (nowMs - confirmedAtMs) + " ms ago", nowMs);
            }
        }
    }

    /** Records that a start was handed to a session of its guard, so that its run may have begun. */
    void onStartSent(JobOrder.Start start, long nowMs) {
        JobTask task = registry.findTask(start.task().toString());
        if (task != null && task.isCurrent(start.worker(), start.run())) {
            task.updateProgress(task.progress().withSent(nowMs));
        }
    }

    /**
     * Releases the task of a start that was not sent, unless an earlier start of the same run was. A member of a gang
     * keeps its run, since the others wait for it and the start is repeated if the guard returns in time.
     */
    void onStartNotSent(JobOrder.Start start, String reason) {
        JobTask task = registry.findTask(start.task().toString());
        if (task != null
                && task.isCurrent(start.worker(), start.run())
                && !task.progress().mayHaveStarted()
                && !task.step().gang()) {
            releaseUnsent(task, reason);
        }
    }

    /** Fails the task of a start that fits no message, so that no attempt can be made. */
    void onStartUndeliverable(JobOrder.Start start) {
        JobTask task = registry.findTask(start.task().toString());
        if (task != null && task.isCurrent(start.worker(), start.run())) {
            logStartRefused(task, "too large for a message to the guard");
            task.release();
            task.finish(TaskPhase.FAILED, task.state().failures(), "");
            decisions.markChanged(task.job());
        }
    }

    private void releaseUnsent(JobTask task, String reason) {
        logStartRefused(task, reason);
        task.release();
        task.finish(TaskPhase.PENDING, task.state().failures(), "");
        decisions.markChanged(task.job());
    }

    private void logStartRefused(JobTask task, String reason) {
        log.record(
                Decision.START_REFUSED,
                task.name().toString(),
                "run",
                task.state().run(),
                "worker",
                task.state().worker().id(),
                "outcome",
                reason);
    }

    /**
     * Orders a run to stop that may have started or may still start. A worker also refuses a start as old if the same
     * run has already ended there, so the worker's lists determine the outcome.
     */
    private void withdraw(JobTask task, long nowMs) {
        if (!task.progress().isListed() && task.progress().stopOrderedAtMs() == 0) {
            task.updateProgress(task.progress().withStopOrdered(nowMs));
            decisions.addImmediate(new JobOrder.Stop(
                    task.state().worker(), task.name().toString(), task.state().run()));
        }
    }

    /** Ends a run whose end its worker has forgotten, after its job was settled; if listed again, it is stopped. */
    void settleForgotten(JobTask task) {
        task.finish(TaskPhase.PENDING, task.state().failures(), task.progress().checkpoint());
        decisions.markChanged(task.job());
    }

    /** Marks a run as lost that cannot be running any more; its task waits for a worker again. */
    void markLost(JobTask task, WorkerView worker, String reason, long nowMs) {
        logLost(task, worker, reason, nowMs);
        worker.remove(task);
        task.finish(TaskPhase.PENDING, task.state().failures(), task.progress().checkpoint());
        decisions.markChanged(task.job());
    }

    /*
     * Helpers
     */

    private void logLost(JobTask task, WorkerView worker, String reason, long nowMs) {
        log.record(
                Decision.RUN_LOST,
                task.name().toString(),
                "run",
                task.state().run(),
                "worker",
                task.state().worker().id(),
                "bornMs",
                task.state().worker().startedAtMs(),
                "reason",
                reason,
                "begun",
                task.progress().isListed(),
                "answerAgeMs",
                worker.answeredAtMs() == 0 ? "none" : nowMs - worker.answeredAtMs(),
                "grantAgeMs",
                nowMs - worker.grantedAtMs());
    }

    private void applyEnd(
            WorkerRef ref, WorkerView worker, WorkerReport.Ended end, ToIntFunction<Job> maxAttempts, long nowMs) {
        JobTask task = registry.findTask(end.task());
        boolean current = task != null && task.isCurrent(ref, end.run());
        log.record(
                current ? Decision.RUN_ENDED : Decision.STALE_END,
                end.task(),
                "run",
                end.run(),
                "worker",
                ref.id(),
                "how",
                end.runEnd(),
                "number",
                end.number(),
                "checkpoint",
                end.checkpoint(),
                "afterMs",
                current && task.progress().isListed() ? nowMs - task.progress().startedAtMs() : "none",
                "estimatedMs",
                task == null ? "none" : task.step().estimatedMs(),
                "throttled",
                current && task.hasBeenThrottled());
        if (task == null) {
            return;
        }
        recordBegun(task.job());
        if (!current) {
            applyLateSuccess(task, end);
            return;
        }
        updateReliability(worker, task, end.runEnd(), nowMs);
        if (end.runEnd() == RunEnd.DONE || end.runEnd() == RunEnd.FAILED) {
            crashes.acquit(task);
        }
        List<JobTask> members = membersOf(task);
        if (end.runEnd() == RunEnd.DONE && !task.step().longRunning()) {
            recordRunTime(task, nowMs);
            for (JobTask member : members) {
                if (member != task) {
                    member.releaseUntilEnded();
                }
                complete(member);
            }
        } else {
            endWithoutSuccess(task, worker, end, members, maxAttempts.applyAsInt(task.job()));
        }
        decisions.markChanged(task.job());
    }

    /** A run of a former leader, one that may resume from a checkpoint, or a throttled one does not tell the work. */
    private void recordRunTime(JobTask task, long nowMs) {
        if (task.state().run() == 1 && !task.progress().repeated() && !task.hasBeenThrottled()) {
            times.recordDone(
                    task.job().spec().queue(),
                    task.step(),
                    nowMs - task.progress().orderedAtMs());
        }
    }

    private static void complete(JobTask task) {
        task.release();
        task.finish(TaskPhase.DONE, task.state().failures(), "");
    }

    private void endWithoutSuccess(
            JobTask task, WorkerView worker, WorkerReport.Ended end, List<JobTask> members, int maxAttempts) {
        task.release();
        int failures = task.state().failures() + (end.runEnd() == RunEnd.FAILED ? 1 : 0);
        int totalFailures = failures;
        for (JobTask member : members) {
            totalFailures += member == task ? 0 : member.state().failures();
        }
        boolean attemptsExhausted = !task.step().longRunning() && totalFailures >= maxAttempts;
        task.finish(attemptsExhausted ? TaskPhase.FAILED : TaskPhase.PENDING, failures, end.checkpoint());
        if (end.runEnd() == RunEnd.FAILED) {
            task.avoid(worker.report().ref());
        }
    }

    /**
     * Completes a task when an earlier run, which had been declared lost, turns out to have succeeded. A later run is
     * stopped: the worker discards the acknowledged end, so a start that has not been executed yet must not be.
     */
    private void applyLateSuccess(JobTask task, WorkerReport.Ended end) {
        List<JobTask> members = membersOf(task);
        boolean incomplete = members.stream().noneMatch(member -> member.state().phase() == TaskPhase.FAILED)
                && members.stream().anyMatch(member -> member.state().phase() != TaskPhase.DONE);
        if (!incomplete || end.runEnd() != RunEnd.DONE || task.step().longRunning()) {
            return;
        }
        for (JobTask member : members) {
            if (member.isAssigned()) {
                TaskState state = member.state();
                decisions.addImmediate(
                        new JobOrder.Stop(state.worker(), member.name().toString(), state.run()));
                member.releaseUntilEnded();
            }
            complete(member);
        }
        decisions.markChanged(task.job());
    }

    /** Returns the tasks to which an end applies: all members of a gang, otherwise only the task itself. */
    private static List<JobTask> membersOf(JobTask task) {
        return task.step().gang()
                ? task.job().tasksOf(task.name().occurrence(), task.name().step())
                : List.of(task);
    }

    private void updateReliability(WorkerView worker, JobTask task, RunEnd runEnd, long nowMs) {
        switch (runEnd) {
            case DONE -> worker.recordSuccess();
            case FAILED -> suspect(worker, "run failed: " + task.name(), nowMs);
            default -> {
                // Stops, expired leases and broken gangs do not indicate a fault of the worker.
            }
        }
    }

    void suspect(WorkerView worker, String reason, long nowMs) {
        if (worker.recordFault(FAULTS_TO_SUSPECT, nowMs)) {
            // A new leader may receive refused starts before the first report of their worker.
            log.record(
                    Decision.WORKER_SUSPECTED,
                    worker.report() == null
                            ? worker.guard()
                            : worker.report().ref().id(),
                    "reason",
                    reason,
                    "faultsInRow",
                    worker.faultsInRow(),
                    "forMs",
                    JobTimeLimits.SUSPICION_MS);
        }
    }

    private void applyListing(JobTask task, WorkerReport.Running running, WorkerView worker, long nowMs) {
        RunProgress before = task.progress();
        task.updateProgress(before.withListing(running.percent(), running.usage(), running.checkpoint(), nowMs));
        // The guard of a worker that does not answer repeats the last lists, which show no progress since.
        if (CrashTracker.hasShownProgress(task, worker.answeredAtMs())) {
            crashes.acquit(task);
        }
        recordBegun(task.job());
        if (!before.isListed()) {
            times.recordStart(nowMs - before.orderedAtMs());
            log.record(
                    Decision.RUN_STARTED,
                    task.name().toString(),
                    "run",
                    running.run(),
                    "worker",
                    task.state().worker().id(),
                    "afterMs",
                    nowMs - before.orderedAtMs());
        }
    }

    private void recordBegun(Job job) {
        if (!job.status().isFinal() && job.markBegun()) {
            decisions.markChanged(job);
        }
    }

    private void stopStray(WorkerRef ref, WorkerReport.Running running, JobTask task) {
        decisions.addImmediate(new JobOrder.Stop(ref, running.task(), running.run()));
        log.record(
                Decision.STRAY_STOPPED,
                running.task(),
                "run",
                running.run(),
                "worker",
                ref.id(),
                "currentRun",
                task == null ? "none" : task.state().run(),
                "phase",
                task == null ? "unknown" : task.state().phase());
    }

    /** Repeats the start of, withdraws, or marks as lost the assigned runs that the worker does not list. */
    private void reviewUnlisted(WorkerReport report, WorkerView worker, Set<JobTask> listed, long nowMs) {
        StartWindow repeated = new StartWindow();
        for (JobTask task : List.copyOf(worker.assigned())) {
            RunProgress progress = task.progress();
            if (!task.state().worker().equals(report.ref())) {
                // A run of a former lifetime, of which the present one may have an end to list.
                continue;
            }
            if (listed.contains(task)) {
                task.restartCountOfPolls();
            } else if (progress.isListed()) {
                releaseIfEndIsForgotten(task, report, worker, nowMs);
            } else if (progress.isStopConfirmed()) {
                // The run may have ended before the stop, and its end wait behind others.
                if (report.listsAllEnds() && task.countPollWithoutRun(report.pollNumber()) >= POLLS_AFTER_STOP) {
                    markLost(task, worker, "withdrawn before it started", nowMs);
                }
            } else if (!progress.isSent() && !task.step().gang()) {
                // A start that still waits for its append is not applicable any more once its task is released.
                if (worker.isEvacuated() || nowMs - progress.orderedAtMs() > JobTimeLimits.START_WITHDRAW_MS) {
                    releaseUnsent(task, worker.isEvacuated() ? "zone is evacuated" : "not sent in time");
                }
            } else if (progress.stopOrderedAtMs() > 0
                    || nowMs - Math.max(progress.orderedAtMs(), progress.sentAtMs())
                            > JobTimeLimits.START_WITHDRAW_MS) {
                if (nowMs - progress.stopOrderedAtMs() > JobTimeLimits.STOP_RETRY_MS) {
                    task.updateProgress(progress.withStopOrdered(nowMs));
                    decisions.addImmediate(new JobOrder.Stop(
                            report.ref(), task.name().toString(), task.state().run()));
                }
            } else if (nowMs - Math.max(progress.queuedAtMs(), progress.sentAtMs()) > JobTimeLimits.START_RETRY_MS) {
                if (worker.isEvacuated()) {
                    withdraw(task, nowMs);
                } else if (repeated.admits(task.job()) || task.step().gang()) {
                    repeated.add(task);
                    task.updateProgress(progress.withQueued(nowMs));
                    decisions.addStart(task);
                }
            }
        }
        countStarting(worker);
    }

    private static void countStarting(WorkerView worker) {
        worker.starting().clear();
        for (JobTask task : worker.assigned()) {
            if (!task.progress().isListed() && task.progress().stopOrderedAtMs() == 0) {
                worker.starting().add(task);
            }
        }
    }

    /**
     * Releases a run that was listed before and is neither running nor ended now: the worker has forgotten its end. A
     * long-running task is started again however it ended, and a task of a settled job never. Any other task may have
     * succeeded, so it neither runs again nor counts as failed.
     */
    private void releaseIfEndIsForgotten(JobTask task, WorkerReport report, WorkerView worker, long nowMs) {
        if (!report.listsAllEnds() || task.countPollWithoutRun(report.pollNumber()) < POLLS_TO_LOSE) {
            return;
        }
        if (task.step().longRunning() || task.job().status().isFinal()) {
            markLost(task, worker, "neither running nor ended", nowMs);
            return;
        }
        logLost(task, worker, "neither running nor ended, not started again since it may have succeeded", nowMs);
        task.releaseWithForgottenEnd();
        decisions.markChanged(task.job());
    }
}
