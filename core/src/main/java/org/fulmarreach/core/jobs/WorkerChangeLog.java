package org.fulmarreach.core.jobs;

import org.fulmarreach.core.jobs.DecisionLog.Decision;

/** Records what a report changes in the leader's view of its worker. Stateless. */
final class WorkerChangeLog {
    private WorkerChangeLog() {}

    /** Records that a report does not count, for the reason given. */
    static void recordIgnored(DecisionLog log, WorkerView worker, WorkerReport report, String reason) {
        log.record(
                Decision.WORKER_CHANGED,
                report.ref().id(),
                "bornMs",
                report.ref().startedAtMs(),
                "newestBornMs",
                worker.newestStartMs(),
                "look",
                report.pollNumber(),
                "outcome",
                reason);
    }

    /** Records a new lifetime, or a change of reachability or draining; must be called before the report counts. */
    static void recordChange(DecisionLog log, WorkerView worker, WorkerReport report) {
        WorkerReport before = worker.report();
        if (before == null || !before.ref().equals(report.ref())) {
            log.record(
                    Decision.WORKER_SEEN,
                    report.ref().id(),
                    "guard",
                    report.ref().guard(),
                    "bornMs",
                    report.ref().startedAtMs(),
                    "zone",
                    report.zone(),
                    "milliCores",
                    report.capacity().milliCores(),
                    "memoryMb",
                    report.capacity().memoryMb());
        } else if (before.reachable() != report.reachable() || before.draining() != report.draining()) {
            log.record(
                    Decision.WORKER_CHANGED,
                    report.ref().id(),
                    "reachable",
                    report.reachable(),
                    "draining",
                    report.draining(),
                    "look",
                    report.pollNumber());
        }
    }
}
