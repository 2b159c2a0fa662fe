package org.fulmarreach.core.jobs;

import java.util.List;

import org.fulmarreach.core.model.Resources;

/**
 * One step of a job: tasks of the same shape. Immutable.
 *
 * @param taskCount number of tasks, at least 1
 * @param demand what one task asks for
 * @param estimatedMs rough estimate of a task's duration in milliseconds; 0 for none
 * @param after numbers of earlier steps that must be done first
 * @param checkpoints whether its tasks save their progress
 * @param gang whether its tasks only work together
 * @param rackLocal whether its tasks run faster on one rack
 * @param requiredLabel label that the worker must have; empty for any worker
 * @param dataRack rack on which its data lies; empty for none
 * @param maxPerWorker bound on tasks of one occurrence of the step on one worker; 0 for none
 * @param speculative whether copies of a task may run beside each other
 * @param longRunning whether its tasks run until the job is cancelled
 * @param image name of what its tasks run; empty if not given
 * @param targetLatencyMs bound on the tail latency of its tasks in milliseconds; 0 if they serve nobody
 * @param fillsIdleCapacity whether its tasks use processors that others leave idle, instead of reserving them
 * @param maxAbsent number of its tasks that may be away by the scheduler's doing; 0 for no such bound
 */
public record JobStep(
        int taskCount,
        Resources demand,
        long estimatedMs,
        List<Integer> after,
        boolean checkpoints,
        boolean gang,
        boolean rackLocal,
        String requiredLabel,
        String dataRack,
        int maxPerWorker,
        boolean speculative,
        boolean longRunning,
        String image,
        int targetLatencyMs,
        boolean fillsIdleCapacity,
        int maxAbsent) {
    /** Copies the list. */
    public JobStep {
        after = List.copyOf(after);
    }

    /** Tells whether its tasks serve users of their own and so suffer from noisy neighbours. */
    public boolean isServing() {
        return targetLatencyMs > 0;
    }

    /** Returns what a task takes away from the capacity of its worker. */
    public Resources reserved() {
        return fillsIdleCapacity ? new Resources(0, demand.memoryMb(), demand.accelerators()) : demand;
    }
}
