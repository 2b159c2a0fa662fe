package org.fulmarreach.guard.jobs;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.fulmarreach.core.jobs.FencingToken;
import org.fulmarreach.core.jobs.WorkerReport;
import org.fulmarreach.platform.worker.CallResult;
import org.fulmarreach.platform.worker.WorkerCalls;
import org.fulmarreach.protocol.thrift.OrderOutcome;
import org.fulmarreach.runtime.log.EventLog;
import org.fulmarreach.runtime.util.MonotonicClock;

/**
 * Sends the leader's orders to the worker and keeps track of those that are in flight. An unanswered order is sent
 * again, which is safe because the worker accepts each run number only once. A start is not sent again once a stop has
 * cancelled it. Owned by one actor; not thread-safe.
 */
final class OrderDispatcher {
    private static final int MAX_ATTEMPTS = 6;

    /** The leader repeats a start that is still needed every second, so the guard itself retries a start only once. */
    private static final int MAX_START_ATTEMPTS = 2;

    /** Delay before the first retry; it doubles with each attempt, so that a worker that recovers is not flooded. */
    private static final int RETRY_DELAY_MS = 60;

    /** The leader withdraws a start 2.5 s after it and repeats its stop every 500 ms, so later orders are new ones. */
    private static final long KEY_RETENTION_MS = 30_000;

    /** A call that got no answer may be carried out this much later. */
    private static final long MAX_CALL_DELAY_MS = 15_000;

    /** Outcome of an order after a start that got no answer. */
    private static final String UNCERTAIN = "uncertain";

    private final WorkerCalls worker;
    private final WorkerLease lease;
    private final ActorContext<RelayCommand> context;
    private final MonotonicClock clock;
    private final EventLog log;
    private final List<OrderOutcome> outcomes = new ArrayList<>();
    private final ConfirmedStops confirmedStops = new ConfirmedStops();
    private final Set<String> pendingStarts = new HashSet<>();
    private final List<WorkerOrder.Start> heldStarts = new ArrayList<>();
    private final Set<String> pendingStops = new HashSet<>();
    private final Map<String, Integer> newestShares = new HashMap<>();
    private final RecentKeys cancelledStarts = new RecentKeys(KEY_RETENTION_MS);
    private final RecentKeys unansweredStarts = new RecentKeys(KEY_RETENTION_MS);
    private final long constructedAtMs;

    OrderDispatcher(
            WorkerCalls worker,
            WorkerLease lease,
            ActorContext<RelayCommand> context,
            MonotonicClock clock,
            EventLog log) {
        this.worker = worker;
        this.lease = lease;
        this.context = context;
        this.clock = clock;
        this.log = log;
        this.constructedAtMs = clock.nowMs();
    }

    /**
     * Worker that receives the orders.
     *
     * @param workerId id of the worker
     * @param token fencing token
     * @param reachable whether the worker answers
     * @param confirmed whether the last poll was answered; otherwise another lifetime may be running under the id
     */
    record Destination(String workerId, FencingToken token, boolean reachable, boolean confirmed) {}

    /** Returns the outcomes that are not yet reported to the leader, and the confirmed stops, which are repeated. */
    List<OrderOutcome> outcomes() {
        List<OrderOutcome> all = new ArrayList<>(outcomes);
        all.addAll(confirmedStops.outcomes(clock.nowMs()));
        return all;
    }

    void clearOutcomes() {
        outcomes.clear();
    }

    /** Discards all orders and outcomes, because the worker was restarted. */
    void clear() {
        pendingStarts.clear();
        heldStarts.clear();
        pendingStops.clear();
        newestShares.clear();
        cancelledStarts.clear();
        unansweredStarts.clear();
        outcomes.clear();
        confirmedStops.clear();
    }

    void refuse(WorkerCalls.RunStartCall call, String reason) {
        log.emit(RelayEvent.START_REFUSED, "id", call.task(), "run", call.run(), "reason", reason);
        outcomes.add(new OrderOutcome(call.task(), call.run(), true, reason));
    }

