package org.fulmarreach.core.work;

import org.fulmarreach.core.model.Resources;
import org.fulmarreach.core.model.TaskId;

/**
 * A task as the worker agent lists it. Immutable.
 *
 * @param task id
 * @param phase RUNNING or a final phase
 * @param used use {@code lagMs} ago
 * @param lagMs age of the use in milliseconds
 * @param reason why it ended, or empty
 */
public record AgentTask(TaskId task, GuardTaskPhase phase, Resources used, int lagMs, String reason) {}
