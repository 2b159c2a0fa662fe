package org.fulmarreach.entry.jobs;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.fulmarreach.core.jobs.JobOrder;
import org.fulmarreach.core.jobs.WorkerRef;
import org.fulmarreach.protocol.io.GuardMessages;
import org.fulmarreach.protocol.io.OrderBatches;
import org.fulmarreach.protocol.thrift.Body;
import org.fulmarreach.runtime.log.EventLog;
import org.fulmarreach.runtime.net.FrameLink;

/** Connections of guards to the leader. Confined to one actor. */
final class GuardSessions {
    private final EventLog log;
    private final Map<String, Session> byGuard = new HashMap<>();
    private final Set<String> left = new HashSet<>();

    GuardSessions(EventLog log) {
        this.log = log;
    }

    private record Session(FrameLink link, long tickMs, WorkerRef worker) {}

    /** Registers the connection of a report; the tick of the report is echoed in later grants. */
    void onReport(String guard, FrameLink link, long tickMs, WorkerRef worker) {
        left.remove(guard);
        Session before = byGuard.put(guard, new Session(link, tickMs, worker));
        if (before == null || before.link() != link) {
            log.emit(JobEvent.GUARD_JOINED, "guard", guard, "remote", link.remoteAddress());
            if (before != null) {
                before.link().close();
            }
        }
    }

    /** Removes a connection that was closed. */
    void onClosed(FrameLink link, String reason) {
        byGuard.entrySet().removeIf(entry -> {
            boolean closed = entry.getValue().link() == link;
            if (closed) {
                log.emit(JobEvent.GUARD_LEFT, "guard", entry.getKey(), "reason", reason);
                left.add(entry.getKey());
            }
            return closed;
        });
    }

    /** Returns the guards whose sessions have ended since the last call and that have no new one. */
    Set<String> takeLeft() {
        Set<String> taken = Set.copyOf(left);
        left.clear();
        return taken;
    }

    /** Sends the term alone, as orders for no worker. */
    void sendTerm(String guard, long term, long writeAgeMs) {
        Session session = byGuard.get(guard);
        if (session != null) {
            WorkerRef none = new WorkerRef(guard, "", 0);
            session.link()
                    .send(
                            0,
                            Body.leaderOrders(
                                    GuardMessages.toThrift(term, session.tickMs(), none, List.of(), writeAgeMs)));
        }
    }

    /** Sends a grant without orders; returns false if the guard has no session or has reported no worker in it. */
    boolean grant(String guard, long term, long writeAgeMs) {
        Session session = byGuard.get(guard);
        boolean hasWorker = session != null && session.worker() != null;
        if (hasWorker) {
            session.link()
                    .send(
                            0,
                            Body.leaderOrders(GuardMessages.toThrift(
                                    term, session.tickMs(), session.worker(), List.of(), writeAgeMs)));
        }
        return hasWorker;
    }

    /**
     * Sends orders, and with them a grant, to the guards that have a session and have reported a worker in it. Orders
     * for other guards are dropped: stops that are still needed are sent again when the guard reports, and so are
     * starts that were sent before. An order that fits no message is dropped, and the others are sent.
     *
     * @return guards to which a grant was sent, and the orders that fit no message
     */
    Sent send(long term, List<JobOrder> orders, long writeAgeMs) {
        Map<WorkerRef, List<JobOrder>> byWorker = new LinkedHashMap<>();
        for (JobOrder order : orders) {
            byWorker.computeIfAbsent(order.worker(), worker -> new ArrayList<>())
                    .add(order);
        }
        Sent sent = new Sent(new HashSet<>(), new ArrayList<>());
        byWorker.forEach((worker, each) -> {
            Session session = byGuard.get(worker.guard());
            if (session != null && session.worker() != null) {
                OrderBatches divided = OrderBatches.of(each);
                for (List<JobOrder> batch : divided.batches()) {
                    session.link()
                            .send(
                                    0,
                                    Body.leaderOrders(
                                            GuardMessages.toThrift(term, session.tickMs(), worker, batch, writeAgeMs)));
                    sent.granted().add(worker.guard());
                }
                divided.oversized().forEach(order -> logOversized(order, worker));
                sent.oversized().addAll(divided.oversized());
            }
        });
        return sent;
    }

    /**
     * What became of orders.
     *
     * @param granted guards to which orders were sent, and with them a grant
     * @param oversized orders that were dropped, since they fit no message
     */
    record Sent(Set<String> granted, List<JobOrder> oversized) {}

    private void logOversized(JobOrder order, WorkerRef worker) {
        String task = switch (order) {
            case JobOrder.Start start -> start.task().toString();
            case JobOrder.Stop stop -> stop.task();
            case JobOrder.SetCpuShare share -> share.task().toString();
            case JobOrder.Acknowledge acknowledge -> "none";
        };
        log.emit(JobEvent.ORDER_TOO_LARGE, "id", task, "guard", worker.guard(), "worker", worker.id());
    }

    /** Closes all connections. */
    void close() {
        byGuard.values().forEach(session -> session.link().close());
        byGuard.clear();
    }

    int size() {
        return byGuard.size();
    }
}