    /**
     * Sends a start, unless a start of the same run is in flight. It is held until a poll has told which lifetime
     * answers, since the next one under the same id would carry it out as well.
     *
     * @param validUntilMs monotonic time until which it may be sent
     */
    void start(Destination destination, WorkerCalls.RunStartCall call, long validUntilMs) {
        WorkerOrder order = new WorkerOrder.Start(call, 0, validUntilMs);
        if (pendingStarts.add(order.key())) {
            send(destination, order);
        }
    }

    /** Sends the starts that were held, because a poll has confirmed the lifetime of the worker. */
    void sendHeldStarts(Destination destination) {
        List<WorkerOrder.Start> held = List.copyOf(heldStarts);
        heldStarts.clear();
        held.forEach(start -> send(destination, start));
    }

    /** Sends a stop, unless a stop of the same run is in flight or will be sent again. */
    void stop(Destination destination, String task, int run) {
        WorkerOrder order = new WorkerOrder.Stop(task, run, 0);
        cancelledStarts.add(order.key(), clock.nowMs());
        pendingStarts.remove(order.key());
        if (pendingStops.add(order.key())) {
            send(destination, order);
        }
    }

    /** Sets a CPU share; retries of an earlier share of the same run are dropped. */
    void setCpuShare(Destination destination, String task, int run, int percent) {
        WorkerOrder order = new WorkerOrder.SetCpuShare(task, run, percent, 0);
        newestShares.put(order.key(), percent);
        send(destination, order);
    }

    /** Drops the stops of runs whose end the worker lists. */
    void onEnded(List<WorkerReport.Ended> ended) {
        for (WorkerReport.Ended end : ended) {
            String key = WorkerOrder.key(end.task(), end.run());
            pendingStops.remove(key);
            confirmedStops.remove(key);
            newestShares.remove(key);
        }
    }

    void send(Destination destination, WorkerOrder order) {
        var self = context.getSelf();
        long nowMs = clock.nowMs();
        var call = switch (order) {
            case WorkerOrder.Start start -> {
                boolean current = pendingStarts.contains(order.key()) && !cancelledStarts.contains(order.key());
                if (!current || !lease.isGranted(nowMs)) {
                    // Cancelled, for an earlier lifetime of the worker, or without a lease: the leader decides again.
                    pendingStarts.remove(order.key());
                    yield null;
                }
                if (!destination.confirmed() && nowMs <= start.validUntilMs()) {
                    heldStarts.add(start);
                    yield null;
                }
                if (nowMs > start.validUntilMs()) {
                    log.emit(
                            RelayEvent.START_EXPIRED,
                            "id",
                            order.task(),
                            "run",
                            order.run(),
                            "attempt",
                            order.attempt(),
                            "lateMs",
                            nowMs - start.validUntilMs());
                    pendingStarts.remove(order.key());
                    yield null;
                }
                yield worker.start(
                        destination.workerId(),
                        start.call(),
                        lease.issueUntilMs(nowMs),
                        destination.token().value(),
                        start.validUntilMs() - nowMs);
            }
            case WorkerOrder.Stop stop ->
                pendingStops.contains(order.key())
                        ? worker.stop(
                                destination.workerId(),
                                stop.task(),
                                stop.run(),
                                destination.token().value())
                        : null;
            case WorkerOrder.SetCpuShare setCpuShare ->
                isNewest(setCpuShare)
                        ? worker.setCpuShare(
                                destination.workerId(),
                                setCpuShare.task(),
                                setCpuShare.run(),
                                setCpuShare.percent(),
                                destination.token().value())
                        : null;
        };
        if (call != null) {
            call.thenAccept(result -> self.tell(new RelayCommand.OrderCompleted(order, result)));
        }
    }

