package org.fulmarreach.guard.jobs;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;

import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.javadsl.AbstractBehavior;
import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.actor.typed.javadsl.Receive;
import org.apache.pekko.actor.typed.javadsl.TimerScheduler;
import org.fulmarreach.core.jobs.JobTimes;
import org.fulmarreach.core.jobs.WorkerRef;
import org.fulmarreach.core.jobs.WorkerReport;
import org.fulmarreach.platform.worker.CallResult;
import org.fulmarreach.platform.worker.WorkerBeat;
import org.fulmarreach.platform.worker.WorkerCalls;
import org.fulmarreach.platform.worker.WorkerLook;
import org.fulmarreach.protocol.io.GuardMessages;
import org.fulmarreach.protocol.io.JobRecords;
import org.fulmarreach.protocol.thrift.Body;
import org.fulmarreach.protocol.thrift.GuardReport;
import org.fulmarreach.protocol.thrift.LeaderOrders;
import org.fulmarreach.runtime.log.EventLog;
import org.fulmarreach.runtime.net.FrameLink;
import org.fulmarreach.runtime.net.LinkEvent;
import org.fulmarreach.runtime.util.MonotonicClock;

/**
 * Speaks to the worker beside it on behalf of the leader: extends its lease, reports its lists, and carries out orders.
 * It decides nothing about tasks, except that a draining worker gets no start.
 */
public final class WorkerRelay extends AbstractBehavior<RelayCommand> {
    private static final Duration TICK = Duration.ofMillis(250);

    /** Progress and lease are renewed in this interval; an end is reported at once. */
    private static final int LOOK_WAIT_MS = 500;

    /** Pause before the next look while listed ends wait for the leader's acknowledgement. */
    private static final int UNACKNOWLEDGED_PAUSE_MS = 100;

    private static final int SILENT_PAUSE_MS = 200;

    /** One lost answer says little; two in a row make a worker unreachable. */
    private static final int FAILED_LOOKS = 2;

    /** A port that refuses for this long belongs to no living worker. */
    private static final long PORT_CLOSED_MS = 700;

    private static final int REPORT_INTERVAL_MS = 500;

    /** A leader that could not write for this long may have been replaced: others wait 1.5 s before they ask. */
    private static final long LEADER_WRITE_AGE_MS = 1_800;

    /** Pause between two questions to the store about the leader. */
    private static final long DOUBT_INTERVAL_MS = 700;

    /** Keeps a worker that answers at once from being asked without pause. */
    private static final int QUICK_PAUSE_MS = 60;

    private final WorkerCalls worker;
    private final Links links;
    private final LeaderFinder finder;
    private final WorkerLease lease;
    private final String guard;
    private final long startValidMs;
    private final MonotonicClock clock;
    private final EventLog log;
    private final OrderBoard board;
    private WorkerBeat beat;
    private WorkerRef ref;
    private WorkerLook look = new WorkerLook("", 0, 0, List.of(), List.of());
    private boolean looked;
    private long lookNumber;
    private boolean lookInFlight;
    private int failedLooks;
    private long portClosedSinceMs;
    private boolean lapseReported;
    private long acknowledgedEnd;
    private long term;
    private FrameLink leader;
    private boolean accepted;
    private long linkAttempt;
    private long reportedAtMs;
    private long doubtedAtMs;

    /** Ways out of the process that the relay needs. */
    public interface Links {
        /**
         * Opens a connection to an entry.
         *
         * @param address {@code host:port}
         * @param listener takes its events
         */
        void connect(String address, Consumer<LinkEvent> listener);

        /**
         * Asks the store who leads.
         *
         * @param answer takes {@code host:port}, or an empty text if that is not known
         */
        void findLeader(Consumer<String> answer);
    }

    private WorkerRelay(
            ActorContext<RelayCommand> context,
            TimerScheduler<RelayCommand> timers,
            WorkerCalls worker,
            Links links,
            List<String> entries,
            String guard,
            JobTimes times,
            MonotonicClock clock,
            EventLog log,
            Random random) {
        super(context);
        this.worker = worker;
        this.links = links;
        this.finder = new LeaderFinder(entries, random);
        this.lease = new WorkerLease(times.leaseMs(), clock.nowMs());
        this.guard = guard;
        this.startValidMs = times.startValidMs();
        this.clock = clock;
        this.log = log;
        this.board = new OrderBoard(worker, lease, context, clock, log);
        timers.startTimerWithFixedDelay(new RelayCommand.Tick(), TICK);
        issueLook();
        seek();
    }

