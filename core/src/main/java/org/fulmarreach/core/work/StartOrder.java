package org.fulmarreach.core.work;

import org.fulmarreach.core.model.Resources;
import org.fulmarreach.core.model.TaskId;

/**
 * A leader's order to start a task. Immutable.
 *
 * @param shard shard of the task
 * @param term term of the leader
 * @param task id of the task
 * @param command command to run
 * @param size declared resource usage
 * @param checkpoint checkpoint to resume from; null to start from the beginning
 * @param tickEchoMs tick of the guard's last heartbeat that the leader saw
 * @param leaseMs duration of the grant in milliseconds, counted from that tick
 * @param incarnation guard incarnation that may start the task
 */
public record StartOrder(
        String shard,
        long term,
        TaskId task,
        String command,
        Resources size,
        String checkpoint,
        long tickEchoMs,
        int leaseMs,
        long incarnation) {}
