package org.fulmarreach.entry.jobs;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import org.fulmarreach.core.jobs.JobOrder;
import org.fulmarreach.core.jobs.JobTimes;
import org.fulmarreach.runtime.log.EventLog;

/**
 * Holds starts back while the leader's knowledge of cancellations is old. Any entry stores a cancellation, and the
 * leader learns of it by reading; a read without an answer does not keep it from writing and ordering. Belongs to one
 * actor and is called on it only.
 */
final class CancellationView {
    private final LogTail requests;
    private final JobTimes times;
    private final EventLog log;
    private final Set<JobOrder> held = new LinkedHashSet<>();

    CancellationView(LogTail requests, JobTimes times, EventLog log) {
        this.requests = requests;
        this.times = times;
        this.log = log;
    }

    /** Returns the orders that may leave now; starts that may not are held until {@link #takeHeld}. */
    List<JobOrder> admit(List<JobOrder> orders) {
        if (isFresh()) {
            return orders;
        }
        List<JobOrder> admitted = new ArrayList<>();
        int heldBefore = held.size();
        for (JobOrder order : orders) {
            if (order instanceof JobOrder.Start) {
                held.add(order);
            } else {
                admitted.add(order);
            }
        }
        if (heldBefore == 0 && !held.isEmpty()) {
            log.emit(
                    JobEvent.STARTS_HELD,
                    "starts",
                    held.size(),
                    "ageMs",
                    requests.ageMs(),
                    "maxAgeMs",
                    times.maxKnowledgeAgeMs(),
                    "next",
                    requests.nextOffset());
        }
        return admitted;
    }

    /** Takes the starts that were held, in their order. */
    List<JobOrder> takeHeld() {
        List<JobOrder> taken = List.copyOf(held);
        held.clear();
        return taken;
    }

    /** Tells whether starts may leave now. */
    boolean isFresh() {
        return requests.ageMs() <= times.maxKnowledgeAgeMs();
    }
}
