package org.fulmarreach.guard.jobs;

import java.time.Duration;
import java.util.List;
import java.util.Random;

import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.javadsl.AbstractBehavior;
import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.actor.typed.javadsl.Receive;
import org.apache.pekko.actor.typed.javadsl.TimerScheduler;
import org.fulmarreach.core.jobs.JobTimeLimits;
import org.fulmarreach.core.jobs.WorkerRef;
import org.fulmarreach.core.jobs.WorkerReport;
import org.fulmarreach.platform.worker.CallResult;
import org.fulmarreach.platform.worker.WorkerCalls;
import org.fulmarreach.platform.worker.WorkerHeartbeat;
import org.fulmarreach.platform.worker.WorkerSnapshot;
import org.fulmarreach.protocol.io.GuardMessages;
import org.fulmarreach.protocol.io.JobRecords;
import org.fulmarreach.protocol.thrift.Body;
import org.fulmarreach.protocol.thrift.GuardReport;
import org.fulmarreach.protocol.thrift.LeaderOrders;
import org.fulmarreach.runtime.log.EventLog;
import org.fulmarreach.runtime.util.MonotonicClock;

/**
 * Connects the leader to the worker on the same VM: extends the worker's lease, reports its running and ended runs, and
 * sends it the leader's orders. It makes no decisions about tasks, except that it refuses starts while the worker
 * drains.
 */
public final class WorkerRelay extends AbstractBehavior<RelayCommand> {
    private static final int TICK_MS = 250;

    /** Longest wait of a poll. Progress and lease are renewed at this interval; the worker reports an end at once. */
    private static final int POLL_WAIT_MS = 500;

    /** Delay before the next poll while listed ends wait for the leader's acknowledgement. */
    private static final int UNACKNOWLEDGED_POLL_DELAY_MS = 100;

    private static final int FAILED_POLL_DELAY_MS = 200;

    /** If the port refuses connections for this long, the process of the worker has probably ended. */
    private static final long PORT_CLOSED_MS = 700;

    private static final int REPORT_INTERVAL_MS = 500;

    /** Limits the rate of polls if the worker answers them at once. */
    private static final int MIN_POLL_DELAY_MS = 60;

    private final WorkerCalls worker;
    private final LeaderConnection leader;
    private final WorkerLease lease;
    private final String guard;
    private final long startValidMs;
    private final MonotonicClock clock;
    private final EventLog log;
    private final OrderDispatcher dispatcher;
    private final WorkerContact contact = new WorkerContact();
    private WorkerHeartbeat heartbeat;
    private WorkerRef workerRef;
    private WorkerSnapshot snapshot = new WorkerSnapshot(0, 0, List.of(), List.of());
    private boolean hasSnapshot;
    private long pollNumber;
    private boolean pollInFlight;
    private boolean workerReplaced;
    private boolean expiryReported;
    private boolean crashReported;
    private boolean deregistered;
    private long acknowledgedEnd;
    private long term;
    private long reportedAtMs;

    private WorkerRelay(
            ActorContext<RelayCommand> context,
            TimerScheduler<RelayCommand> timers,
            WorkerCalls worker,
            RelayLinks links,
            List<String> entries,
            String guard,
            JobTimeLimits limits,
            MonotonicClock clock,
            EventLog log,
            Random random) {
        super(context);
        this.worker = worker;
        this.leader = new LeaderConnection(
                links,
                new LeaderFinder(entries, random),
                new LeaderSilence(limits.leaseMs(), TICK_MS),
                context,
                clock,
                log);
        this.lease = new WorkerLease(limits.leaseMs(), clock.nowMs());
        this.guard = guard;
        this.startValidMs = limits.startValidMs();
        this.clock = clock;
        this.log = log;
        this.dispatcher = new OrderDispatcher(worker, lease, context, clock, log);
        timers.startTimerWithFixedDelay(new RelayCommand.Tick(), Duration.ofMillis(TICK_MS));
        sendPoll();
        leader.search();
    }

