package org.fulmarreach.guard.jobs;

import org.fulmarreach.platform.worker.WorkerSnapshot;
import org.fulmarreach.runtime.log.EventLog;

/** Logs what the lists of a worker leave out. Stateless. */
final class SnapshotLog {
    private SnapshotLog() {}

    /** Logs the omissions whose number is another one than in the previous answer of the worker. */
    static void logOmissions(EventLog log, String worker, WorkerSnapshot previous, WorkerSnapshot answer) {
        if (answer.skippedRows() != previous.skippedRows()) {
            log.emit(RelayEvent.ROWS_SKIPPED, "worker", worker, "rows", answer.skippedRows());
        }
        if (answer.oversizedCheckpoints() != previous.oversizedCheckpoints()) {
            log.emit(RelayEvent.CHECKPOINTS_LEFT_OUT, "worker", worker, "checkpoints", answer.oversizedCheckpoints());
        }
    }
}
