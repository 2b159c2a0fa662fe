package org.fulmarreach.core.work;

import java.util.ArrayList;
import java.util.List;

import org.fulmarreach.core.exc.InvariantViolationException;
import org.fulmarreach.core.model.TaskId;

/**
 * Queue of a guard's actions at its worker agent: starts, lease renewals, and stops with their retries. No requested
 * lease ends after the grant of its task. Not thread-safe; owned by {@link GuardTasks}.
 */
final class WorkerActions {
    private static final long RENEW_INTERVAL_MS = 1_000;
    private static final long STOP_RETRY_INTERVAL_MS = 1_000;

    private final TrackedTasks tasks;
    private final int workerLeaseMs;
    private List<TaskAction> actions = new ArrayList<>();

    WorkerActions(TrackedTasks tasks, int workerLeaseMs) {
        this.tasks = tasks;
        this.workerLeaseMs = workerLeaseMs;
    }

    /** Returns the actions added since the last call, in order. */
    List<TaskAction> drainActions() {
        List<TaskAction> drained = actions;
        actions = new ArrayList<>();
        return drained;
    }

    /** Starts a task with a lease that does not outlast its grant. */
    void start(TrackedTask tracked, StartOrder order, long nowMs) {
        actions.add(new TaskAction.Start(
                order.task(), leaseWithinGrant(tracked, nowMs), order.size(), order.command(), order.checkpoint()));
    }

    /** Stops a task that the guard does not track or has recorded as ended. */
    void stopUnknown(TaskId task) {
        actions.add(new TaskAction.Stop(task, false, false));
    }

    /** Renews the leases that are due, for running tasks with a grant. */
    void sendRenewals(long nowMs) {
        for (TrackedTask tracked : tasks.all()) {
            boolean due = nowMs - tracked.renewSentMs >= RENEW_INTERVAL_MS;
            if (tracked.phase == GuardTaskPhase.RUNNING && tracked.grantEndMs != TrackedTask.NO_GRANT && due) {
                tracked.renewSentMs = nowMs;
                actions.add(new TaskAction.Renew(tracked.task, leaseWithinGrant(tracked, nowMs)));
            }
        }
    }

    /**
     * Sends the stops that are due. The agent may handle a pending start after the stop, so a stop that was sent before
     * the start was answered is sent again afterwards.
     */
    void sendStops(long nowMs) {
        for (TrackedTask tracked : tasks.all()) {
            boolean due =
                    tracked.stopSentMs == TrackedTask.NEVER || nowMs - tracked.stopSentMs >= STOP_RETRY_INTERVAL_MS;
            if (tracked.phase == GuardTaskPhase.STOPPING && !tracked.stopPending && due) {
                tracked.stopSentMs = nowMs;
                tracked.stopPending = !tracked.startPending;
                actions.add(new TaskAction.Stop(tracked.task, tracked.stopWithCheckpoint, !tracked.startPending));
            }
        }
    }

    /** Returns a lease that ends no later than the grant, apart from the latency of the call to the agent. */
    private int leaseWithinGrant(TrackedTask tracked, long nowMs) {
        if (tracked.grantEndMs == TrackedTask.NO_GRANT || tracked.grantEndMs <= nowMs) {
            throw new InvariantViolationException("I2: lease of " + tracked.task + " requested "
                    + (nowMs - tracked.grantEndMs) + " ms after its grant expired");
        }
        return (int) Math.min(workerLeaseMs, tracked.grantEndMs - nowMs);
    }
}
