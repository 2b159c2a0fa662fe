package org.fulmarreach.guard.jobs;

import org.fulmarreach.core.jobs.FencingToken;
import org.fulmarreach.platform.worker.CallResult;
import org.fulmarreach.platform.worker.WorkerHeartbeat;
import org.fulmarreach.platform.worker.WorkerSnapshot;
import org.fulmarreach.runtime.net.LinkEvent;

/** Messages of {@link WorkerRelay}. */
public sealed interface RelayCommand {
    /** The worker sent a heartbeat. */
    record HeartbeatReceived(WorkerHeartbeat heartbeat) implements RelayCommand {}

    /** The worker deregistered. */
    record Deregistered(String workerId) implements RelayCommand {}

    /**
     * A poll of the worker was answered or failed.
     *
     * @param id id of the worker that the poll named, so that no other worker answered it; empty for none
     * @param token fencing token that it carried
     * @param number number of the poll, from 1
     * @param sentAtMs when it was sent, on the monotonic clock
     */
    record PollCompleted(CallResult<WorkerSnapshot> result, String id, FencingToken token, long number, long sentAtMs)
            implements RelayCommand {}

    /** The next poll of the worker is due. */
    record PollDue() implements RelayCommand {}

    /** An order was answered by the worker or failed. */
    record OrderCompleted(WorkerOrder order, CallResult<Void> result) implements RelayCommand {}

    /** The retry of an unanswered order is due. */
    record OrderRetryDue(WorkerOrder order) implements RelayCommand {}

    /** A connection to an entry was opened, received a frame or was closed. */
    record LinkChanged(long attempt, LinkEvent event) implements RelayCommand {}

    /** The next attempt to find the leader is due. */
    record LeaderSearchDue() implements RelayCommand {}

    /** The lookup of the leader in the store ended; the address is empty if it found none. */
    record LeaderLookupCompleted(String address) implements RelayCommand {}

    /** A report that was put off, so that it carries several outcomes, is due. */
    record ReportDue() implements RelayCommand {}

    /** Periodic check of leases and reports. */
    record Tick() implements RelayCommand {}
}
