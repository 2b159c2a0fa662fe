package org.fulmarreach.core.work;

import org.fulmarreach.core.model.Resources;

/**
 * A run that may start now. Immutable.
 *
 * @param entry its state in the fold, or that of a new run
 * @param member member that asked for it
 * @param size expected size
 * @param deadlineMs deadline in milliseconds since the Unix epoch; {@code Long.MAX_VALUE} for standing work
 * @param slackMs deadline less the present time and the expected run time; standing work has none to lose
 * @param comfortable whether the slack is large even if the run time is several times the expected one
 */
record Candidate(WorkEntry entry, String member, Resources size, long deadlineMs, long slackMs, boolean comfortable) {
    RunKey key() {
        return entry.key();
    }
}
