package org.fulmarreach.core.work;

import org.fulmarreach.core.model.Resources;
import org.fulmarreach.core.model.TaskId;

/**
 * A leader's order to start a task. Immutable.
 *
 * @param shard shard of the task
 * @param term term of the leader
 * @param task id
 * @param command what to run
 * @param size declared size
 * @param checkpoint progress to go on from; null for none
 * @param tickEchoMs tick of the guard's last heartbeat that the leader saw
 * @param leaseMs length of the grant from that tick, in milliseconds
 * @param incarnation incarnation of the guard that is meant
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
