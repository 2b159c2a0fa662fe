package org.fulmarreach.core.jobs;

/** An order from the leader to the guard of a worker. */
public sealed interface JobOrder {
    /** Returns the lifetime of the worker that the order is addressed to. */
    WorkerRef worker();

    /**
     * Starts a run.
     *
     * @param worker lifetime of the worker
     * @param task the task
     * @param run number of the run
     * @param payload payload of the job
     * @param checkpoint checkpoint to resume from; empty for none
     */
    record Start(WorkerRef worker, TaskName task, int run, String payload, String checkpoint) implements JobOrder {}

    /**
     * Stops a run, and prevents it from starting if its start order has not arrived yet.
     *
     * @param worker lifetime of the worker
     * @param task name of the task as the worker lists it
     * @param run number of the run
     */
    record Stop(WorkerRef worker, String task, int run) implements JobOrder {}

    /**
     * Sets the CPU share of a run.
     *
     * @param worker lifetime of the worker
     * @param task the task
     * @param run number of the run
     * @param percent CPU share from 0 to 100
     */
    record SetCpuShare(WorkerRef worker, TaskName task, int run, int percent) implements JobOrder {}

    /**
     * Acknowledges ended runs that are stored in the log, so that the worker stops listing them.
     *
     * @param worker lifetime of the worker
     * @param upToNumber highest number of the acknowledged ends
     */
    record Acknowledge(WorkerRef worker, long upToNumber) implements JobOrder {}
}