    /**
     * Constructs the behavior.
     *
     * @param worker calls to the worker
     * @param links ways out of the process
     * @param entries {@code host:port} of entries; may be stale
     * @param guard node name of this guard
     * @param times bounds on leases and on the age of starts
     * @param clock monotonic clock
     * @param log events
     * @param random spreads guards over time
     */
    public static Behavior<RelayCommand> create(
            WorkerCalls worker,
            Links links,
            List<String> entries,
            String guard,
            JobTimes times,
            MonotonicClock clock,
            EventLog log,
            Random random) {
        return Behaviors.setup(context -> Behaviors.withTimers(
                timers -> new WorkerRelay(context, timers, worker, links, entries, guard, times, clock, log, random)));
    }

    @Override
    public Receive<RelayCommand> createReceive() {
        return newReceiveBuilder()
                .onMessage(RelayCommand.class, this::onCommand)
                .build();
    }

    private Behavior<RelayCommand> onCommand(RelayCommand command) {
        switch (command) {
            case RelayCommand.Beat message -> onBeat(message.beat());
            case RelayCommand.Left left -> onLeft(left.workerId());
            case RelayCommand.Looked message -> onLooked(message.result(), message.sentAtMs());
            case RelayCommand.LookDue due -> issueLook();
            case RelayCommand.OrderDone done -> {
                if (ref != null && board.onDone(target(), done.order(), done.result())) {
                    report();
                }
            }
            case RelayCommand.OrderDue due -> {
                if (ref != null) {
                    board.send(target(), due.order());
                }
            }
            case RelayCommand.EntryLink link -> onEntryLink(link.attempt(), link.event());
            case RelayCommand.SeekDue due -> seek();
            case RelayCommand.LeaderNamed named -> onLeaderNamed(named.address());
            case RelayCommand.Tick tick -> onTick();
        }
        return this;
    }

    /*
     * The worker
     */

    private void onBeat(WorkerBeat newBeat) {
        boolean sameLife = beat != null && beat.id().equals(newBeat.id()) && beat.bornMs() == newBeat.bornMs();
        // A heartbeat may arrive after its sender has crashed and another lifetime has begun at the same address.
        boolean late = sameLife && newBeat.number() <= beat.number() || ref != null && newBeat.bornMs() < ref.bornMs();
        if (late) {
            log.emit(
                    RelayEvent.HEARTBEAT_REFUSED,
                    "worker",
                    newBeat.id(),
                    "number",
                    newBeat.number(),
                    "bornMs",
                    newBeat.bornMs(),
                    "reason",
                    "older than a former one");
            return;
        }
        boolean changed = !sameLife || beat.draining() != newBeat.draining();
        beat = newBeat;
        if (changed) {
            log.emit(
                    sameLife ? RelayEvent.WORKER_STATE : RelayEvent.WORKER_LIFETIME,
                    "worker",
                    newBeat.id(),
                    "bornMs",
                    newBeat.bornMs(),
                    "draining",
                    newBeat.draining(),
                    "number",
                    newBeat.number());
        }
        noteLifetime(newBeat.id(), newBeat.bornMs());
        if (changed) {
            report();
        }
    }

    private void onLeft(String workerId) {
        log.emit(RelayEvent.WORKER_LEFT, "worker", workerId);
    }

    /** Starts over when another lifetime of the worker shows itself. */
    private void noteLifetime(String id, long bornMs) {
        if (ref != null && ref.id().equals(id) && ref.bornMs() == bornMs) {
            return;
        }
        ref = new WorkerRef(guard, id, bornMs);
        lease.forgetClock();
        look = new WorkerLook("", 0, 0, List.of(), List.of());
        looked = false;
        acknowledgedEnd = 0;
        failedLooks = 0;
        portClosedSinceMs = 0;
        lapseReported = false;
        board.clear();
    }

    private boolean isReachable() {
        return failedLooks < FAILED_LOOKS;
    }

    private void issueLook() {
        if (lookInFlight) {
            return;
        }
        lookInFlight = true;
        long nowMs = clock.nowMs();
        long leaseUntilMs = isReachable() ? lease.take(nowMs) : WorkerCalls.NO_LEASE;
        int waitMs = look.ended().isEmpty() ? LOOK_WAIT_MS : 0;
        var self = getContext().getSelf();
        worker.look(leaseUntilMs, term, acknowledgedEnd, waitMs)
                .thenAccept(result -> self.tell(new RelayCommand.Looked(result, nowMs)));
    }

