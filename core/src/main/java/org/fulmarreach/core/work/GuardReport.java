package org.fulmarreach.core.work;

import java.util.List;

import org.fulmarreach.core.model.Resources;
import org.fulmarreach.core.model.TaskId;
import org.fulmarreach.core.model.Vm;

/**
 * A heartbeat of a guard. Immutable.
 *
 * @param vm VM with its capacity
 * @param service service of the target beside the guard
 * @param incarnation incarnation of the guard
 * @param tickMs clock of the guard
 * @param ready whether the VM takes new work
 * @param workerFailing whether the guard has seen its worker fail starts
 * @param free resources that the guard would still admit
 * @param tasks tasks of all shards
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

    /** Returns the state of a task; null when the guard does not know it. */
    public TaskReport find(TaskId task) {
        for (TaskReport report : tasks) {
            if (report.task().equals(task)) {
                return report;
            }
        }
        return null;
    }
}
