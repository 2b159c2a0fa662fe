package org.fulmarreach.core.admission;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

import org.fulmarreach.core.exc.ErrorCode;
import org.fulmarreach.core.exc.InvariantViolationException;
import org.fulmarreach.core.exc.Problem;
import org.fulmarreach.core.exc.Result;
import org.fulmarreach.core.model.Resources;
import org.fulmarreach.core.model.TaskId;

/**
 * Processors, memory and accelerators of one VM. A task is admitted if the estimates of all tasks and the reserve
 * of the service fit. Declared sizes may be wrong by 5 times either way, so use can exceed the capacity afterwards;
 * {@link #overload()} tells by how much. Owned by one thread.
 */
public final class TaskAdmission {
    private static final int MAX_LEARNED_WORK = 1_024;
    private static final long RETRY_MS = 5_000;

    private final Map<TaskId, UsageEstimate> tasks = new HashMap<>();
    private final ServiceReserve service = new ServiceReserve();
    private final Map<String, Resources> learned = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Resources> eldest) {
            return size() > MAX_LEARNED_WORK;
        }
    };
    private Resources capacity = Resources.NONE;

    /** Sets the resources that the VM holds for tasks and service together. */
    public void setCapacity(Resources newCapacity) {
        capacity = newCapacity;
    }

    /** Notes the slots of the service. */
    public void observeService(int busySlots, int announcedSlots, long nowMs) {
        service.observe(busySlots, announcedSlots, nowMs);
    }

    /**
     * Admits a task.
     *
     * @param declared declared size; used only until the use of the same work has been seen on this VM
     * @return the estimate that is held for it, or {@code NO_CAPACITY}
     */
    public Result<Resources> admit(TaskId task, Resources declared, long nowMs) {
        if (tasks.containsKey(task)) {
            throw new InvariantViolationException("I1: " + task + " is admitted already");
        }
        Resources wanted = learned.getOrDefault(task.work(), declared);
        Resources free = free();
        if (!wanted.fitsInto(free)) {
            return Result.err(Problem.of(ErrorCode.NO_CAPACITY, "The task needs " + wanted + ", free is " + free + ".")
                    .withRetryAfterMs(RETRY_MS));
        }
        tasks.put(task, new UsageEstimate(wanted, nowMs));
        if (!estimated().plus(reserve()).fitsInto(capacity)) {
            throw new InvariantViolationException("I1: " + estimated() + " and " + reserve() + " over " + capacity);
        }
        return Result.ok(wanted);
    }

    /** Takes over a task that runs already, whether it fits or not. */
    public void adopt(TaskId task, Resources used, long nowMs) {
        UsageEstimate estimate = new UsageEstimate(used, nowMs);
        estimate.observe(used, nowMs);
        tasks.put(task, estimate);
    }

    /** Notes the use that the worker agent reported for a task. Unknown tasks are ignored. */
    public void observe(TaskId task, Resources used, long nowMs) {
        UsageEstimate estimate = tasks.get(task);
        if (estimate != null) {
            estimate.observe(used, nowMs);
        }
    }

    /** Gives back what a task held, and keeps its estimate for the next start of the same work. */
    public void release(TaskId task) {
        UsageEstimate estimate = tasks.remove(task);
        if (estimate != null && !estimate.lastUsed().equals(Resources.NONE)) {
            learned.put(task.work(), estimate.estimate());
        }
    }

    /** Returns what further tasks may use; a dimension is negative when the use exceeds the capacity. */
    public Resources free() {
        return capacity.minus(reserve()).minus(estimated());
    }

    /** Returns what is kept for the service. */
    public Resources reserve() {
        return service.reserve(capacity);
    }

    /** Returns the resources of the VM; none while not known. */
    public Resources capacity() {
        return capacity;
    }

    /** Returns how far the reported use exceeds what the VM holds for tasks. */
    public Overload overload() {
        Resources used = Resources.NONE;
        for (UsageEstimate estimate : tasks.values()) {
            used = used.plus(estimate.lastUsed());
        }
        Resources held = capacity.minus(reserve());
        return new Overload(
                used.milliCores() / (double) Math.max(1, held.milliCores()),
                used.memoryMb() / (double) Math.max(1, held.memoryMb()));
    }

    /**
     * Reported use over what the VM holds for tasks; above 1 it is exceeded.
     *
     * @param cores part of the processors; throttling lowers it
     * @param memory part of the memory; only stopping a task lowers it
     */
    public record Overload(double cores, double memory) {}

    private Resources estimated() {
        Resources sum = Resources.NONE;
        for (UsageEstimate estimate : tasks.values()) {
            sum = sum.plus(estimate.estimate());
        }
        return sum;
    }
}
