package org.fulmarreach.guard.jobs;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.fulmarreach.platform.worker.CallResult;
import org.fulmarreach.platform.worker.WorkerCalls;
import org.fulmarreach.protocol.thrift.OrderOutcome;
import org.fulmarreach.runtime.log.EventLog;
import org.fulmarreach.runtime.util.MonotonicClock;

/**
 * Orders under way at the worker. One without an answer is sent again, which is safe, since the worker takes a run
 * number once; a start that was withdrawn by a stop is not. Belongs to one actor and is called on it only.
 */
final class OrderBoard {
    private static final int MAX_ATTEMPTS = 6;

    /** The leader repeats a start that it still wants every second, so a guard does not go on for longer by itself. */
    private static final int MAX_START_ATTEMPTS = 2;

    private static final int RETRY_MS = 60;

    private final WorkerCalls worker;
    private final WorkerLease lease;
    private final ActorContext<RelayCommand> context;
    private final MonotonicClock clock;
    private final EventLog log;
    private final List<OrderOutcome> outcomes = new ArrayList<>();
    private final Set<String> starting = new HashSet<>();
    private final Set<String> withdrawn = new HashSet<>();
    private final Set<String> unanswered = new HashSet<>();

    OrderBoard(
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
    }

    /**
     * Worker that orders go to.
     *
     * @param workerId its id
     * @param term fencing token
     * @param reachable whether it answers
     */
    record Target(String workerId, long term, boolean reachable) {}

    /** Returns the outcomes that the leader has not been told yet. */
    List<OrderOutcome> outcomes() {
        return List.copyOf(outcomes);
    }

    void clearOutcomes() {
        outcomes.clear();
    }

    /** Forgets everything; for another lifetime of the worker. */
    void clear() {
        starting.clear();
        withdrawn.clear();
        unanswered.clear();
        outcomes.clear();
    }

    void refuse(WorkerCalls.RunStartCall call, String reason) {
        log.emit(RelayEvent.START_REFUSED, "id", call.task(), "run", call.run(), "reason", reason);
        outcomes.add(new OrderOutcome(call.task(), call.run(), true, reason));
    }

    /**
     * Sends a start, unless it is under way already.
     *
     * @param validUntilMs monotonic time up to which it may be sent
     */
    void start(Target target, WorkerCalls.RunStartCall call, long validUntilMs) {
        WorkerOrder order = new WorkerOrder.Start(call, 0, validUntilMs);
        if (starting.add(order.key())) {
            send(target, order);
        }
    }

    void stop(Target target, String task, int run) {
        WorkerOrder order = new WorkerOrder.Stop(task, run, 0);
        withdrawn.add(order.key());
        starting.remove(order.key());
        send(target, order);
    }

    void pace(Target target, String task, int run, int percent) {
        send(target, new WorkerOrder.Pace(task, run, percent, 0));
    }

    void send(Target target, WorkerOrder order) {
        var self = context.getSelf();
        long nowMs = clock.nowMs();
        var call = switch (order) {
            case WorkerOrder.Start start -> {
                boolean current = starting.contains(order.key()) && !withdrawn.contains(order.key());
                if (!current || !lease.isGranted(nowMs)) {
                    // Withdrawn, for a former lifetime of the worker, or without a lease: the leader decides anew.
                    starting.remove(order.key());
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
                    starting.remove(order.key());
                    yield null;
                }
                yield worker.start(
                        target.workerId(),
                        start.call(),
                        lease.take(nowMs),
                        target.term(),
                        start.validUntilMs() - nowMs);
            }
            case WorkerOrder.Stop stop -> worker.stop(target.workerId(), stop.task(), stop.run(), target.term());
            case WorkerOrder.Pace pace ->
                worker.pace(target.workerId(), pace.task(), pace.run(), pace.percent(), target.term());
        };
        if (call != null) {
            call.thenAccept(result -> self.tell(new RelayCommand.OrderDone(order, result)));
        }
    }

    /** Handles the answer to an order; returns true if there is an outcome that the leader should know at once. */
    boolean onDone(Target target, WorkerOrder order, CallResult<Void> result) {
        return switch (result) {
            case CallResult.Done<Void> done -> {
                onTaken(target, order);
                yield false;
            }
            case CallResult.Refused<Void> refused -> onRefused(target, order, refused.reason());
            case CallResult.Unanswered<Void> silent -> {
                retry(target, order, silent.reason());
                yield false;
            }
        };
    }

    /*
     * Helpers
     */

    private void retry(Target target, WorkerOrder order, String reason) {
        unanswered.add(order.key());
        int attempts = order instanceof WorkerOrder.Start ? MAX_START_ATTEMPTS : MAX_ATTEMPTS;
        boolean again = order.attempt() + 1 < attempts && target.reachable();
        log.emit(
                order instanceof WorkerOrder.Start ? RelayEvent.START_UNANSWERED : RelayEvent.STOP_FAILED,
                "id",
                order.task(),
                "run",
                order.run(),
                "attempt",
                order.attempt(),
                "again",
                again,
                "reason",
                reason);
        if (again) {
            context.scheduleOnce(
                    Duration.ofMillis(RETRY_MS), context.getSelf(), new RelayCommand.OrderDue(order.again()));
        } else {
            starting.remove(order.key());
        }
    }

    private void onTaken(Target target, WorkerOrder order) {
        RelayEvent event = switch (order) {
            case WorkerOrder.Start start -> RelayEvent.START_DONE;
            case WorkerOrder.Stop stop -> RelayEvent.STOP_DONE;
            case WorkerOrder.Pace pace -> RelayEvent.PACE_DONE;
        };
        log.emit(event, "id", order.task(), "run", order.run(), "attempt", order.attempt(), "term", target.term());
        starting.remove(order.key());
        if (order instanceof WorkerOrder.Stop) {
            outcomes.add(new OrderOutcome(order.task(), order.run(), false, "done"));
        }
    }

    private boolean onRefused(Target target, WorkerOrder order, String reason) {
        boolean start = order instanceof WorkerOrder.Start;
        log.emit(
                start ? RelayEvent.START_REFUSED : RelayEvent.STOP_FAILED,
                "id",
                order.task(),
                "run",
                order.run(),
                "reason",
                reason,
                "term",
                target.term());
        boolean wanted = starting.remove(order.key());
        if (start && wanted) {
            // A call that got no answer may still be carried out, so this refusal alone proves nothing.
            boolean certain = !unanswered.contains(order.key());
            outcomes.add(new OrderOutcome(order.task(), order.run(), true, certain ? reason : "uncertain"));
        }
        return start && wanted;
    }
}