    private void onLooked(CallResult<WorkerLook> result, long sentAtMs) {
        lookInFlight = false;
        long nowMs = clock.nowMs();
        switch (result) {
            case CallResult.Done<WorkerLook> done -> onAnswer(done.answer(), nowMs);
            case CallResult.Refused<WorkerLook> refused -> onLookFailed(refused.reason(), false, nowMs);
            case CallResult.Unanswered<WorkerLook> silent -> onLookFailed(silent.reason(), silent.portClosed(), nowMs);
        }
        if (nowMs - sentAtMs < 1 && look.ended().isEmpty() && isReachable()) {
            // The worker answers waiting looks only when something happened, so an answer at once is rare.
            schedule(QUICK_PAUSE_MS, new RelayCommand.LookDue());
        } else if (!isReachable() || failedLooks > 0) {
            schedule(SILENT_PAUSE_MS, new RelayCommand.LookDue());
        } else if (look.ended().isEmpty()) {
            issueLook();
        } else {
            schedule(UNACKNOWLEDGED_PAUSE_MS, new RelayCommand.LookDue());
        }
    }

    private void onAnswer(WorkerLook answer, long nowMs) {
        if (!answer.id().isEmpty() && answer.bornMs() > 0) {
            noteLifetime(answer.id(), answer.bornMs());
        }
        if (!isReachable()) {
            log.emit(RelayEvent.WORKER_ANSWERS, "worker", ref == null ? "unknown" : ref.id(), "failed", failedLooks);
        }
        failedLooks = 0;
        portClosedSinceMs = 0;
        lapseReported = false;
        lease.readClock(answer.clockMs(), nowMs);
        boolean newEnds = !answer.ended().isEmpty() && lastEnd(answer) > lastEnd(look);
        boolean first = !looked;
        look = answer;
        looked = true;
        lookNumber++;
        if (newEnds || first || nowMs - reportedAtMs >= REPORT_INTERVAL_MS / 2) {
            report();
        }
    }

    private static long lastEnd(WorkerLook answer) {
        return answer.ended().isEmpty()
                ? 0
                : answer.ended().get(answer.ended().size() - 1).number();
    }

    private void onLookFailed(String reason, boolean portClosed, long nowMs) {
        failedLooks++;
        portClosedSinceMs = portClosed ? (portClosedSinceMs == 0 ? nowMs : portClosedSinceMs) : 0;
        if (failedLooks == FAILED_LOOKS) {
            log.emit(
                    RelayEvent.WORKER_SILENT,
                    "worker",
                    ref == null ? "unknown" : ref.id(),
                    "reason",
                    reason,
                    "running",
                    look.running().size());
            report();
        }
    }

    private boolean hasLapsed(long nowMs) {
        boolean dead = portClosedSinceMs > 0 && nowMs - portClosedSinceMs > PORT_CLOSED_MS;
        return !isReachable() && (dead || lease.hasLapsed(nowMs));
    }

    /*
     * Orders
     */

    private void onOrders(LeaderOrders orders) {
        WorkerRef meant = JobRecords.fromThrift(orders.getWorker());
        if (orders.getTerm() < term || !meant.equals(ref)) {
            log.emit(
                    RelayEvent.ORDERS_IGNORED,
                    "term",
                    orders.getTerm(),
                    "newest",
                    term,
                    "worker",
                    meant.id(),
                    "starts",
                    orders.getStartsSize());
            return;
        }
        term = orders.getTerm();
        if (orders.getWriteAgeMs() > LEADER_WRITE_AGE_MS && clock.nowMs() - doubtedAtMs > DOUBT_INTERVAL_MS) {
            doubtedAtMs = clock.nowMs();
            var self = getContext().getSelf();
            links.findLeader(named -> self.tell(new RelayCommand.LeaderNamed(named)));
        }
        lease.grant(orders.getEchoedTickMs());
        if (orders.getAcknowledgedEnd() > acknowledgedEnd) {
            acknowledgedEnd = orders.getAcknowledgedEnd();
            issueLook();
        }
        orders.getStarts()
                .forEach(start -> start(
                        new WorkerCalls.RunStartCall(
                                start.getTask(), start.getRun(), start.getPayload(), start.getCheckpoint()),
                        orders.getEchoedTickMs() + startValidMs));
        orders.getStops().forEach(stop -> board.stop(target(), stop.getTask(), stop.getRun()));
        orders.getPaces().forEach(pace -> board.pace(target(), pace.getTask(), pace.getRun(), pace.getPercent()));
    }

