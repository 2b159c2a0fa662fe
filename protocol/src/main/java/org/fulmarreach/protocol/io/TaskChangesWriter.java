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
 * Reduces the tasks of a guard's heartbeats to those that changed since the last one on the same connection. A full
 * list of 14 tasks in each heartbeat is 2 KB a second to each entry, of the 3 KB a second that a node may spend in all.
 * The connection keeps order and loses nothing, so {@link TaskChangesReader} at the other end restores the full list.
 * One writer for each connection; not thread-safe.
 */
public final class TaskChangesWriter {
    /** Measured usage changes all the time; a task whose usage alone has changed is sent again after this long. */
    static final long USAGE_EVERY_MS = 5_000;

    private record Sent(TaskStatus status, long atMs) {}

    private final Map<TaskId, Sent> sent = new HashMap<>();
    private boolean started;

    /**
     * Constructs the heartbeat to send.
     *
     * @param full heartbeat with all tasks; not changed
     * @param nowMs time on a monotonic clock in milliseconds
     * @return a heartbeat with all tasks the first time, afterwards with the changed and gone ones
     */
    public Heartbeat write(Heartbeat full, long nowMs) {
        List<TaskStatus> changed = new ArrayList<>();
        Set<TaskId> present = new HashSet<>();
        for (TaskStatus status : full.getTasks()) {
            present.add(status.getTask());
            Sent last = sent.get(status.getTask());
            if (last == null || isDue(last, status, nowMs)) {
                changed.add(status);
                sent.put(status.getTask(), new Sent(status.deepCopy(), nowMs));
            }
        }
        List<TaskId> gone =
                sent.keySet().stream().filter(id -> !present.contains(id)).toList();
        gone.forEach(sent::remove);
        Heartbeat reduced = full.deepCopy();
        reduced.setTasks(changed);
        reduced.setTasksAreChanges(started);
        if (started && !gone.isEmpty()) {
            reduced.setGoneTasks(gone);
        }
        started = true;
        return reduced;
    }

    private static boolean isDue(Sent last, TaskStatus status, long nowMs) {
        if (!withoutUsage(last.status).equals(withoutUsage(status))) {
            return true;
        }
        return nowMs - last.atMs >= USAGE_EVERY_MS && !last.status.equals(status);
    }

    private static TaskStatus withoutUsage(TaskStatus status) {
        return status.deepCopy().setUsedMilliCores(0).setUsedMemoryMb(0).setUsageLagMs(0);
    }
}
