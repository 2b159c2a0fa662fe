package org.fulmarreach.protocol.io;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.fulmarreach.protocol.thrift.Heartbeat;
import org.fulmarreach.protocol.thrift.TaskId;
import org.fulmarreach.protocol.thrift.TaskStatus;

/**
 * Restores the full task list of a guard's heartbeats from the changes that {@link TaskChangesWriter} sends. Use one
 * reader per connection; not thread-safe.
 */
public final class TaskChangesReader {
    private final Map<TaskId, TaskStatus> tasksById = new LinkedHashMap<>();

    /**
     * Restores a heartbeat.
     *
     * @param heartbeat heartbeat as received; its task list is replaced by the full one, its list of removed tasks
     *     is unset
     * @return {@code heartbeat}
     */
    public Heartbeat read(Heartbeat heartbeat) {
        if (!heartbeat.isTasksAreChanges()) {
            tasksById.clear();
        }
        if (heartbeat.isSetGoneTasks()) {
            heartbeat.getGoneTasks().forEach(tasksById::remove);
        }
        List<TaskStatus> changes = heartbeat.getTasks() == null ? List.of() : heartbeat.getTasks();
        for (TaskStatus status : changes) {
            if (status.getTask() != null) {
                tasksById.put(status.getTask(), status);
            }
        }
        heartbeat.setTasks(new ArrayList<>(tasksById.values()));
        heartbeat.unsetGoneTasks();
        heartbeat.setTasksAreChanges(false);
        return heartbeat;
    }
}