    private void start(WorkerCalls.RunStartCall call, long validUntilMs) {
        if (beat != null && beat.draining()) {
            board.refuse(call, "draining");
            report();
        } else {
            board.start(target(), call, validUntilMs);
        }
    }

    private OrderBoard.Target target() {
        return new OrderBoard.Target(ref.id(), term, isReachable());
    }

    /*
     * The leader
     */

    private void seek() {
        if (leader != null) {
            return;
        }
        String address = finder.next();
        var self = getContext().getSelf();
        if (address.isEmpty()) {
            links.findLeader(named -> self.tell(new RelayCommand.LeaderNamed(named)));
        } else {
            connect(address);
        }
    }

    private void onLeaderNamed(String address) {
        if (leader != null) {
            if (!address.isEmpty() && !address.equals(leader.remoteAddress())) {
                log.emit(RelayEvent.LEADER_DOUBTED, "former", leader.remoteAddress(), "address", address, "term", term);
                finder.tell(address);
                leader.close();
            }
            return;
        }
        if (address.isEmpty()) {
            schedule(finder.pauseMs(), new RelayCommand.SeekDue());
        } else {
            connect(address);
        }
    }

    private void connect(String address) {
        linkAttempt++;
        long attempt = linkAttempt;
        var self = getContext().getSelf();
        log.emit(RelayEvent.LEADER_SOUGHT, "address", address, "attempt", attempt);
        links.connect(address, event -> self.tell(new RelayCommand.EntryLink(attempt, event)));
    }

    private void onEntryLink(long attempt, LinkEvent event) {
        if (attempt != linkAttempt) {
            if (event instanceof LinkEvent.Opened opened) {
                opened.link().close();
            }
            return;
        }
        switch (event) {
            case LinkEvent.Opened opened -> {
                leader = opened.link();
                accepted = false;
                report();
            }
            case LinkEvent.Received received ->
                onMessage(received.link(), received.frame().getBody());
            case LinkEvent.Closed closed -> {
                if (accepted) {
                    log.emit(RelayEvent.LEADER_LOST, "term", term, "reason", closed.reason());
                    finder.restart();
                }
                leader = null;
                accepted = false;
                schedule(finder.pauseMs(), new RelayCommand.SeekDue());
            }
        }
    }

    private void onMessage(FrameLink link, Body body) {
        if (body.isSetLeaderOrders()) {
            if (!accepted) {
                accepted = true;
                log.emit(
                        RelayEvent.LEADER_FOUND,
                        "address",
                        link.remoteAddress(),
                        "term",
                        body.getLeaderOrders().getTerm());
            }
            onOrders(body.getLeaderOrders());
        } else if (body.isSetLeaderHint()) {
            finder.tell(body.getLeaderHint().getAddress());
            link.close();
        }
    }

    private void onTick() {
        long nowMs = clock.nowMs();
        boolean lapsed = ref != null && hasLapsed(nowMs);
        if (lapsed && !lapseReported) {
            lapseReported = true;
            log.emit(RelayEvent.LEASE_LAPSED, "worker", ref.id(), "portClosed", portClosedSinceMs > 0);
            report();
        } else if (nowMs - reportedAtMs >= REPORT_INTERVAL_MS) {
            report();
        }
    }

    private void report() {
        if (leader == null) {
            return;
        }
        long nowMs = clock.nowMs();
        GuardReport message = new GuardReport();
        message.setGuard(guard);
        message.setTickMs(nowMs);
        message.setTerm(term);
        message.setOutcomes(board.outcomes());
        if (beat != null && ref != null && ref.id().equals(beat.id()) && ref.bornMs() == beat.bornMs()) {
            message.setWorker(GuardMessages.toThrift(describeWorker(nowMs)));
            board.clearOutcomes();
        }
        reportedAtMs = nowMs;
        leader.send(0, Body.guardReport(message));
    }

    private WorkerReport describeWorker(long nowMs) {
        return new WorkerReport(
                ref,
                beat.service(),
                beat.zone(),
                beat.capacity(),
                beat.labels(),
                beat.draining(),
                isReachable() && looked,
                hasLapsed(nowMs),
                look.running(),
                look.ended(),
                lookNumber);
    }

    private void schedule(int delayMs, RelayCommand command) {
        getContext().scheduleOnce(Duration.ofMillis(delayMs), getContext().getSelf(), command);
    }
}
