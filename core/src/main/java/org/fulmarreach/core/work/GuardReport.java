package org.fulmarreach.core.work;

import java.util.List;

import org.fulmarreach.core.model.Resources;
import org.fulmarreach.core.model.TaskId;
import org.fulmarreach.core.model.Vm;

/**
 * A heartbeat of a guard. Immutable.
 *
 * @param vm VM with its capacity
 * @param service service of the target on the same VM
 * @param incarnation incarnation of the guard
 * @param tickMs reading of the guard's monotonic clock in milliseconds
 * @param ready whether the VM accepts new work
 * @param workerFailing whether the worker has repeatedly failed to start tasks
 * @param free resources that the guard can still admit
 * @param tasks states of the tasks of all shards
 */
public record GuardReport(
        Vm vm,
        String service,
        long incarnation,
        long tickMs,
        boolean ready,
        boolean workerFailing,
        Resources free,
        List<TaskReport> tasks) {
    /** Constructs a report with its own copy of the list. */
    public GuardReport {
        tasks = List.copyOf(tasks);
    }

    /** Returns the state of a task, or null if the guard did not report it. */
    public TaskReport find(TaskId task) {
        for (TaskReport report : tasks) {
            if (report.task().equals(task)) {
                return report;
            }
        }
        return null;
    }
}
