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
 * Admission control for the tasks of one VM by processors, memory and accelerators. A task is admitted if the estimates
 * of all tasks and the reserve of the service fit into the capacity. Declared sizes can be wrong by a factor of 5 in
 * either direction, so the usage of admitted tasks can exceed the capacity; {@link #overload()} returns by how much.
 * Not thread-safe: confined to one thread.
 */
public final class TaskAdmission {
    private static final int MAX_LEARNED_SIZES = 1_024;
    private static final long RETRY_DELAY_MS = 5_000;

    private final Map<TaskId, UsageEstimate> estimatesByTask = new HashMap<>();
    private final ServiceReserve serviceReserve = new ServiceReserve();
    private final Map<String, Resources> learnedSizesByWork = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Resources> eldest) {
            return size() > MAX_LEARNED_SIZES;
        }
    };
    private Resources capacity = Resources.NONE;

    /** Sets the total capacity of the VM for tasks and service. */
    public void setCapacity(Resources newCapacity) {
        capacity = newCapacity;
    }

    /** Records the current numbers of busy and announced slots of the service. */
    public void observeService(int busySlots, int announcedSlots, long nowMs) {
        serviceReserve.observe(busySlots, announcedSlots, nowMs);
    }

    /**
     * Admits a task.
     *
     * @param declared declared size; used only until usage of the same work has been observed on this VM
     * @return the resources that are reserved for the task, or {@code NO_CAPACITY}
     */
    public Result<Resources> admit(TaskId task, Resources declared, long nowMs) {
        if (estimatesByTask.containsKey(task)) {
            throw new InvariantViolationException("I1: " + task + " is already admitted");
        }
        Resources requested = learnedSizesByWork.getOrDefault(task.work(), declared);
        Resources free = free();
        if (!requested.fitsInto(free)) {
            return Result.err(Problem.of(
                            ErrorCode.NO_CAPACITY, "The task needs " + requested + ", but only " + free + " is free.")
                    .withRetryAfterMs(RETRY_DELAY_MS));
        }
        estimatesByTask.put(task, new UsageEstimate(requested, nowMs));
        if (!sumEstimates().plus(reserve()).fitsInto(capacity)) {
            throw new InvariantViolationException("I1: task estimates of " + sumEstimates()
                    + " and a service reserve of " + reserve() + " exceed the capacity of " + capacity);
        }
        return Result.ok(requested);
    }

    /** Adds a task that is already running, whether it fits or not. */
    public void adopt(TaskId task, Resources used, long nowMs) {
        UsageEstimate estimate = new UsageEstimate(used, nowMs);
        estimate.observe(used, nowMs);
        estimatesByTask.put(task, estimate);
    }

    /** Records the usage that the worker agent reported for a task. Unknown tasks are ignored. */
    public void observe(TaskId task, Resources used, long nowMs) {
        UsageEstimate estimate = estimatesByTask.get(task);
        if (estimate != null) {
            estimate.observe(used, nowMs);
        }
    }

    /** Releases the resources of a task, and keeps its estimate for the next admission of the same work. */
    public void release(TaskId task) {
        UsageEstimate estimate = estimatesByTask.remove(task);
        if (estimate != null && !estimate.lastUsed().equals(Resources.NONE)) {
            learnedSizesByWork.put(task.work(), estimate.estimate());
        }
    }

    /** Returns the resources left for further tasks; a dimension is negative if the estimates exceed the capacity. */
    public Resources free() {
        return capacity.minus(reserve()).minus(sumEstimates());
    }

    /** Returns the resources reserved for the service. */
    public Resources reserve() {
        return serviceReserve.reserve(capacity);
    }

    /** Returns the capacity of the VM; {@link Resources#NONE} until it is set. */
    public Resources capacity() {
        return capacity;
    }

    /** Returns the reported usage of all tasks relative to the capacity available to tasks. */
    public Overload overload() {
        Resources used = Resources.NONE;
        for (UsageEstimate estimate : estimatesByTask.values()) {
            used = used.plus(estimate.lastUsed());
        }
        Resources available = capacity.minus(reserve());
        return new Overload(
                used.milliCores() / (double) Math.max(1, available.milliCores()),
                used.memoryMb() / (double) Math.max(1, available.memoryMb()));
    }

    /**
     * Ratio of reported usage to the capacity available to tasks; above 1 the capacity is exceeded.
     *
     * @param cores ratio for the processors; throttling lowers it
     * @param memory ratio for the memory; only stopping a task lowers it
     */
    public record Overload(double cores, double memory) {}

    private Resources sumEstimates() {
        Resources sum = Resources.NONE;
        for (UsageEstimate estimate : estimatesByTask.values()) {
            sum = sum.plus(estimate.estimate());
        }
        return sum;
    }
}
