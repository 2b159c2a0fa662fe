package org.fulmarreach.guard.jobs;

import org.fulmarreach.platform.worker.CallResult;
import org.fulmarreach.platform.worker.WorkerBeat;
import org.fulmarreach.platform.worker.WorkerLook;
import org.fulmarreach.runtime.net.LinkEvent;

/** Messages of {@link WorkerRelay}. */
public sealed interface RelayCommand {
    /** The worker sent a heartbeat. */
    record Beat(WorkerBeat beat) implements RelayCommand {}

    /** The worker took its leave. */
    record Left(String workerId) implements RelayCommand {}

    /** The worker answered a look, or did not. */
    record Looked(CallResult<WorkerLook> result, long sentAtMs) implements RelayCommand {}

    /** The next look is due. */
    record LookDue() implements RelayCommand {}

    /** The worker answered an order, or did not. */
    record OrderDone(WorkerOrder order, CallResult<Void> result) implements RelayCommand {}

    /** An order that got no answer is due again. */
    record OrderDue(WorkerOrder order) implements RelayCommand {}

    /** Something happened on a connection to an entry. */
    record EntryLink(long attempt, LinkEvent event) implements RelayCommand {}

    /** The next address is due to be tried. */
    record SeekDue() implements RelayCommand {}

    /** The store named a leader; the address is empty if it did not. */
    record LeaderNamed(String address) implements RelayCommand {}

    /** Regular wake-up. */
    record Tick() implements RelayCommand {}
}
