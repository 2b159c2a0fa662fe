package org.fulmarreach.guard.jobs;

import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Random;

import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.javadsl.AbstractBehavior;
import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.actor.typed.javadsl.Receive;
import org.apache.pekko.actor.typed.javadsl.TimerScheduler;
import org.fulmarreach.core.jobs.FencingToken;
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

    /** Delay before the next poll while the worker lists ends that are not acknowledged, or that cannot be read. */
    private static final int UNACKNOWLEDGED_POLL_DELAY_MS = 100;

    private static final int FAILED_POLL_DELAY_MS = 200;

    /** If the port refuses connections for this long, the process of the worker has probably ended. */
    private static final long PORT_CLOSED_MS = 700;

    /** A worker that has deregistered ends at once; one that answers a poll sent later than this works on. */
    private static final long DEREGISTERED_ANSWERS_MS = 1_000;

    private static final int REPORT_INTERVAL_MS = 500;

    /** Delay of a report of stops, which are often confirmed several at a time. */
    private static final int STOP_REPORT_DELAY_MS = 20;

    /** Limits the rate of polls if the worker answers them at once. */
    private static final int MIN_POLL_DELAY_MS = 60;

    private final WorkerCalls worker;
    private final LeaderConnection leader;
    private final WorkerLease lease;
    private final String guard;
    private final long startValidMs;
    private final MonotonicClock clock;
    private final EventLog log;
    private final HeartbeatLog heartbeats;
    private final OrderDispatcher dispatcher;
    private final TimerScheduler<RelayCommand> timers;
    private final WorkerContact contact = new WorkerContact();
    private final LifetimeClaims claims = new LifetimeClaims();
    private final WorkerFence fence;
    private final WorkerDescription description = new WorkerDescription();
    /** Lifetime that has answered a poll last; null before the first. */
    private WorkerRef workerRef;

    private WorkerSnapshot snapshot = new WorkerSnapshot(0, 0, List.of(), List.of());
    private boolean hasSnapshot;
    /** Token of the poll that the lists come from. */
    private FencingToken snapshotToken = new FencingToken(0, 0);

    private boolean hasNewLists;
    private long pollNumber;
    private long pollsSent;
    private boolean pollInFlight;
    private boolean workerReplaced;
    private boolean expiryReported;
    private boolean crashReported;
    private boolean deregistered;
    private long deregisteredAtMs;
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
            InstantSource wallClock,
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
        this.fence = new WorkerFence(wallClock);
        this.clock = clock;
        this.log = log;
        this.heartbeats = new HeartbeatLog(log);
        this.dispatcher = new OrderDispatcher(worker, lease, context, clock, log);
        this.timers = timers;
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
     * @param wallClock orders the processes of this guard
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
            InstantSource wallClock,
            EventLog log,
            Random random) {
        return Behaviors.setup(context -> Behaviors.withTimers(timers -> new WorkerRelay(
                context, timers, worker, links, entries, guard, limits, clock, wallClock, log, random)));
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
                } else if (done.order() instanceof WorkerOrder.Stop && isDraining()) {
                    // The worker may leave, and this guard with it, before the next report is due.
                    reportSoon();
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
            case RelayCommand.ReportDue due -> report();
            case RelayCommand.Tick tick -> onTick();
        }
        return this;
    }

    /*
     * The worker
     */

    private void onHeartbeat(WorkerHeartbeat heartbeat) {
        if (workerRef == null
                || workerReplaced
                || !heartbeat.id().equals(workerRef.id())
                || heartbeat.startedAtMs() != workerRef.startedAtMs()) {
            heartbeats.record(RelayEvent.LIFETIME_CLAIMED, heartbeat);
            claims.add(heartbeat, pollsSent);
            sendPoll();
        } else if (!description.describes(workerRef)) {
            beginDescription(heartbeat);
            report();
        } else {
            updateDescription(heartbeat);
        }
    }

    /** Handles the heartbeat of a lifetime that has answered. */
    private void onConfirmed(WorkerHeartbeat heartbeat) {
        if (description.describes(workerRef)) {
            updateDescription(heartbeat);
        } else {
            beginDescription(heartbeat);
        }
    }

    private void beginDescription(WorkerHeartbeat first) {
        description.begin(first);
        heartbeats.record(RelayEvent.WORKER_LIFETIME, first);
    }

    private void updateDescription(WorkerHeartbeat heartbeat) {
        WorkerDescription.Effect effect = description.update(heartbeat, clock.nowMs());
        if (effect == WorkerDescription.Effect.IGNORED) {
            refuseHeartbeat(heartbeat, "contradicts the heartbeats before it");
        } else if (effect == WorkerDescription.Effect.CHANGED) {
            heartbeats.record(RelayEvent.WORKER_STATE, heartbeat);
            report();
        }
    }

    private void refuseHeartbeat(WorkerHeartbeat heartbeat, String reason) {
        heartbeats.recordRefused(heartbeat, workerRef == null ? 0 : workerRef.startedAtMs(), reason);
    }

    private void refuseHeartbeats(List<WorkerHeartbeat> refuted, String reason) {
        refuted.forEach(heartbeat -> refuseHeartbeat(heartbeat, reason));
    }

    private void onDeregistered(String workerId) {
        boolean present = workerRef != null && workerRef.id().equals(workerId);
        if (present) {
            deregistered = true;
            deregisteredAtMs = clock.nowMs();
        }
        log.emit(RelayEvent.WORKER_LEFT, "worker", workerId, "present", present, "draining", isDraining());
    }

    /** Discards the state of the former lifetime of the worker when another one has answered a poll. */
    private void updateLifetime(String id, long startedAtMs) {
        if (workerRef != null && workerRef.id().equals(id) && workerRef.startedAtMs() == startedAtMs) {
            return;
        }
        if (workerRef != null) {
            fence.onLifetime();
            if (workerRef.id().equals(id)) {
                lease.assumeReceived(clock.nowMs());
            }
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
        timers.cancel(new RelayCommand.PollDue());
        long number = ++pollsSent;
        long nowMs = clock.nowMs();
        boolean known = workerRef != null && !workerReplaced;
        // A poll without the id of the worker may reach another one, whose ends and lease it must not affect.
        // Without a confirmed lifetime the poll only asks which one answers, and the worker need not hold it.
        boolean confirmed = known && contact.isConfirmed();
        String id = known ? workerRef.id() : claims.nextId();
        long leaseUntilMs = confirmed ? lease.issueUntilMs(nowMs) : WorkerCalls.NO_LEASE;
        boolean mayWait = (confirmed || workerRef == null)
                && claims.isEmpty()
                && snapshot.ended().isEmpty();
        var self = getContext().getSelf();
        FencingToken token = fence.token(term);
        worker.poll(id, leaseUntilMs, token.value(), confirmed ? endToAcknowledge() : 0, mayWait ? POLL_WAIT_MS : 0)
                .thenAccept(result -> self.tell(new RelayCommand.PollCompleted(result, id, token, number, nowMs)));
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
                if (refused.reason().equals(WorkerCalls.OTHER_WORKER)) {
                    onOtherWorker(poll);
                } else if (refused.reason().equals(WorkerCalls.FENCED)) {
                    fence.onRefused(poll.token());
                }
                onPollFailed(refused.reason(), false, nowMs);
            }
            case CallResult.Unanswered<WorkerSnapshot> noAnswer ->
                onPollFailed(noAnswer.reason(), noAnswer.portClosed(), nowMs);
        }
        if (workerRef != null && !hasSnapshot && contact.failedPolls() == 0) {
            // The answer has named a new lifetime, which may carry out delayed calls until it has seen its own token.
            sendPoll();
        } else if (nowMs - poll.sentAtMs() < 1 && snapshot.ended().isEmpty() && contact.isReachable()) {
            // A worker holds a poll until something has happened, so an immediate answer is rare.
            pollIn(MIN_POLL_DELAY_MS);
        } else if (contact.failedPolls() > 0) {
            // Starts are held until the worker answers again, so the first attempt follows soon.
            int delayMs = contact.failedPolls() == 1 ? MIN_POLL_DELAY_MS : FAILED_POLL_DELAY_MS;
            pollIn(delayMs);
        } else if (snapshot.ended().isEmpty() && snapshot.isComplete()) {
            sendPoll();
        } else {
            pollIn(UNACKNOWLEDGED_POLL_DELAY_MS);
        }
    }

    /** Handles the refusal of a poll by a worker with another id than the one that the poll named. */
    private void onOtherWorker(RelayCommand.PollCompleted poll) {
        workerReplaced |= workerRef != null && workerRef.id().equals(poll.id());
        refuseHeartbeats(claims.takeRefuted(poll.id(), poll.number()), "a worker with another id answers");
    }

    /** Finds out which lifetime has answered; one that started again under its id tells so only by its start time. */
    private void onAnswer(WorkerSnapshot answer, RelayCommand.PollCompleted poll, long nowMs) {
        if (poll.id().isEmpty()) {
            if (workerRef != null) {
                onPollFailed("another worker answers, whose heartbeat has not come yet", false, nowMs);
            }
            return;
        }
        boolean sameId = workerRef != null && workerRef.id().equals(poll.id());
        boolean startUnknown = sameId ? workerRef.startedAtMs() > 0 : !claims.contains(poll.id(), 0);
        if (answer.startedAtMs() == 0 && startUnknown) {
            onPollFailed("an answer that does not tell the worker's start", false, nowMs);
            return;
        }
        if (sameId && answer.startedAtMs() == 0 && lease.isBefore(answer.clockMs())) {
            onPollFailed("the worker's clock went back, so it has started again", false, nowMs);
            return;
        }
        workerReplaced = false;
        updateLifetime(poll.id(), answer.startedAtMs());
        claims.take(poll.id(), answer.startedAtMs()).ifPresent(this::onConfirmed);
        refuseHeartbeats(claims.takeRefuted(poll.number()), "another lifetime answers");
        deregistered &= poll.sentAtMs() - deregisteredAtMs <= DEREGISTERED_ANSWERS_MS;
        if (poll.token().generation() >= fence.token(term).generation()) {
            onLists(answer, poll.token(), nowMs);
        }
    }

    /**
     * Handles the lists of a lifetime that has seen its own token. A run that they leave out cannot be started any more
     * by a call that was meant for a former lifetime.
     */
    private void onLists(WorkerSnapshot answer, FencingToken token, long nowMs) {
        fence.onAnswered();
        snapshotToken = token;
        if (!contact.isReachable()) {
            log.emit(RelayEvent.WORKER_ANSWERS, "worker", workerRef.id(), "failed", contact.failedPolls());
        }
        contact.onAnswered(nowMs);
        expiryReported = false;
        crashReported = false;
        lease.updateClock(answer.clockMs(), nowMs);
        boolean newEnds = !answer.ended().isEmpty() && answer.lastEndNumber() > snapshot.lastEndNumber();
        boolean first = !hasSnapshot;
        SnapshotLog.logOmissions(log, workerRef.id(), snapshot, answer);
        snapshot = answer;
        dispatcher.onEnded(answer.ended());
        hasSnapshot = true;
        hasNewLists = answer.isComplete();
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
        return !contact.isReachable() && (lease.hasExpired(nowMs) || hasLeftAsAnnounced());
    }

    /** A worker announces its end by draining, so any other deregistration may come from another writer. */
    private boolean hasLeftAsAnnounced() {
        return deregistered && isDraining() && isPortClosed();
    }

    private boolean isPortClosed() {
        return contact.refusedForMs() > PORT_CLOSED_MS;
    }

    /** Tells whether the worker's process seems to have ended unannounced, so that a task may have crashed it. */
    private boolean seemsCrashed() {
        return !contact.isReachable() && isPortClosed() && !isDraining() && !deregistered;
    }

    private boolean isDraining() {
        return description.describes(workerRef) && description.known().draining();
    }

    /*
     * Orders
     */

    private void onOrders(LeaderOrders orders) {
        WorkerRef intendedWorker = JobRecords.fromThrift(orders.getWorker());
        long newestTerm = term;
        // A worker refuses polls with an older term, so a guard that has started again needs it before all else.
        term = Math.max(term, orders.getTerm());
        leader.reviewWriteAge(orders.getWriteAgeMs());
        if (orders.getTerm() < newestTerm || !intendedWorker.equals(workerRef)) {
            log.emit(
                    RelayEvent.ORDERS_IGNORED,
                    "term",
                    orders.getTerm(),
                    "newest",
                    newestTerm,
                    "worker",
                    intendedWorker.id(),
                    "starts",
                    orders.getStartsSize());
            return;
        }
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
        if (isDraining()) {
            dispatcher.refuse(call, "draining");
            report();
        } else {
            dispatcher.start(destination(), call, validUntilMs);
        }
    }

    private OrderDispatcher.Destination destination() {
        return new OrderDispatcher.Destination(
                workerRef.id(), fence.token(term), contact.isReachable(), contact.isConfirmed());
    }

    /*
     * The leader
     */

    private void onTick() {
        leader.onTick();
        long nowMs = clock.nowMs();
        boolean expired = workerRef != null && hasLeaseExpired(nowMs);
        boolean crashed = description.describes(workerRef) && seemsCrashed();
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
                    contact.refusedForMs(),
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

    private void reportSoon() {
        RelayCommand.ReportDue due = new RelayCommand.ReportDue();
        if (!timers.isTimerActive(due)) {
            timers.startSingleTimer(due, due, Duration.ofMillis(STOP_REPORT_DELAY_MS));
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
        WorkerHeartbeat known = description.known();
        if (known != null) {
            message.setWorker(GuardMessages.toThrift(
                    description.describes(workerRef)
                            ? describeWorker(known, nowMs)
                            : description.reportFormer(guard, pollNumber)));
            dispatcher.clearOutcomes();
        }
        reportedAtMs = nowMs;
        leader.send(Body.guardReport(message));
    }

    /**
     * Describes the present lifetime. The leader concludes from several polls without a run that it has ended, so the
     * number of the poll rises only with lists that are complete.
     */
    private WorkerReport describeWorker(WorkerHeartbeat known, long nowMs) {
        pollNumber += hasNewLists ? 1 : 0;
        hasNewLists = false;
        return new WorkerReport(
                workerRef,
                known.service(),
                known.zone(),
                known.capacity(),
                known.labels(),
                known.draining(),
                contact.isReachable() && hasSnapshot,
                hasLeaseExpired(nowMs),
                snapshot.running(),
                snapshot.ended(),
                pollNumber,
                seemsCrashed(),
                hasSnapshot ? snapshotToken : null);
    }

    /** A poll that is sent earlier replaces this one, so that there is one sequence of polls. */
    private void pollIn(int delayMs) {
        RelayCommand.PollDue due = new RelayCommand.PollDue();
        timers.startSingleTimer(due, due, Duration.ofMillis(delayMs));
    }
}
