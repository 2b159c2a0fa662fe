package org.fulmarreach.core.work;

import java.util.Collection;
import java.util.Collections;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.fulmarreach.core.admission.TaskAdmission;
import org.fulmarreach.core.exc.InvariantViolationException;
import org.fulmarreach.core.model.TaskId;

/**
 * Table of the tasks that a guard holds and of the ids that it has forgotten but still refuses. Ending or adopting a
 * task here also releases or takes its resources at the admission. Not thread-safe; owned by {@link GuardTasks}.
 */
final class HeldTasks {
    /** Far longer than a start can be under way, so that a late start of a forgotten id is refused by its age. */
    private static final long TOMBSTONE_MS = 60_000;

    private final TaskAdmission admission;
    private final Map<TaskId, HeldTask> tasks = new LinkedHashMap<>();
    private final Map<TaskId, Long> tombstones = new LinkedHashMap<>();

    /** A run of a work, whose epochs must not overlap. */
    private record Run(String work, long run) {}

    HeldTasks(TaskAdmission admission) {
        this.admission = admission;
    }

    /** Returns the task; null if it is not held. */
    HeldTask find(TaskId task) {
        return tasks.get(task);
    }

    boolean contains(TaskId task) {
        return tasks.containsKey(task);
    }

    /** Returns all tasks in the order in which they came; a view. */
    Collection<HeldTask> all() {
        return Collections.unmodifiableCollection(tasks.values());
    }

    /** Finds an epoch of the same run that has not ended. */
    Optional<HeldTask> findLive(TaskId task) {
        for (HeldTask held : tasks.values()) {
            boolean sameRun = held.task.run() == task.run() && held.task.work().equals(task.work());
            if (sameRun && !held.phase.isFinal()) {
                return Optional.of(held);
            }
        }
        return Optional.empty();
    }

    void add(HeldTask held) {
        tasks.put(held.task, held);
    }

    void refuse(String shard, TaskId task, String reason) {
        HeldTask refused = new HeldTask(task, shard, GuardTaskPhase.REFUSED);
        refused.reason = reason;
        tasks.put(task, refused);
    }

    void refuseIfAbsent(String shard, TaskId task, String reason) {
        if (!tasks.containsKey(task)) {
            refuse(shard, task, reason);
        }
    }

    /** Holds a task that an earlier incarnation started; of two epochs of a run the older one is stopped. */
    HeldTask adopt(AgentTask agentTask, long nowMs) {
        HeldTask held = new HeldTask(agentTask.task(), "", GuardTaskPhase.RUNNING);
        findLive(held.task).ifPresent(other -> {
            boolean otherIsOlder = other.task.epoch() < held.task.epoch();
            (otherIsOlder ? other : held).markStopping("EPOCH_SUPERSEDED", false);
        });
        tasks.put(held.task, held);
        admission.adopt(held.task, agentTask.used(), nowMs);
        return held;
    }

    /** The earlier incarnation may not have reported the end; its leader may have forgotten it, so it is dropped. */
    void adoptEnded(AgentTask agentTask, long nowMs) {
        HeldTask held = new HeldTask(agentTask.task(), "", agentTask.phase());
        held.reason = agentTask.reason();
        held.dropAtMs = nowMs + TOMBSTONE_MS;
        tasks.put(held.task, held);
    }

    void end(HeldTask held, GuardTaskPhase phase, String reason) {
        held.finish(phase, reason);
        held.startUnclear = false;
        admission.release(held.task);
    }

    /** Marks the tasks to be stopped whose grants have lapsed. */
    void stopLapsed(long nowMs) {
        for (HeldTask held : tasks.values()) {
            if (held.isLive() && held.grantEndMs != HeldTask.NO_GRANT && held.grantEndMs <= nowMs) {
                held.markStopping("GRANT_LAPSED", false);
            }
        }
    }

    /** Forgets a task that has ended; its id is refused for some time. */
    void forget(TaskId task, long nowMs) {
        HeldTask held = tasks.get(task);
        if (held != null && held.phase.isFinal()) {
            tasks.remove(task);
            tombstones.put(task, nowMs + TOMBSTONE_MS);
        }
    }

    /** Tells whether the id belongs to a task that was forgotten a short time ago. */
    boolean isForgotten(TaskId task) {
        return tombstones.containsKey(task);
    }

    /** Drops old ids and old ends of an earlier incarnation. */
    void dropOutdated(long nowMs) {
        tombstones.values().removeIf(untilMs -> untilMs <= nowMs);
        tasks.values().removeIf(held -> held.phase.isFinal() && held.dropAtMs <= nowMs);
    }

    /** Checks invariant I2 on this VM. */
    void requireSingleEpochs() {
        Set<Run> live = new HashSet<>();
        for (HeldTask held : tasks.values()) {
            if (held.isLive() && !live.add(new Run(held.task.work(), held.task.run()))) {
                throw new InvariantViolationException("I2: two live epochs of " + held.task);
            }
        }
    }
}
