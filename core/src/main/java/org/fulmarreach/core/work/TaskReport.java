package org.fulmarreach.core.work;

import org.fulmarreach.core.model.Resources;
import org.fulmarreach.core.model.TaskId;

/**
 * State of one task in a heartbeat. Immutable.
 *
 * @param task id of the task
 * @param phase phase at the guard; a final phase is reported until it is acknowledged
 * @param checkpoint checkpoint taken when the task stopped; null if there is none
 * @param reason why the task is in this phase; null if there is no reason to report
 * @param usage resource usage, which lags behind
 * @param throttleShare speed as a share of the unthrottled speed, in (0, 1]
 * @param term highest term that the guard has seen for the shard
 * @param shard shard of the task; empty if the guard has restarted and does not know it
 */
public record TaskReport(
        TaskId task,
        Phase phase,
        String checkpoint,
        String reason,
        Resources usage,
        double throttleShare,
        long term,
        String shard) {
    /** Phase of a task at its guard. */
    public enum Phase {
        /** The worker agent has been asked to start the task. */
        STARTING(false),
        /** The task runs. */
        RUNNING(false),
        /** The task is being stopped. */
        STOPPING(false),
        /** The task was stopped and no longer runs. */
        STOPPED(true),
        /** The task completed successfully. */
        SUCCEEDED(true),
        /** The task could not be started or ended with an error. */
        FAILED(true),
        /** The start was refused; the task never runs. */
        REFUSED(true);

        private final boolean last;

        Phase(boolean last) {
            this.last = last;
        }

        /** Returns whether the task does not run and never will under this id. */
        public boolean isFinal() {
            return last;
        }
    }
}
