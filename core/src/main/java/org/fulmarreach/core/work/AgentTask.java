package org.fulmarreach.core.work;

import org.fulmarreach.core.model.Resources;
import org.fulmarreach.core.model.TaskId;

/**
 * A task as the worker agent lists it. Immutable.
 *
 * @param task id of the task
 * @param phase RUNNING or a final phase
 * @param usage resource usage {@code usageLagMs} ago
 * @param usageLagMs age of the usage figures in milliseconds
 * @param reason why the task ended; empty if none was given
 */
public record AgentTask(TaskId task, GuardTaskPhase phase, Resources usage, int usageLagMs, String reason) {}
