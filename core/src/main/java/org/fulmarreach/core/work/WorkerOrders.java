package org.fulmarreach.core.work;

import java.util.ArrayList;
import java.util.List;

import org.fulmarreach.core.exc.InvariantViolationException;
import org.fulmarreach.core.model.TaskId;

/**
 * Orders of a guard to its worker agent, in order: what to start, renew and stop, and when to repeat it. No lease that
 * it asks for ends after the grant of its task. Not thread-safe; owned by {@link GuardTasks}.
 */
final class WorkerOrders {
    private static final long RENEW_INTERVAL_MS = 1_000;
    private static final long STOP_RETRY_MS = 1_000;

    private final HeldTasks tasks;
    private final int workerLeaseMs;
    private List<TaskAction> actions = new ArrayList<>();

    WorkerOrders(HeldTasks tasks, int workerLeaseMs) {
        this.tasks = tasks;
        this.workerLeaseMs = workerLeaseMs;
    }

    /** Returns the orders since the last call. */
    List<TaskAction> takeActions() {
        List<TaskAction> taken = actions;
        actions = new ArrayList<>();
        return taken;
    }

    /** Starts a task with a lease that ends with its grant at the latest. */
    void start(HeldTask held, StartOrder order, long nowMs) {
        actions.add(new TaskAction.Start(
                order.task(), leaseWithinGrant(held, nowMs), order.size(), order.command(), order.checkpoint()));
    }

    /** Stops a task that is not held. */
    void stopUnknown(TaskId task) {
        actions.add(new TaskAction.Stop(task, false, false));
    }

    /** Renews the tasks that are due and have a grant. */
    void sendRenewals(long nowMs) {
        for (HeldTask held : tasks.all()) {
            boolean due = nowMs - held.renewSentMs >= RENEW_INTERVAL_MS;
            if (held.phase == GuardTaskPhase.RUNNING && held.grantEndMs != HeldTask.NO_GRANT && due) {
                held.renewSentMs = nowMs;
                actions.add(new TaskAction.Renew(held.task, leaseWithinGrant(held, nowMs)));
            }
        }
    }

    /** A start under way may overtake a stop, so a stop sent before the start was answered is sent again after it. */
    void sendStops(long nowMs) {
        for (HeldTask held : tasks.all()) {
            boolean due = held.stopSentMs == HeldTask.NEVER || nowMs - held.stopSentMs >= STOP_RETRY_MS;
            if (held.phase == GuardTaskPhase.STOPPING && !held.stopPending && due) {
                held.stopSentMs = nowMs;
                held.stopPending = !held.startPending;
                actions.add(new TaskAction.Stop(held.task, held.stopWithCheckpoint, !held.startPending));
            }
        }
    }

    /** The lease at the agent ends with the grant at the latest, apart from the time that the call travels. */
    private int leaseWithinGrant(HeldTask held, long nowMs) {
        if (held.grantEndMs == HeldTask.NO_GRANT || held.grantEndMs <= nowMs) {
            throw new InvariantViolationException(
                    "I2: " + held.task + " would be renewed past its grant, " + (nowMs - held.grantEndMs) + " ms late");
        }
        return (int) Math.min(workerLeaseMs, held.grantEndMs - nowMs);
    }
}
