package org.fulmarreach.core.jobs;

import org.fulmarreach.core.jobs.DecisionLog.Decision;

/**
 * Carries the runs of a worker over to its next lifetime. An order names its worker by id only, so a worker that starts
 * again under its id may carry out a start that was meant for its former lifetime, also later than the call was given
 * up. Such a run counts like any other, and its task gets no other run until the start is ruled out: by a fencing token
 * that the new lifetime has seen, or by a stop. A worker with another id refuses these orders. Not thread-safe.
 */
final class LifetimeChange {
    private final JobRegistry registry;
    private final RunTracker runs;
    private final DecisionBuffer decisions;
    private final DecisionLog log;

    LifetimeChange(JobRegistry registry, RunTracker runs, DecisionBuffer decisions, DecisionLog log) {
        this.registry = registry;
        this.runs = runs;
        this.decisions = decisions;
        this.log = log;
    }

    /**
     * Assigns the runs that a report lists to its lifetime, if they are assigned to a former one under the same id.
     * Must be called before the runs of the former lifetime are given up or suspected of its crash.
     */
    void adoptListed(WorkerReport report, WorkerView worker, long nowMs) {
        for (WorkerReport.Running running : report.running()) {
            adopt(running.task(), running.run(), report.ref(), worker, nowMs);
        }
        for (WorkerReport.Ended end : report.ended()) {
            adopt(end.task(), end.run(), report.ref(), worker, nowMs);
        }
    }

    /**
     * Gives up a run of a former lifetime that the present one does not list, once the present one can carry out no
     * start of it any more. A run that was listed is no proof: its guard may have sent the start twice, and only one of
     * the two was answered. As long as the present lifetime may carry out a start for the former one, the run is
     * withdrawn there first. Nothing is given up while ends are still to be listed.
     */
    void leaveFormer(JobTask task, WorkerReport report, WorkerView worker, long nowMs) {
        WorkerRef former = task.state().worker();
        if (isSameId(former, report.ref()) && task.progress().mayHaveStarted() && !report.listsAllEnds()) {
            // The present lifetime may have carried out a start, and the end of its run wait behind others.
            return;
        }
        boolean mayStartYet = task.progress().mayHaveStarted() && !worker.rulesOutFormerOrders();
        if (!isSameId(former, report.ref()) || !mayStartYet) {
            runs.markLost(task, worker, "newer lifetime " + report.ref().startedAtMs(), nowMs);
        } else if (report.reachable()) {
            move(task, report.ref(), nowMs);
            task.updateProgress(task.progress().withStopOrdered(nowMs));
            decisions.addImmediate(new JobOrder.Stop(
                    report.ref(), task.name().toString(), task.state().run()));
            record(task, former, "withdrawn, as a start may still be carried out");
        }
    }

    /*
     * Helpers
     */

    private static boolean isSameId(WorkerRef one, WorkerRef other) {
        return one.guard().equals(other.guard()) && one.id().equals(other.id());
    }

    private void adopt(String name, int run, WorkerRef present, WorkerView worker, long nowMs) {
        JobTask task = registry.findTask(name);
        if (task == null || !task.isAssigned() || task.state().run() != run) {
            return;
        }
        WorkerRef former = task.state().worker();
        if (!former.equals(present) && isSameId(former, present)) {
            if (task.isEndForgotten()) {
                task.resume(worker);
            }
            move(task, present, nowMs);
            record(task, former, "adopted, as the worker lists the run");
        }
    }

    private void move(JobTask task, WorkerRef present, long nowMs) {
        task.moveToLifetime(present, nowMs);
        decisions.markChanged(task.job());
    }

    private void record(JobTask task, WorkerRef former, String outcome) {
        log.record(
                Decision.RUN_CARRIED_OVER,
                task.name().toString(),
                "run",
                task.state().run(),
                "worker",
                task.state().worker().id(),
                "bornMs",
                task.state().worker().startedAtMs(),
                "formerBornMs",
                former.startedAtMs(),
                "outcome",
                outcome);
    }
}