    /** Handles the result of an order; returns true if its outcome is to be reported to the leader at once. */
    boolean onResult(Destination destination, WorkerOrder order, CallResult<Void> result) {
        return switch (result) {
            case CallResult.Done<Void> done -> {
                onAccepted(destination, order);
                yield false;
            }
            case CallResult.Refused<Void> refused -> onRefused(destination, order, refused.reason());
            case CallResult.Unanswered<Void> noAnswer -> {
                retry(destination, order, noAnswer.reason());
                yield false;
            }
        };
    }

    /*
     * Helpers
     */

    private boolean isNewest(WorkerOrder.SetCpuShare order) {
        Integer newest = newestShares.get(order.key());
        return newest != null && newest == order.percent();
    }

    private void retry(Destination destination, WorkerOrder order, String reason) {
        int attempts = MAX_ATTEMPTS;
        if (order instanceof WorkerOrder.Start) {
            unansweredStarts.add(order.key(), clock.nowMs());
            attempts = MAX_START_ATTEMPTS;
        }
        boolean willRetry = order.attempt() + 1 < attempts && destination.reachable();
        log.emit(
                order instanceof WorkerOrder.Start ? RelayEvent.START_UNANSWERED : RelayEvent.STOP_FAILED,
                "id",
                order.task(),
                "run",
                order.run(),
                "attempt",
                order.attempt(),
                "again",
                willRetry,
                "reason",
                reason);
        if (willRetry) {
            context.scheduleOnce(
                    Duration.ofMillis((long) RETRY_DELAY_MS << order.attempt()),
                    context.getSelf(),
                    new RelayCommand.OrderRetryDue(order.nextAttempt()));
        } else {
            complete(order);
        }
    }

    /** Forgets an order that is neither in flight nor will be sent again. */
    private void complete(WorkerOrder order) {
        switch (order) {
            case WorkerOrder.Start start -> pendingStarts.remove(start.key());
            case WorkerOrder.Stop stop -> pendingStops.remove(stop.key());
            case WorkerOrder.SetCpuShare setCpuShare -> {
                if (isNewest(setCpuShare)) {
                    newestShares.remove(setCpuShare.key());
                }
            }
        }
    }

    private void onAccepted(Destination destination, WorkerOrder order) {
        RelayEvent event = switch (order) {
            case WorkerOrder.Start start -> RelayEvent.START_DONE;
            case WorkerOrder.Stop stop -> RelayEvent.STOP_DONE;
            case WorkerOrder.SetCpuShare setCpuShare -> RelayEvent.PACE_DONE;
        };
        log.emit(
                event,
                "id",
                order.task(),
                "run",
                order.run(),
                "attempt",
                order.attempt(),
                "term",
                destination.token().term());
        complete(order);
        if (order instanceof WorkerOrder.Stop) {
            confirmedStops.add(order, isStartRuledOut(order) ? "done" : UNCERTAIN, clock.nowMs());
        }
    }

    /**
     * Tells whether no start of a run can be carried out any more, not even by the next lifetime of the worker under
     * the same id. A former process of this guard may have sent one that got no answer.
     */
    private boolean isStartRuledOut(WorkerOrder order) {
        return !unansweredStarts.contains(order.key()) && clock.nowMs() - constructedAtMs > MAX_CALL_DELAY_MS;
    }

    private boolean onRefused(Destination destination, WorkerOrder order, String reason) {
        boolean isStart = order instanceof WorkerOrder.Start;
        log.emit(
                isStart ? RelayEvent.START_REFUSED : RelayEvent.STOP_FAILED,
                "id",
                order.task(),
                "run",
                order.run(),
                "reason",
                reason,
                "term",
                destination.token().term());
        boolean wasPending = pendingStarts.contains(order.key());
        complete(order);
        if (isStart && wasPending) {
            // An earlier unanswered attempt may still start the run, so a refusal alone is not proof.
            boolean certain = !unansweredStarts.contains(order.key());
            outcomes.add(new OrderOutcome(order.task(), order.run(), true, certain ? reason : UNCERTAIN));
        }
        return isStart && wasPending;
    }
}
