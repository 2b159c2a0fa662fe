package org.fulmarreach.core.jobs;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.ToIntFunction;

import org.fulmarreach.core.jobs.DecisionLog.Decision;

/** Applies what workers list about runs to the tasks of the book. Not thread-safe. */
final class RunTracker {
    /** A worker on which this many runs fail in a row, without a success, is left alone for a while. */
    private static final int FAULTS_TO_SUSPECT = 2;

    /**
     * Looks that the worker must answer after a confirmed stop before an unlisted run counts as absent. The first one
     * may have been under way when the stop arrived.
     */
    private static final int LOOKS_AFTER_STOP = 2;

    /** Reason of a worker for refusing a run that is not higher than one that ended there. */
    private static final String OLD = "old";

    /** Outcome of a start that was refused after an earlier call for it had got no answer. */
    private static final String UNCERTAIN = "uncertain";

    private final JobBook book;
    private final Decisions decisions;
    private final DecisionLog log;

    RunTracker(JobBook book, Decisions decisions, DecisionLog log) {
        this.book = book;
        this.decisions = decisions;
        this.log = log;
    }

    void apply(WorkerReport report, WorkerView worker, ToIntFunction<Job> maxAttempts, long nowMs) {
        Set<JobTask> listed = new HashSet<>();
        long lastEnd = 0;
        for (WorkerReport.Ended end : report.ended()) {
            lastEnd = Math.max(lastEnd, end.number());
            if (!worker.noteEnd(report.ref(), end.number())) {
                // Listed again because the acknowledgement has not reached the worker yet.
                continue;
            }
            applyEnd(report.ref(), worker, end, maxAttempts, nowMs);
        }
        if (lastEnd > 0) {
            decisions.acknowledge(report.ref(), lastEnd);
        }
        for (WorkerReport.Running running : report.running()) {
            JobTask task = book.findTask(running.task());
            if (task != null && task.isCurrent(report.ref(), running.run())) {
                observe(task, running, nowMs);
                listed.add(task);
            } else {
                stopStray(report.ref(), running, task);
            }
        }
        if (report.reachable()) {
            reviewUnlisted(report, worker, listed, nowMs);
        }
    }

    void outcome(WorkerView worker, WorkerRef ref, String name, int run, boolean start, String outcome, long nowMs) {
        JobTask task = book.findTask(name);
        if (task == null || !task.isCurrent(ref, run)) {
            return;
        }
        if (!start) {
            task.observe(task.progress().withStopConfirmed());
            return;
        }
        log.decided(Decision.START_REFUSED, name, "run", run, "worker", ref.id(), "outcome", outcome);
        boolean doubtful = outcome.equals(OLD) || outcome.equals(UNCERTAIN);
        if (doubtful || task.progress().mayHaveBegun()) {
            withdraw(task, nowMs);
        } else {
            task.release();
            task.avoid(ref);
            task.finish(TaskPhase.PENDING, task.state().failures(), "");
            decisions.change(task.job());
        }
        // A worker without room or that leaves is not faulty, only not up to date here.
        if (!doubtful && !outcome.equals("room") && !outcome.equals("draining")) {
            suspect(worker, "start refused: " + outcome, nowMs);
        }
    }

    /**
     * Stops a run that may have begun, or may begin later. A worker refuses a start as old also when that very run has
     * ended there, so its lists decide what became of it.
     */
    private void withdraw(JobTask task, long nowMs) {
        if (!task.progress().isSeen() && task.progress().stopOrderedAtMs() == 0) {
            task.observe(task.progress().withStopOrdered(nowMs));
            decisions.now(new JobOrder.Stop(
                    task.state().worker(), task.name().toString(), task.state().run()));
        }
    }

    /** Gives up a run that can be at work nowhere. */
    void lose(JobTask task, WorkerView worker, String reason) {
        log.decided(
                Decision.RUN_LOST,
                task.name().toString(),
                "run",
                task.state().run(),
                "worker",
                task.state().worker().id(),
                "reason",
                reason);
        worker.remove(task);
        task.finish(TaskPhase.PENDING, task.state().failures(), task.progress().checkpoint());
        decisions.change(task.job());
    }

    /*
     * Helpers
     */

    private void applyEnd(
            WorkerRef ref, WorkerView worker, WorkerReport.Ended end, ToIntFunction<Job> maxAttempts, long nowMs) {
        JobTask task = book.findTask(end.task());
        boolean current = task != null && task.isCurrent(ref, end.run());
        log.decided(
                current ? Decision.RUN_ENDED : Decision.STALE_END,
                end.task(),
                "run",
                end.run(),
                "worker",
                ref.id(),
                "how",
                end.how(),
                "number",
                end.number(),
                "checkpoint",
                end.checkpoint());
        if (task == null) {
            return;
        }
        if (!current) {
            applyLateSuccess(task, end);
            return;
        }
        noteReliability(worker, task, end.how(), nowMs);
        List<JobTask> members = membersOf(task);
        if (end.how() == RunEnd.DONE && !task.step().longRunning()) {
            members.forEach(RunTracker::complete);
        } else {
            endWithoutSuccess(task, worker, end, members, maxAttempts.applyAsInt(task.job()));
        }
        decisions.change(task.job());
    }

