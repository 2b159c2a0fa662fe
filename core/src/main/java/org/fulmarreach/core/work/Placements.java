package org.fulmarreach.core.work;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.fulmarreach.core.model.TaskId;

/** Live placements of a shard, indexed by task and by VM. Not thread-safe; owned by its {@link ShardLeader}. */
final class Placements {
    private final Map<TaskId, Placement> byTask = new LinkedHashMap<>();
    private final Map<String, Map<TaskId, Placement>> byVm = new HashMap<>();

    void add(Placement placement) {
        byTask.put(placement.task, placement);
        byVm.computeIfAbsent(placement.vm, vm -> new LinkedHashMap<>()).put(placement.task, placement);
    }

    void remove(TaskId task) {
        Placement placement = byTask.remove(task);
        if (placement != null) {
            Map<TaskId, Placement> onVm = byVm.get(placement.vm);
            onVm.remove(task);
            if (onVm.isEmpty()) {
                byVm.remove(placement.vm);
            }
        }
    }

    void clear() {
        byTask.clear();
        byVm.clear();
    }

    /** Returns the placement of a task, or null if it has none. */
    Placement find(TaskId task) {
        return byTask.get(task);
    }

    Collection<Placement> all() {
        return Collections.unmodifiableCollection(byTask.values());
    }

    /** Returns a copy of the placements on a VM. */
    List<Placement> findOn(String vm) {
        return List.copyOf(byVm.getOrDefault(vm, Map.of()).values());
    }
}
