package org.fulmarreach.core.jobs;

import java.util.List;

import org.fulmarreach.core.model.Resources;

/**
 * Report of a guard about its worker. Immutable.
 *
 * @param ref lifetime of the worker
 * @param service service that the worker belongs to
 * @param zone availability zone of the worker
 * @param capacity total capacity of the worker
 * @param labels labels of the worker: its kind first, its rack second
 * @param draining whether the worker is draining before shutdown
 * @param reachable whether the worker answers its guard
 * @param leaseExpired whether the lease that covers all runs on the worker is known to have expired
 * @param running runs that the worker lists as running
 * @param ended ended runs that the worker lists, which are not acknowledged yet
 * @param pollNumber number of the guard's poll from which the lists come; increases until the guard restarts
 * @param crashed whether the process of the worker seems to have ended without having announced it
 * @param token fencing token that the worker had seen when it made the lists; null if it is not known
 */
public record WorkerReport(
        WorkerRef ref,
        String service,
        String zone,
        Resources capacity,
        List<String> labels,
        boolean draining,
        boolean reachable,
        boolean leaseExpired,
        List<Running> running,
        List<Ended> ended,
        long pollNumber,
        boolean crashed,
        FencingToken token) {
    /** Most ends that a worker lists at a time; the end of a run may be among those that it lists later. */
    private static final int MAX_LISTED_ENDS = 500;

    /** Copies the lists. */
    public WorkerReport {
        labels = List.copyOf(labels);
        running = List.copyOf(running);
        ended = List.copyOf(ended);
    }

    /** Constructs the report of a worker that is not known to have crashed, nor to have seen a fencing token. */
    public WorkerReport(
            WorkerRef ref,
            String service,
            String zone,
            Resources capacity,
            List<String> labels,
            boolean draining,
            boolean reachable,
            boolean leaseExpired,
            List<Running> running,
            List<Ended> ended,
            long pollNumber) {
        this(
                ref,
                service,
                zone,
                capacity,
                labels,
                draining,
                reachable,
                leaseExpired,
                running,
                ended,
                pollNumber,
                false,
                null);
    }

    /** Tells whether a run that is neither listed as running nor as ended has no end that is still to be listed. */
    boolean listsAllEnds() {
        return ended.size() < MAX_LISTED_ENDS;
    }

    /** Returns a copy with another fencing token. */
    public WorkerReport withToken(FencingToken newToken) {
        return new WorkerReport(
                ref,
                service,
                zone,
                capacity,
                labels,
                draining,
                reachable,
                leaseExpired,
                running,
                ended,
                pollNumber,
                crashed,
                newToken);
    }

    /**
     * A run that is listed as running.
     *
     * @param task name of the task
     * @param run number of the run
     * @param checkpoint newest checkpoint; empty if there is none
     * @param percent progress from 0 to 100
     * @param usage tail latency in milliseconds for a serving task, otherwise millicores in use
     */
    public record Running(String task, int run, String checkpoint, int percent, long usage) {}

    /**
     * A run that is listed as ended.
     *
     * @param number sequence number of the end within this lifetime of the worker
     * @param task name of the task
     * @param run number of the run
     * @param runEnd how it ended
     * @param checkpoint newest checkpoint at the end; empty if there is none
     */
    public record Ended(long number, String task, int run, RunEnd runEnd, String checkpoint) {}
}
