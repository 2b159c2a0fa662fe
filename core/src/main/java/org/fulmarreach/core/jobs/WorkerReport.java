package org.fulmarreach.core.jobs;

import java.util.List;

import org.fulmarreach.core.model.Resources;

/**
 * What a guard reports about its worker. Immutable.
 *
 * @param ref lifetime of the worker
 * @param service service that it belongs to
 * @param zone its availability zone
 * @param capacity what it holds in all
 * @param labels its labels
 * @param draining whether it is about to leave
 * @param reachable whether it answers its guard
 * @param leaseLapsed whether the lease of everything on it is known to have run out
 * @param running runs that it lists
 * @param ended ends that it lists and that were not acknowledged
 * @param lookNumber number of the worker's answer that the lists come from; rises
 */
public record WorkerReport(
        WorkerRef ref,
        String service,
        String zone,
        Resources capacity,
        List<String> labels,
        boolean draining,
        boolean reachable,
        boolean leaseLapsed,
        List<Running> running,
        List<Ended> ended,
        long lookNumber) {
    /** Copies the lists. */
    public WorkerReport {
        labels = List.copyOf(labels);
        running = List.copyOf(running);
        ended = List.copyOf(ended);
    }

    /**
     * A run that is listed as running.
     *
     * @param task name of the task
     * @param run number of the run
     * @param checkpoint newest checkpoint; empty for none
     * @param percent progress from 0 to 100
     * @param usage tail latency in milliseconds for a serving task, else thousandths of a core in use
     */
    public record Running(String task, int run, String checkpoint, int percent, long usage) {}

    /**
     * A run that is listed as ended.
     *
     * @param number number of the end in this lifetime of the worker
     * @param task name of the task
     * @param run number of the run
     * @param how how it ended
     * @param checkpoint checkpoint at its end; empty for none
     */
    public record Ended(long number, String task, int run, RunEnd how, String checkpoint) {}
}