    /**
     * Constructs the behavior.
     *
     * @param worker calls to the worker
     * @param links network operations
     * @param entries {@code host:port} of entries; may be stale
     * @param guard node name of this guard
     * @param limits bounds on leases and on the age of starts
     * @param clock monotonic clock
     * @param log events
     * @param random source of jitter, so that guards do not search for the leader at the same times
     */
    public static Behavior<RelayCommand> create(
            WorkerCalls worker,
            RelayLinks links,
            List<String> entries,
            String guard,
            JobTimeLimits limits,
            MonotonicClock clock,
            EventLog log,
            Random random) {
        return Behaviors.setup(context -> Behaviors.withTimers(
                timers -> new WorkerRelay(context, timers, worker, links, entries, guard, limits, clock, log, random)));
    }

    @Override
    public Receive<RelayCommand> createReceive() {
        return newReceiveBuilder()
                .onMessage(RelayCommand.class, this::onCommand)
                .build();
    }

    private Behavior<RelayCommand> onCommand(RelayCommand command) {
        switch (command) {
            case RelayCommand.HeartbeatReceived message -> onHeartbeat(message.heartbeat());
            case RelayCommand.Deregistered message -> onDeregistered(message.workerId());
            case RelayCommand.PollCompleted message -> onPollCompleted(message);
            case RelayCommand.PollDue due -> sendPoll();
            case RelayCommand.OrderCompleted done -> {
                if (workerRef != null && dispatcher.onResult(destination(), done.order(), done.result())) {
                    report();
                }
            }
            case RelayCommand.OrderRetryDue due -> {
                if (workerRef != null) {
                    dispatcher.send(destination(), due.order());
                }
            }
            case RelayCommand.LinkChanged link ->
                leader.onLinkChanged(link.attempt(), link.event(), this::report, this::onOrders);
            case RelayCommand.LeaderSearchDue due -> leader.search();
            case RelayCommand.LeaderLookupCompleted lookup -> leader.onLookupCompleted(lookup.address());
            case RelayCommand.Tick tick -> onTick();
        }
        return this;
    }

    /*
     * The worker
     */

    private void onHeartbeat(WorkerHeartbeat newHeartbeat) {
        boolean sameLifetime = heartbeat != null
                && heartbeat.id().equals(newHeartbeat.id())
                && heartbeat.startedAtMs() == newHeartbeat.startedAtMs();
        // A heartbeat may arrive after its worker has crashed and was restarted at the same address.
        boolean stale = sameLifetime && newHeartbeat.sequence() <= heartbeat.sequence()
                || workerRef != null && newHeartbeat.startedAtMs() < workerRef.startedAtMs();
        if (stale) {
            log.emit(
                    RelayEvent.HEARTBEAT_REFUSED,
                    "worker",
                    newHeartbeat.id(),
                    "number",
                    newHeartbeat.sequence(),
                    "bornMs",
                    newHeartbeat.startedAtMs(),
                    "reason",
                    "older than a heartbeat that was received before");
            return;
        }
        boolean changed = !sameLifetime || heartbeat.draining() != newHeartbeat.draining();
        heartbeat = newHeartbeat;
        if (changed) {
            log.emit(
                    sameLifetime ? RelayEvent.WORKER_STATE : RelayEvent.WORKER_LIFETIME,
                    "worker",
                    newHeartbeat.id(),
                    "bornMs",
                    newHeartbeat.startedAtMs(),
                    "draining",
                    newHeartbeat.draining(),
                    "number",
                    newHeartbeat.sequence());
        }
        updateLifetime(newHeartbeat.id(), newHeartbeat.startedAtMs());
        if (changed) {
            report();
        }
    }

    private void onDeregistered(String workerId) {
        deregistered |= workerRef != null && workerRef.id().equals(workerId);
        log.emit(RelayEvent.WORKER_LEFT, "worker", workerId);
    }