    private static void complete(JobTask task) {
        task.release();
        task.finish(TaskPhase.DONE, task.state().failures(), "");
    }

    private void endWithoutSuccess(
            JobTask task, WorkerView worker, WorkerReport.Ended end, List<JobTask> members, int maxAttempts) {
        task.release();
        int failures = task.state().failures() + (end.how() == RunEnd.FAILED ? 1 : 0);
        int counted = failures;
        for (JobTask member : members) {
            counted += member == task ? 0 : member.state().failures();
        }
        boolean givenUp = !task.step().longRunning() && counted >= maxAttempts;
        task.finish(givenUp ? TaskPhase.FAILED : TaskPhase.PENDING, failures, end.checkpoint());
        if (end.how() == RunEnd.FAILED) {
            task.avoid(worker.report().ref());
        }
    }

    /**
     * A run that was given up may turn out to have succeeded. Then the task needs no other run, whichever was ordered
     * meanwhile: the end is acknowledged, so a start that has not been carried out yet must not be.
     */
    private void applyLateSuccess(JobTask task, WorkerReport.Ended end) {
        List<JobTask> members = membersOf(task);
        boolean open = members.stream().noneMatch(member -> member.state().phase() == TaskPhase.FAILED)
                && members.stream().anyMatch(member -> member.state().phase() != TaskPhase.DONE);
        if (!open || end.how() != RunEnd.DONE || task.step().longRunning()) {
            return;
        }
        for (JobTask member : members) {
            if (member.isAssigned()) {
                TaskState state = member.state();
                decisions.now(new JobOrder.Stop(state.worker(), member.name().toString(), state.run()));
            }
            complete(member);
        }
        decisions.change(task.job());
    }

    /** Returns the tasks that one end speaks for: all members of a gang, otherwise the task alone. */
    private static List<JobTask> membersOf(JobTask task) {
        return task.step().gang()
                ? task.job().tasksOf(task.name().occurrence(), task.name().step())
                : List.of(task);
    }

    private void noteReliability(WorkerView worker, JobTask task, RunEnd how, long nowMs) {
        switch (how) {
            case DONE -> worker.noteSuccess();
            case FAILED -> suspect(worker, "run failed: " + task.name(), nowMs);
            default -> {
                // Stops, lapses and broken gangs say nothing about the worker.
            }
        }
    }

    void suspect(WorkerView worker, String reason, long nowMs) {
        if (worker.noteFault(FAULTS_TO_SUSPECT, nowMs)) {
            // A new leader may be told of refused starts before the first report of their worker.
            log.decided(
                    Decision.WORKER_SUSPECTED,
                    worker.report() == null
                            ? worker.guard()
                            : worker.report().ref().id(),
                    "reason",
                    reason,
                    "faultsInRow",
                    worker.faultsInRow(),
                    "forMs",
                    JobTimes.SUSPICION_MS);
        }
    }

    private void observe(JobTask task, WorkerReport.Running running, long nowMs) {
        RunProgress before = task.progress();
        task.observe(before.withListing(running.percent(), running.usage(), running.checkpoint(), nowMs));
        if (!before.isSeen()) {
            log.decided(
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

    private void stopStray(WorkerRef ref, WorkerReport.Running running, JobTask task) {
        decisions.now(new JobOrder.Stop(ref, running.task(), running.run()));
        log.decided(
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

    /** Repeats, withdraws or gives up runs that a worker should have and does not list. */
    private void reviewUnlisted(WorkerReport report, WorkerView worker, Set<JobTask> listed, long nowMs) {
        for (JobTask task : List.copyOf(worker.assigned())) {
            RunProgress progress = task.progress();
            if (listed.contains(task) || progress.isSeen()) {
                continue;
            }
            if (progress.stopConfirmed()) {
                if (task.countLookAfterStop(report.lookNumber()) >= LOOKS_AFTER_STOP) {
                    lose(task, worker, "never begun, withdrawn");
                }
            } else if (progress.stopOrderedAtMs() > 0 || nowMs - progress.orderedAtMs() > JobTimes.START_GIVE_UP_MS) {
                if (nowMs - progress.stopOrderedAtMs() > JobTimes.STOP_RETRY_MS) {
                    task.observe(progress.withStopOrdered(nowMs));
                    decisions.now(new JobOrder.Stop(
                            report.ref(), task.name().toString(), task.state().run()));
                }
            } else if (nowMs - progress.sentAtMs() > JobTimes.START_RETRY_MS) {
                task.observe(progress.withSent(nowMs));
                decisions.start(task);
            }
        }
    }
}
