package org.fulmarreach.core.interference;

import org.fulmarreach.core.model.TaskId;

/**
 * A batch or standing task beside the service. Immutable.
 *
 * @param task id of the task
 * @param usedMilliCores processors that it used {@code usageLagMs} ago, in thousandths of a core; 0 while not known
 * @param usageLagMs age of that figure in milliseconds
 */
public record RunningTask(TaskId task, int usedMilliCores, int usageLagMs) {}