    /** Discards the state of the former lifetime of the worker when a new one is seen. */
    private void updateLifetime(String id, long startedAtMs) {
        if (workerRef != null && workerRef.id().equals(id) && workerRef.startedAtMs() == startedAtMs) {
            return;
        }
        if (workerRef != null && workerRef.id().equals(id)) {
            lease.assumeReceived(clock.nowMs());
        }
        workerRef = new WorkerRef(guard, id, startedAtMs);
        lease.resetClock();
        snapshot = new WorkerSnapshot(0, 0, List.of(), List.of());
        hasSnapshot = false;
        acknowledgedEnd = 0;
        contact.reset();
        workerReplaced = false;
        expiryReported = false;
        crashReported = false;
        deregistered = false;
        dispatcher.clear();
    }

    private void sendPoll() {
        if (pollInFlight) {
            return;
        }
        pollInFlight = true;
        long nowMs = clock.nowMs();
        boolean known = workerRef != null && !workerReplaced;
        // A poll without the id of the worker may reach another one, whose ends and lease it must not affect.
        // Without a confirmed lifetime the poll only asks which one answers, and the worker need not hold it.
        boolean confirmed = known && contact.isConfirmed();
        long leaseUntilMs = confirmed ? lease.issueUntilMs(nowMs) : WorkerCalls.NO_LEASE;
        int waitMs = (confirmed || workerRef == null) && snapshot.ended().isEmpty() ? POLL_WAIT_MS : 0;
        var self = getContext().getSelf();
        WorkerRef expected = workerRef;
        worker.poll(known ? workerRef.id() : "", leaseUntilMs, term, confirmed ? endToAcknowledge() : 0, waitMs)
                .thenAccept(result -> self.tell(new RelayCommand.PollCompleted(result, expected, known, nowMs)));
    }

    /**
     * Returns the number of the last end that the worker is told to forget; 0 for none. Numbers count anew in each
     * lifetime, and the next one under the same id may receive the poll. So the number is sent only in response to an
     * answer that lists such an end.
     */
    private long endToAcknowledge() {
        boolean listed = snapshot.ended().stream().anyMatch(end -> end.number() <= acknowledgedEnd);
        return listed ? acknowledgedEnd : 0;
    }

    private void onPollCompleted(RelayCommand.PollCompleted poll) {
        pollInFlight = false;
        long nowMs = clock.nowMs();
        switch (poll.result()) {
            case CallResult.Done<WorkerSnapshot> done -> onAnswer(done.answer(), poll, nowMs);
            case CallResult.Refused<WorkerSnapshot> refused -> {
                workerReplaced |= refused.reason().equals(WorkerCalls.OTHER_WORKER);
                onPollFailed(refused.reason(), false, nowMs);
            }
            case CallResult.Unanswered<WorkerSnapshot> noAnswer ->
                onPollFailed(noAnswer.reason(), noAnswer.portClosed(), nowMs);
        }
        if (nowMs - poll.sentAtMs() < 1 && snapshot.ended().isEmpty() && contact.isReachable()) {
            // A worker holds a poll until something has happened, so an immediate answer is rare.
            schedule(MIN_POLL_DELAY_MS, new RelayCommand.PollDue());
        } else if (contact.failedPolls() > 0) {
            // Starts are held until the worker answers again, so the first attempt follows soon.
            int delayMs = contact.failedPolls() == 1 ? MIN_POLL_DELAY_MS : FAILED_POLL_DELAY_MS;
            schedule(delayMs, new RelayCommand.PollDue());
        } else if (snapshot.ended().isEmpty()) {
            sendPoll();
        } else {
            schedule(UNACKNOWLEDGED_POLL_DELAY_MS, new RelayCommand.PollDue());
        }
    }

