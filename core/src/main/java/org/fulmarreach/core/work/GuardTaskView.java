package org.fulmarreach.core.work;

import org.fulmarreach.core.model.Resources;
import org.fulmarreach.core.model.TaskId;

/**
 * State of a task as the guard reports it. Immutable.
 *
 * @param task id of the task
 * @param shard shard of the leader that started or renewed it; empty for a task of an earlier incarnation
 * @param term highest term that the guard has seen for the shard; 0 for a task of an earlier incarnation. For a new
 *     leader it proves that the guard no longer accepts messages from its predecessor
 * @param phase phase of the task
 * @param checkpoint latest checkpoint; null if there is none
 * @param reason why the task is being stopped, ended or was refused; null if there is none
 * @param usage last reported resource usage
 * @param usageLagMs age of that usage in milliseconds
 */
public record GuardTaskView(
        TaskId task,
        String shard,
        long term,
        GuardTaskPhase phase,
        String checkpoint,
        String reason,
        Resources usage,
        int usageLagMs) {}
