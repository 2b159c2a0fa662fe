package org.fulmarreach.core.work;

import org.fulmarreach.core.model.TaskId;

/**
 * A leader's volatile state about the live placement of one epoch, in addition to what the log records. Not
 * thread-safe; owned by its {@link ShardLeader}.
 */
final class Placement {
    /** Timestamp of an event that has not happened; earlier than any other time. */
    static final long NEVER = Long.MIN_VALUE / 4;

    final TaskId task;
    final String vm;

    /** Whether an earlier leader may have issued grants that this leader has not seen. */
    boolean inherited;

    /** Whether a record that releases the placement may be in the log; the placement gets no further grants. */
    boolean released;

    long knownSinceMs;
    long lastGrantMs = NEVER;
    long firstStartMs = NEVER;
    long lastStartMs = NEVER;
    long lastStartTickMs = NEVER;
    long lastStopMs = NEVER;
    long runningSinceMs = NEVER;

    Placement(TaskId task, String vm, boolean inherited, long knownSinceMs) {
        this.task = task;
        this.vm = vm;
        this.inherited = inherited;
        this.knownSinceMs = knownSinceMs;
    }
}