    /** Finds out which lifetime has answered; one that started again under its id tells so only by its start time. */
    private void onAnswer(WorkerSnapshot answer, RelayCommand.PollCompleted poll, long nowMs) {
        boolean expectedLifetime = workerRef != null && answer.startedAtMs() == workerRef.startedAtMs();
        if (!expectedLifetime && (workerRef == null || !workerRef.equals(poll.expected()))) {
            // Without a heartbeat the worker is not known; one that came during the poll is newer than the answer.
            return;
        }
        if (!expectedLifetime && !poll.named()) {
            onPollFailed("another worker answers, whose heartbeat has not come yet", false, nowMs);
        } else if (answer.startedAtMs() == 0 && lease.isBefore(answer.clockMs())) {
            onPollFailed("the worker's clock went back, so it has started again", false, nowMs);
        } else {
            workerReplaced = false;
            if (answer.startedAtMs() > 0) {
                updateLifetime(workerRef.id(), answer.startedAtMs());
            }
            onLists(answer, nowMs);
        }
    }

    private void onLists(WorkerSnapshot answer, long nowMs) {
        if (!contact.isReachable()) {
            log.emit(RelayEvent.WORKER_ANSWERS, "worker", workerRef.id(), "failed", contact.failedPolls());
        }
        contact.onAnswered(nowMs);
        expiryReported = false;
        crashReported = false;
        lease.updateClock(answer.clockMs(), nowMs);
        boolean newEnds = !answer.ended().isEmpty() && answer.lastEndNumber() > snapshot.lastEndNumber();
        boolean first = !hasSnapshot;
        if (answer.skippedRows() != snapshot.skippedRows()) {
            log.emit(RelayEvent.ROWS_SKIPPED, "worker", workerRef.id(), "rows", answer.skippedRows());
        }
        snapshot = answer;
        dispatcher.onEnded(answer.ended());
        hasSnapshot = true;
        pollNumber++;
        dispatcher.sendHeldStarts(destination());
        if (newEnds || first || nowMs - reportedAtMs >= REPORT_INTERVAL_MS / 2) {
            report();
        }
    }

    private void onPollFailed(String reason, boolean portClosed, long nowMs) {
        contact.onFailed(portClosed, nowMs);
        if (contact.hasBecomeUnreachable()) {
            log.emit(
                    RelayEvent.WORKER_SILENT,
                    "worker",
                    workerRef == null ? "unknown" : workerRef.id(),
                    "reason",
                    reason,
                    "leaseLeftMs",
                    lease.expiresInMs(nowMs),
                    "running",
                    snapshot.running().size());
            report();
        }
    }

    /**
     * Tells whether nothing is left running on the worker. A port that refuses connections does not show it: the
     * listener may be reopened, or something on the way may refuse, while the worker works on under its lease.
     */
    private boolean hasLeaseExpired(long nowMs) {
        return !contact.isReachable() && (lease.hasExpired(nowMs) || deregistered && isPortClosed(nowMs));
    }

    private boolean isPortClosed(long nowMs) {
        return contact.refusedForMs(nowMs) > PORT_CLOSED_MS;
    }

    /** Tells whether the worker's process seems to have ended unannounced, so that a task may have crashed it. */
    private boolean seemsCrashed(long nowMs) {
        return !contact.isReachable() && isPortClosed(nowMs) && !heartbeat.draining() && !deregistered;
    }

    /*
     * Orders
     */

    private void onOrders(LeaderOrders orders) {
        WorkerRef intendedWorker = JobRecords.fromThrift(orders.getWorker());
        if (orders.getTerm() < term || !intendedWorker.equals(workerRef)) {
            log.emit(
                    RelayEvent.ORDERS_IGNORED,
                    "term",
                    orders.getTerm(),
                    "newest",
                    term,
                    "worker",
                    intendedWorker.id(),
                    "starts",
                    orders.getStartsSize());
            return;
        }
        term = orders.getTerm();
        leader.reviewWriteAge(orders.getWriteAgeMs());
        lease.grant(orders.getEchoedTickMs());
        if (orders.getAcknowledgedEnd() > acknowledgedEnd) {
            acknowledgedEnd = orders.getAcknowledgedEnd();
            sendPoll();
        }
        orders.getStarts()
                .forEach(start -> start(
                        new WorkerCalls.RunStartCall(
                                start.getTask(), start.getRun(), start.getPayload(), start.getCheckpoint()),
                        orders.getEchoedTickMs() + startValidMs));
        orders.getStops().forEach(stop -> dispatcher.stop(destination(), stop.getTask(), stop.getRun()));
        orders.getPaces()
                .forEach(share ->
                        dispatcher.setCpuShare(destination(), share.getTask(), share.getRun(), share.getPercent()));
    }

