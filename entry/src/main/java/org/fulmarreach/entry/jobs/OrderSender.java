package org.fulmarreach.entry.jobs;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.fulmarreach.core.jobs.JobOrder;
import org.fulmarreach.core.jobs.JobScheduler;
import org.fulmarreach.runtime.util.MonotonicClock;

/** Sends the orders of a term that still apply to guards, and tells the scheduler what became of the starts. */
final class OrderSender {
    private final long term;
    private final JobScheduler scheduler;
    private final GuardSessions sessions;
    private final CancellationView cancellations;
    private final MonotonicClock clock;

    /**
     * Constructs the sender of a term.
     *
     * @param cancellations holds starts back while cancellations may be unknown
     */
    OrderSender(
            long term,
            JobScheduler scheduler,
            GuardSessions sessions,
            CancellationView cancellations,
            MonotonicClock clock) {
        this.term = term;
        this.scheduler = scheduler;
        this.sessions = sessions;
        this.cancellations = cancellations;
        this.clock = clock;
    }

    /**
     * Sends orders, and with them grants.
     *
     * @param mayGrant whether grants, and so orders, may be sent
     * @param writeAgeMs maximum time since the store last acknowledged an append
     */
    void send(List<JobOrder> orders, boolean mayGrant, long writeAgeMs) {
        List<JobOrder> applicable = cancellations.admit(dropInapplicable(orders));
        if (applicable.isEmpty() || !mayGrant) {
            return;
        }
        long nowMs = clock.nowMs();
        List<JobOrder> sendable = applicable.stream()
                .filter(order -> !scheduler.withholdsLease(order.worker().guard()))
                .toList();
        GuardSessions.Sent sent = sessions.send(term, sendable, writeAgeMs);
        sent.granted().forEach(guard -> scheduler.onGrantSent(guard, nowMs));
        Set<JobOrder> oversized = new HashSet<>(sent.oversized());
        for (JobOrder order : applicable) {
            if (order instanceof JobOrder.Start start) {
                if (oversized.contains(start)) {
                    scheduler.onStartUndeliverable(start);
                } else if (sent.granted().contains(start.worker().guard())) {
                    scheduler.onStartSent(start, nowMs);
                } else {
                    scheduler.onStartNotSent(start);
                }
            }
        }
    }

    private List<JobOrder> dropInapplicable(List<JobOrder> orders) {
        List<JobOrder> applicable = new ArrayList<>();
        for (JobOrder order : orders) {
            if (scheduler.isApplicable(order)) {
                applicable.add(order);
            } else if (order instanceof JobOrder.Start start) {
                scheduler.onStartDropped(start);
            }
        }
        return applicable;
    }
}
