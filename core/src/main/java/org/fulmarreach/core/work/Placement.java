package org.fulmarreach.core.work;

import org.fulmarreach.core.model.TaskId;

/**
 * What a leader knows about the live placement of one epoch beyond the fold. Not thread-safe; owned by its
 * {@link ShardLeader}.
 */
final class Placement {
    /** Stands for a time long before any other. */
    static final long NEVER = Long.MIN_VALUE / 4;

    final TaskId task;
    final String vm;

    /** Whether an earlier leader may have given grants that this one does not know of. */
    boolean inherited;

    /** Whether the placement has been given up in a record that may be in the log; it gets no grant any more. */
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
