package org.fulmarreach.core.work;

import org.fulmarreach.core.model.Resources;

/**
 * A run that is eligible to start now. Immutable.
 *
 * @param entry recorded state of the run, or the initial state of a new run
 * @param member member that owns the work
 * @param size expected resource usage
 * @param deadlineMs deadline in milliseconds since the Unix epoch; {@code Long.MAX_VALUE} for standing work
 * @param slackMs time to the deadline minus the expected run time; {@code Long.MIN_VALUE} for standing work
 * @param deferrable whether the slack is large enough even if the run takes several times the expected run time
 */
record Candidate(WorkEntry entry, String member, Resources size, long deadlineMs, long slackMs, boolean deferrable) {
    RunKey key() {
        return entry.key();
    }
}
