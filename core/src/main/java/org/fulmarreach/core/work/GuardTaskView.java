package org.fulmarreach.core.work;

import org.fulmarreach.core.model.Resources;
import org.fulmarreach.core.model.TaskId;

/**
 * A task as the guard reports it. Immutable.
 *
 * @param task id
 * @param shard shard of the leader that started or renewed it; empty for a task of an earlier incarnation
 * @param term highest term that the guard has seen for the shard; 0 for a task of an earlier incarnation. A new leader
 *     takes it as the proof that no message of its predecessor is accepted any more
 * @param phase phase
 * @param checkpoint progress to go on from; null for none
 * @param reason why it ended or was refused; null for none
 * @param used use reported last
 * @param usageLagMs age of that use in milliseconds
 */
public record GuardTaskView(
        TaskId task,
        String shard,
        long term,
        GuardTaskPhase phase,
        String checkpoint,
        String reason,
        Resources used,
        int usageLagMs) {}
