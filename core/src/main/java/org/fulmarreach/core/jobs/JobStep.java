package org.fulmarreach.core.jobs;

import java.util.List;

import org.fulmarreach.core.model.Resources;

/**
 * One step of a job: a number of tasks with the same requirements. Immutable.
 *
 * @param taskCount number of tasks, at least 1
 * @param demand resources that one task requests
 * @param estimatedMs estimated duration of a task in milliseconds; 0 for none
 * @param predecessors indexes of the predecessors: earlier steps that must be done first
 * @param checkpoints whether the tasks save checkpoints
 * @param gang whether the tasks must be placed and run all together (gang scheduling)
 * @param rackLocal whether the tasks run faster when all are on one rack
 * @param requiredLabel label that a worker must have; empty for any worker
 * @param dataRack rack that holds the input data; empty for none
 * @param maxPerWorker maximum number of tasks of one occurrence of the step on one worker; 0 for no limit
 * @param speculative whether several copies of a task may run at the same time
 * @param longRunning whether the tasks run until the job is cancelled
 * @param image name of the image that the tasks run; empty if not given
 * @param targetLatencyMs target tail latency of the tasks in milliseconds; 0 if they serve no requests
 * @param bestEffort whether the tasks are best-effort: they use idle processors instead of reserving them
 * @param maxUnavailable maximum number of tasks that the scheduler may have stopped at a time; 0 for no limit
 */
public record JobStep(
        int taskCount,
        Resources demand,
        long estimatedMs,
        List<Integer> predecessors,
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
        boolean bestEffort,
        int maxUnavailable) {
    /** Copies the list. */
    public JobStep {
        predecessors = List.copyOf(predecessors);
    }

    /** Tells whether the tasks serve requests and are therefore sensitive to interference from other tasks. */
    public boolean isServing() {
        return targetLatencyMs > 0;
    }

    /** Returns the resources that a task reserves on its worker; best-effort tasks reserve no processors. */
    public Resources reserved() {
        return bestEffort ? new Resources(0, demand.memoryMb(), demand.accelerators()) : demand;
    }
}
