package org.fulmarreach.core.work;

import org.fulmarreach.core.model.Resources;
import org.fulmarreach.core.model.TaskId;

/** Present state of one task at the guard; changed by {@link GuardTasks} and its parts only. */
final class HeldTask {
    /** End of the grant of a task that no leader of this incarnation has granted. */
    static final long NO_GRANT = Long.MIN_VALUE;
    /** Time of what has not happened; half of the lowest value, so that differences do not overflow. */
    static final long NEVER = Long.MIN_VALUE / 2;

    final TaskId task;
    String shard;
    GuardTaskPhase phase;
    long grantEndMs = NO_GRANT;
    String checkpoint;
    String reason;
    Resources used = Resources.NONE;
    int usageLagMs;
    long startSentMs = NEVER;
    long runningSinceMs = NEVER;
    long renewSentMs = NEVER;
    long dropAtMs = Long.MAX_VALUE;
    boolean startPending;
    boolean startUnclear;
    boolean stopPending;
    boolean stopWithCheckpoint;
    long stopSentMs = NEVER;

    HeldTask(TaskId task, String shard, GuardTaskPhase phase) {
        this.task = task;
        this.shard = shard;
        this.phase = phase;
    }

    boolean isLive() {
        return phase == GuardTaskPhase.RUNNING || phase == GuardTaskPhase.STARTING;
    }

    /** Marks the task to be stopped; the reason and mode of an earlier mark stay. */
    void markStopping(String why, boolean withCheckpoint) {
        if (phase != GuardTaskPhase.STOPPING) {
            phase = GuardTaskPhase.STOPPING;
            reason = why;
            stopWithCheckpoint = withCheckpoint;
        }
    }

    void finish(GuardTaskPhase finalPhase, String why) {
        phase = finalPhase;
        reason = why == null || why.isEmpty() ? reason : why;
        startPending = false;
        stopPending = false;
    }

    GuardTaskView view(long shardTerm) {
        return new GuardTaskView(task, shard, shardTerm, phase, checkpoint, reason, used, usageLagMs);
    }
}
