package org.fulmarreach.core.interference;

import org.fulmarreach.core.model.TaskId;

/**
 * A batch or standing task on the same VM as the service. Immutable.
 *
 * @param task id of the task
 * @param usedMilliCores CPU usage {@code usageLagMs} ago, in thousandths of a core; 0 if not known yet
 * @param usageLagMs age of the reported usage in milliseconds
 */
public record RunningTask(TaskId task, int usedMilliCores, int usageLagMs) {}
