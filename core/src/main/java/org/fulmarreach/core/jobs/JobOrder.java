package org.fulmarreach.core.jobs;

/** What the leader tells the guard of a worker. */
public sealed interface JobOrder {
    /** Returns the lifetime of the worker that it is meant for. */
    WorkerRef worker();

    /**
     * Starts a run.
     *
     * @param worker lifetime of the worker
     * @param task the task
     * @param run number of the run
     * @param payload text of the job
     * @param checkpoint saved progress; empty for none
     */
    record Start(WorkerRef worker, TaskName task, int run, String payload, String checkpoint) implements JobOrder {}

    /**
     * Stops a run, also one that has not arrived yet.
     *
     * @param worker lifetime of the worker
     * @param task name of the task as the worker lists it
     * @param run number of the run
     */
    record Stop(WorkerRef worker, String task, int run) implements JobOrder {}

    /**
     * Sets the share at which a run works.
     *
     * @param worker lifetime of the worker
     * @param task the task
     * @param run number of the run
     * @param percent share from 0 to 100
     */
    record Pace(WorkerRef worker, TaskName task, int run, int percent) implements JobOrder {}

    /**
     * Lets the worker forget ends that are in the log.
     *
     * @param worker lifetime of the worker
     * @param upToNumber number of the last of these ends
     */
    record Acknowledge(WorkerRef worker, long upToNumber) implements JobOrder {}
}
