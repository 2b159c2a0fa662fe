package org.fulmarreach.core.jobs;

import org.fulmarreach.core.model.Resources;

/** Why a task that may run is not at work, with the inputs of that finding. Durations are in milliseconds. */
sealed interface WaitReason {
    /** The queue of the job is in no configuration of this term, and none is stored with the job. */
    record QueueUnknown(String queue) implements WaitReason {}

    /** The leader's view of cancellations and requests is too old for starts. */
    record StartsHeld() implements WaitReason {}

    /**
     * No worker of the service gets new work.
     *
     * @param workers number of workers that last reported the service
     * @param silent those whose guard has no session or has not reported for a while, or cannot reach them
     * @param draining those that drain
     * @param evacuated those whose zone is evacuated
     */
    record NoWorker(String service, int workers, int silent, int draining, int evacuated) implements WaitReason {}

    /** No available worker has the label that the step requires. */
    record NoLabel(String label, int available) implements WaitReason {}

    /** Workers with room are still taking up as many starts as may be under way to a worker. */
    record StartsUnderWay(int withRoom, int available) implements WaitReason {}

    /** Each worker with room has as many tasks of the step as it may have. */
    record AntiAffinity(int maxPerWorker, int withRoom, int available) implements WaitReason {}

    /**
     * No worker has room.
     *
     * @param taker what takes most of the room that could be given back soonest
     * @param available workers that are available and have the label
     * @param suspected those with recent faults
     * @param reservedForTrial those that are reserved for a task which may crash them
     * @param fitWithoutStopping full ones on which the task fits once the runs being stopped have ended
     * @param fitWithoutOthers full ones on which the task fits once all runs that do not last have ended
     * @param demand what the task reserves
     * @param guard guard of the full worker with the least shortage of processors; empty if none is full
     * @param capacity capacity of that worker
     * @param assigned what the tasks assigned to that worker reserve
     * @param stopping what the runs that are being stopped there take up
     */
    record NoRoom(
            Taker taker,
            int available,
            int suspected,
            int reservedForTrial,
            int fitWithoutStopping,
            int fitWithoutOthers,
            Resources demand,
            String guard,
            Resources capacity,
            Resources assigned,
            Resources stopping)
            implements WaitReason {}

    /** Who takes the room that a task waits for. */
    enum Taker {
        /** Runs that are being stopped and whose end is not listed yet. */
        STOPPING_RUNS,
        /** Workers with room get no new work after several faults in a row. */
        SUSPECTED_WORKERS,
        /** Workers with room are reserved for tasks that may crash them. */
        TRIALS,
        /** Tasks that are assigned. */
        ASSIGNED_TASKS
    }

    /**
     * The best-effort task would interfere with serving tasks, or all idle processors are taken.
     *
     * @param withRoom workers with room that it would interfere on or whose idle processors are taken
     * @param siblingsAssigned whether another task of its job is assigned, so that it gets no room despite interference
     */
    record Interference(int withRoom, boolean siblingsAssigned) implements WaitReason {}

    /**
     * The room that is left is kept free for short jobs.
     *
     * @param withRoom workers with room for the task
     * @param heldMilliCores processors of the service that are kept free
     * @param capacityMilliCores processors of the available workers of the service
     */
    record Headroom(int withRoom, long heldMilliCores, long capacityMilliCores) implements WaitReason {}

    /** A worker accepts the task, but not all members of its gang have one. */
    record GangIncomplete(int members) implements WaitReason {}

    /** A worker accepts the task, and the last pass did not place it there. */
    record NotPlaced(String guard) implements WaitReason {}

    /** The start is ordered and is not sent yet, since its record is not stored. */
    record StartNotStored(String guard, long orderedForMs) implements WaitReason {}

    /** The start was sent, and the worker does not list the run yet. */
    record StartNotListed(String guard, long orderedForMs, boolean repeated) implements WaitReason {}

    /**
     * The current run is being stopped.
     *
     * @param orderedForMs time since the stop was last ordered; -1 if a former leader ordered it
     * @param confirmedForMs time since the leader learned of the confirmation; -1 before
     */
    record BeingStopped(String guard, long orderedForMs, long confirmedForMs) implements WaitReason {}

    /**
     * The worker of the current run, or its guard, is silent, and its lease may not be over.
     *
     * @param answeredForMs time since the worker last answered; -1 if it has not answered this leader
     * @param remainingMs time until the lease is over, as this leader knows it
     * @param reconnected whether the guard reports again, so that it decides when the lease of its worker is over
     */
    record LeaseNotOver(String guard, long answeredForMs, long remainingMs, boolean reconnected)
            implements WaitReason {}

    /**
     * The task may crash its workers, and is tried alone or given up next.
     *
     * @param crashes crashes that it is suspected of
     * @param convicted whether it is given up unless its crashes prove to be a power loss
     */
    record Suspected(int crashes, boolean convicted) implements WaitReason {}

    /** The run has ended and its worker does not list the end, so it may have succeeded and is not started again. */
    record EndForgotten(String guard) implements WaitReason {}

    /** The task is assigned and no worker's assigned tasks include it. */
    record NoWorkerView(String guard) implements WaitReason {}

    /** Returns the name of the reason for the log. */
    default String label() {
        return switch (this) {
            case QueueUnknown reason -> "queue unknown";
            case StartsHeld reason -> "starts held, cancellations or requests cannot be read";
            case NoWorker reason -> "no worker available";
            case NoLabel reason -> "no available worker has the label";
            case StartsUnderWay reason -> "starts under way to the workers with room";
            case AntiAffinity reason -> "limit of tasks per worker";
            case NoRoom reason -> "no room, taken by " + reason.taker();
            case Headroom reason -> "room is kept free for short jobs";
            case Interference reason -> "interference";
            case GangIncomplete reason -> "no room for all members of the gang";
            case NotPlaced reason -> "not placed though a worker accepts it";
            case StartNotStored reason -> "start not stored yet";
            case StartNotListed reason -> "start sent but not listed";
            case BeingStopped reason -> "being stopped";
            case LeaseNotOver reason -> "lease of a silent worker not over";
            case Suspected reason -> "suspected of crashes, waits for its trial or verdict";
            case EndForgotten reason -> "end of the run forgotten by its worker";
            case NoWorkerView reason -> "assigned, but in no worker's tasks";
        };
    }
}
