package org.fulmarreach.entry.jobs;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import org.fulmarreach.core.jobs.JobOrder;
import org.fulmarreach.core.jobs.JobTimeLimits;
import org.fulmarreach.runtime.log.EventLog;

/**
 * Holds start orders back while the leader's view of cancellations, or of evacuated zones, is out of date. Any entry
 * may store a cancellation, and operators an evacuation, and the leader learns of them only by reading the log; if
 * reads get no answer, its appends and orders may still work.
 * Confined to one actor.
 */
final class CancellationView {
    private final LogTail requests;
    private final ConfigFollower config;
    private final JobTimeLimits limits;
    private final EventLog log;
    private final Set<JobOrder> held = new LinkedHashSet<>();

    CancellationView(LogTail requests, ConfigFollower config, JobTimeLimits limits, EventLog log) {
        this.requests = requests;
        this.config = config;
        this.limits = limits;
        this.log = log;
    }

    /** Returns the orders that may be sent now; starts that may not be sent are held until {@link #removeHeld}. */
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
                    limits.maxCancellationViewAgeMs(),
                    "next",
                    requests.nextOffset(),
                    "evacuationsAgeMs",
                    config.ageMs(),
                    "maxEvacuationsAgeMs",
                    limits.maxEvacuationViewAgeMs());
        }
        return admitted;
    }

    /** Returns the held starts in their original order and clears them. */
    List<JobOrder> removeHeld() {
        List<JobOrder> removed = List.copyOf(held);
        held.clear();
        return removed;
    }

    /** Tells whether the view is recent enough for starts to be sent. */
    boolean isFresh() {
        return requests.ageMs() <= limits.maxCancellationViewAgeMs()
                && config.ageMs() <= limits.maxEvacuationViewAgeMs();
    }
}
