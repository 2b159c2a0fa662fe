package org.fulmarreach.core.work;

import org.fulmarreach.core.model.Resources;
import org.fulmarreach.core.model.TaskId;

/**
 * State of one task in a heartbeat. Immutable.
 *
 * @param task task
 * @param phase phase at the guard; a final one is repeated until acknowledged
 * @param checkpoint checkpoint taken when the task stopped; null when there is none
 * @param reason why it is in this phase; null when there is nothing to say
 * @param used resources used, lagging
 * @param throttleShare share of its unthrottled speed, in (0, 1]
 * @param term highest term that the guard has seen for the shard
 * @param shard shard of the task; empty when a restarted guard does not know it
 */
public record TaskReport(
        TaskId task,
        Phase phase,
        String checkpoint,
        String reason,
        Resources used,
        double throttleShare,
        long term,
        String shard) {
    /** Phase of a task at its guard. */
    public enum Phase {
        /** The worker agent has been asked to start it. */
        STARTING(false),
        /** It runs. */
        RUNNING(false),
        /** It is being stopped. */
        STOPPING(false),
        /** It was stopped and does not run. */
        STOPPED(true),
        /** It ended by itself with success. */
        SUCCEEDED(true),
        /** It could not start, or ended by itself with an error. */
        FAILED(true),
        /** It was refused and never runs. */
        REFUSED(true);

        private final boolean last;

        Phase(boolean last) {
            this.last = last;
        }

        /** Tells whether the task does not run and never will. */
        public boolean isFinal() {
            return last;
        }
    }
}