    private void start(WorkerCalls.RunStartCall call, long validUntilMs) {
        if (heartbeat != null && heartbeat.draining()) {
            dispatcher.refuse(call, "draining");
            report();
        } else {
            dispatcher.start(destination(), call, validUntilMs);
        }
    }

    private OrderDispatcher.Destination destination() {
        return new OrderDispatcher.Destination(workerRef.id(), term, contact.isReachable(), contact.isConfirmed());
    }

    /*
     * The leader
     */

    private void onTick() {
        leader.onTick();
        long nowMs = clock.nowMs();
        boolean expired = workerRef != null && hasLeaseExpired(nowMs);
        boolean crashed = heartbeat != null && workerRef != null && seemsCrashed(nowMs);
        if (crashed && !crashReported) {
            crashReported = true;
            report();
        }
        if (expired && !expiryReported) {
            expiryReported = true;
            log.emit(
                    RelayEvent.LEASE_LAPSED,
                    "worker",
                    workerRef.id(),
                    "bornMs",
                    workerRef.startedAtMs(),
                    "leaseLeftMs",
                    lease.expiresInMs(nowMs),
                    "refusedForMs",
                    contact.refusedForMs(nowMs),
                    "answerAgeMs",
                    contact.answerAgeMs(nowMs),
                    "failed",
                    contact.failedPolls(),
                    "running",
                    snapshot.running().size());
            report();
        } else if (nowMs - reportedAtMs >= REPORT_INTERVAL_MS) {
            report();
        }
    }

    private void report() {
        if (!leader.isConnected()) {
            return;
        }
        long nowMs = clock.nowMs();
        GuardReport message = new GuardReport();
        message.setGuard(guard);
        message.setTickMs(nowMs);
        message.setTerm(term);
        message.setOutcomes(dispatcher.outcomes());
        if (heartbeat != null && workerRef != null) {
            WorkerRef described = new WorkerRef(guard, heartbeat.id(), heartbeat.startedAtMs());
            message.setWorker(GuardMessages.toThrift(
                    described.equals(workerRef) ? describeWorker(nowMs) : describeFormerLifetime(described)));
            dispatcher.clearOutcomes();
        }
        reportedAtMs = nowMs;
        leader.send(Body.guardReport(message));
    }

    private WorkerReport describeWorker(long nowMs) {
        return new WorkerReport(
                workerRef,
                heartbeat.service(),
                heartbeat.zone(),
                heartbeat.capacity(),
                heartbeat.labels(),
                heartbeat.draining(),
                contact.isReachable() && hasSnapshot,
                hasLeaseExpired(nowMs),
                snapshot.running(),
                snapshot.ended(),
                pollNumber,
                seemsCrashed(nowMs));
    }

    /**
     * Describes a lifetime that has ended, while there is no heartbeat of the next one yet. Nothing is said about its
     * runs, because the next lifetime may have carried out their starts.
     */
    private WorkerReport describeFormerLifetime(WorkerRef former) {
        return new WorkerReport(
                former,
                heartbeat.service(),
                heartbeat.zone(),
                heartbeat.capacity(),
                heartbeat.labels(),
                heartbeat.draining(),
                false,
                false,
                List.of(),
                List.of(),
                pollNumber);
    }

    private void schedule(int delayMs, RelayCommand command) {
        getContext().scheduleOnce(Duration.ofMillis(delayMs), getContext().getSelf(), command);
    }
}
