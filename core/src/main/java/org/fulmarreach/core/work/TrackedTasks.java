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
 * Table of the tasks that a guard tracks, and of removed task ids that it still refuses. Ending a task releases its
 * resources at the admission control, and adopting a running task reserves them. Not thread-safe; owned by
 * {@link GuardTasks}.
 */
final class TrackedTasks {
    /**
     * Far longer than the maximum age of a start order, so that a later start of a removed id is refused as too old.
     */
    private static final long TOMBSTONE_MS = 60_000;

    private final TaskAdmission admission;
    private final Map<TaskId, TrackedTask> tasks = new LinkedHashMap<>();
    private final Map<TaskId, Long> tombstones = new LinkedHashMap<>();

    /** A run of a unit of work; the executions of its epochs must not overlap. */
    private record Run(String work, long run) {}

    TrackedTasks(TaskAdmission admission) {
        this.admission = admission;
    }

    /** Returns the task, or null if it is not tracked. */
    TrackedTask find(TaskId task) {
        return tasks.get(task);
    }

    boolean contains(TaskId task) {
        return tasks.containsKey(task);
    }

    /** Returns an unmodifiable view of all tasks in insertion order. */
    Collection<TrackedTask> all() {
        return Collections.unmodifiableCollection(tasks.values());
    }

    /** Returns a task of the same run, with any epoch, that has not ended. */
    Optional<TrackedTask> findLive(TaskId task) {
        for (TrackedTask tracked : tasks.values()) {
            boolean sameRun =
                    tracked.task.run() == task.run() && tracked.task.work().equals(task.work());
            if (sameRun && !tracked.phase.isFinal()) {
                return Optional.of(tracked);
            }
        }
        return Optional.empty();
    }

    void add(TrackedTask tracked) {
        tasks.put(tracked.task, tracked);
    }

    void refuse(String shard, TaskId task, String reason) {
        TrackedTask refused = new TrackedTask(task, shard, GuardTaskPhase.REFUSED);
        refused.reason = reason;
        tasks.put(task, refused);
    }

    void refuseIfAbsent(String shard, TaskId task, String reason) {
        if (!tasks.containsKey(task)) {
            refuse(shard, task, reason);
        }
    }

    /** Adopts a task that an earlier guard incarnation started; of two epochs of a run, the older one is stopped. */
    TrackedTask adopt(AgentTask agentTask, long nowMs) {
        TrackedTask tracked = new TrackedTask(agentTask.task(), "", GuardTaskPhase.RUNNING);
        findLive(tracked.task).ifPresent(other -> {
            boolean otherIsOlder = other.task.epoch() < tracked.task.epoch();
            (otherIsOlder ? other : tracked).markStopping("EPOCH_SUPERSEDED", false);
        });
        tasks.put(tracked.task, tracked);
        admission.adopt(tracked.task, agentTask.usage(), nowMs);
        return tracked;
    }

    /**
     * Tracks a task that ended under an earlier guard incarnation, which may not have reported the end. The task is
     * removed after some time, because its leader may no longer know it and never acknowledge it.
     */
    void adoptEnded(AgentTask agentTask, long nowMs) {
        TrackedTask tracked = new TrackedTask(agentTask.task(), "", agentTask.phase());
        tracked.reason = agentTask.reason();
        tracked.dropAtMs = nowMs + TOMBSTONE_MS;
        tasks.put(tracked.task, tracked);
    }

    void end(TrackedTask tracked, GuardTaskPhase phase, String reason) {
        tracked.finish(phase, reason);
        tracked.startOutcomeUnknown = false;
        admission.release(tracked.task);
    }

    /** Marks tasks whose grants have expired to be stopped. */
    void stopLapsed(long nowMs) {
        for (TrackedTask tracked : tasks.values()) {
            if (tracked.isLive() && tracked.grantEndMs != TrackedTask.NO_GRANT && tracked.grantEndMs <= nowMs) {
                tracked.markStopping("GRANT_LAPSED", false);
            }
        }
    }

    /** Removes a task that has ended; its id is refused for {@link #TOMBSTONE_MS}. */
    void forget(TaskId task, long nowMs) {
        TrackedTask tracked = tasks.get(task);
        if (tracked != null && tracked.phase.isFinal()) {
            tasks.remove(task);
            tombstones.put(task, nowMs + TOMBSTONE_MS);
        }
    }

    /** Returns whether the task was removed recently, so that its id is still refused. */
    boolean hasTombstone(TaskId task) {
        return tombstones.containsKey(task);
    }

    /** Removes expired tombstones and expired final states of earlier incarnations. */
    void dropOutdated(long nowMs) {
        tombstones.values().removeIf(untilMs -> untilMs <= nowMs);
        tasks.values().removeIf(tracked -> tracked.phase.isFinal() && tracked.dropAtMs <= nowMs);
    }

    /**
     * Checks invariant I2 on this VM: at most one epoch of a run is live.
     *
     * @throws InvariantViolationException if two epochs are live
     */
    void requireSingleEpochs() {
        Set<Run> live = new HashSet<>();
        for (TrackedTask tracked : tasks.values()) {
            if (tracked.isLive() && !live.add(new Run(tracked.task.work(), tracked.task.run()))) {
                throw new InvariantViolationException("I2: two live epochs of " + tracked.task);
            }
        }
    }
}
