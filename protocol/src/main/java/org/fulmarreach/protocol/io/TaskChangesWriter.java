package org.fulmarreach.protocol.io;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.fulmarreach.protocol.thrift.Heartbeat;
import org.fulmarreach.protocol.thrift.TaskId;
import org.fulmarreach.protocol.thrift.TaskStatus;

/**
 * Reduces the task list of a guard's heartbeat to the tasks that changed since the previous heartbeat on the same
 * connection. A full list of 14 tasks in each heartbeat would take 2 KB/s to each entry, out of a total budget of
 * 3 KB/s per node. Connections are ordered and reliable, so {@link TaskChangesReader} restores the full list at the
 * other end. Use one writer per connection; not thread-safe.
 */
public final class TaskChangesWriter {
    /**
     * Minimum interval between updates of a task of which only the usage has changed. Measured usage changes
     * continuously.
     */
    static final long USAGE_INTERVAL_MS = 5_000;

    private record Sent(TaskStatus status, long sentAtMs) {}

    private final Map<TaskId, Sent> sent = new HashMap<>();
    private boolean fullListSent;

    /**
     * Constructs the heartbeat to send.
     *
     * @param full heartbeat with all tasks; not changed
     * @param nowMs time on a monotonic clock in milliseconds
     * @return a heartbeat with all tasks on the first call, and with the changed and removed ones on later calls
     */
    public Heartbeat write(Heartbeat full, long nowMs) {
        List<TaskStatus> changed = new ArrayList<>();
        Set<TaskId> present = new HashSet<>();
        for (TaskStatus status : full.getTasks()) {
            present.add(status.getTask());
            Sent previous = sent.get(status.getTask());
            if (previous == null || isDue(previous, status, nowMs)) {
                changed.add(status);
                sent.put(status.getTask(), new Sent(status.deepCopy(), nowMs));
            }
        }
        List<TaskId> removed =
                sent.keySet().stream().filter(id -> !present.contains(id)).toList();
        removed.forEach(sent::remove);
        Heartbeat reduced = full.deepCopy();
        reduced.setTasks(changed);
        reduced.setTasksAreChanges(fullListSent);
        if (fullListSent && !removed.isEmpty()) {
            reduced.setGoneTasks(removed);
        }
        fullListSent = true;
        return reduced;
    }

    private static boolean isDue(Sent previous, TaskStatus status, long nowMs) {
        if (!withoutUsage(previous.status).equals(withoutUsage(status))) {
            return true;
        }
        return nowMs - previous.sentAtMs >= USAGE_INTERVAL_MS && !previous.status.equals(status);
    }

    private static TaskStatus withoutUsage(TaskStatus status) {
        return status.deepCopy().setUsedMilliCores(0).setUsedMemoryMb(0).setUsageLagMs(0);
    }
}
