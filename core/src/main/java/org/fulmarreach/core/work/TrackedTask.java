package org.fulmarreach.core.work;

import org.fulmarreach.core.model.Resources;
import org.fulmarreach.core.model.TaskId;

/** Mutable state of one task at the guard. Only {@link GuardTasks} and its helper classes change it. */
final class TrackedTask {
    /** Grant end of a task for which no leader has sent a grant in this guard incarnation. */
    static final long NO_GRANT = Long.MIN_VALUE;
    /** Timestamp of an event that has not happened; half of the minimum, so that differences do not overflow. */
    static final long NEVER = Long.MIN_VALUE / 2;

    final TaskId task;
    String shard;
    GuardTaskPhase phase;
    long grantEndMs = NO_GRANT;
    String checkpoint;
    String reason;
    Resources usage = Resources.NONE;
    int usageLagMs;
    long startSentMs = NEVER;
    long runningSinceMs = NEVER;
    long renewSentMs = NEVER;
    long dropAtMs = Long.MAX_VALUE;
    boolean startPending;
    boolean startOutcomeUnknown;
    boolean stopPending;
    boolean stopWithCheckpoint;
    long stopSentMs = NEVER;

    TrackedTask(TaskId task, String shard, GuardTaskPhase phase) {
        this.task = task;
        this.shard = shard;
        this.phase = phase;
    }

    boolean isLive() {
        return phase == GuardTaskPhase.RUNNING || phase == GuardTaskPhase.STARTING;
    }

    /** Marks the task to be stopped; if it is already marked, the earlier reason and checkpoint mode are kept. */
    void markStopping(String newReason, boolean withCheckpoint) {
        if (phase != GuardTaskPhase.STOPPING) {
            phase = GuardTaskPhase.STOPPING;
            reason = newReason;
            stopWithCheckpoint = withCheckpoint;
        }
    }

    void finish(GuardTaskPhase finalPhase, String newReason) {
        phase = finalPhase;
        reason = newReason == null || newReason.isEmpty() ? reason : newReason;
        startPending = false;
        stopPending = false;
    }

    GuardTaskView view(long shardTerm) {
        return new GuardTaskView(task, shard, shardTerm, phase, checkpoint, reason, usage, usageLagMs);
    }
}
