package org.fulmarreach.entry.jobs;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;

import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.fulmarreach.core.jobs.Job;
import org.fulmarreach.core.jobs.JobBatch;
import org.fulmarreach.core.jobs.JobOrder;
import org.fulmarreach.core.jobs.JobScheduler;
import org.fulmarreach.core.jobs.JobTimeLimits;
import org.fulmarreach.core.jobs.WorkerRef;
import org.fulmarreach.core.jobs.WorkerReport;
import org.fulmarreach.platform.store.AppendCondition;
import org.fulmarreach.platform.store.AppendResult;
import org.fulmarreach.platform.store.KeyedRecord;
import org.fulmarreach.platform.store.StoreClient;
import org.fulmarreach.protocol.io.JobTopics;
import org.fulmarreach.protocol.thrift.OrderOutcome;
import org.fulmarreach.runtime.log.EventLog;
import org.fulmarreach.runtime.util.MonotonicClock;

/**
 * One term of a leader: its scheduler, its sequence of appends, and the orders that wait for an append. An order that
 * depends on a record is sent only after the append of the record is acknowledged. Confined to one actor.
 */
final class LeaderTerm {
    /** Minimum interval between appends, which have a cost; changes within it are written together. */
    private static final int MIN_INTERVAL_MS = 25;

    private static final int RETRY_MS = 150;

    /** Leases are withheld only while the store answers, since they cannot be granted again without it. */
    private static final int MAX_WRITE_AGE_TO_WITHHOLD_MS = 1_000;

    /** Runs are moved out of zones only while their next starts can be stored; the leader writes every 400 ms. */
    private static final int MAX_WRITE_AGE_TO_MOVE_MS = 1_000;

    private final long term;
    private final LeaderRecords records;
    private final JobScheduler scheduler;
    private final JobTimeLimits limits;
    private final GuardSessions sessions;
    private final OrderSender sender;
    private final LogTail requests;
    private final CancellationView cancellations;
    private final RequestRemover remover;
    private final CancellationRemover cancellationRemover;
    private final StoreClient store;
    private final ActorContext<JobsCommand> context;
    private final MonotonicClock clock;
    private final EventLog log;
    private final long startedAtMs;
    private long formerGrantsUntilMs;
    private final Map<String, WorkerReport> heldReports = new LinkedHashMap<>();
    private long sequence;
    private BatchInFlight inFlight;
    private long acknowledgedAtMs;
    private long appendedAtMs;
    private long firstSentAtMs;
    private boolean flushScheduled;
    private final PassPacing pacing = new PassPacing();
    private boolean decisionScheduled;
    private boolean resigning;
    private boolean resignationSent;
    private boolean resignationUnanswered;
    private boolean resigned;

    /**
     * Constructs a term that was just won.
     *
     * @param leaderRecord record that names this entry as leader; written when it has changed, and as keep-alive
     * @param cancellationRemover removes cancellations of jobs that were never submitted
     * @param cancellations holds start orders back while cancellations may be unknown
     */
    LeaderTerm(
            long term,
            Supplier<KeyedRecord> leaderRecord,
            JobScheduler scheduler,
            JobTimeLimits limits,
            GuardSessions sessions,
            LogTail requests,
            CancellationView cancellations,
            CancellationRemover cancellationRemover,
            StoreClient store,
            ActorContext<JobsCommand> context,
            MonotonicClock clock,
            EventLog log) {
        this.term = term;
        this.records = new LeaderRecords(term, leaderRecord, scheduler, store.limits(), clock, log);
        this.scheduler = scheduler;
        this.limits = limits;
        this.sessions = sessions;
        this.sender = new OrderSender(term, scheduler, sessions, cancellations, clock);
        this.requests = requests;
        this.cancellations = cancellations;
        this.cancellationRemover = cancellationRemover;
        this.remover = new RequestRemover(term, store, context, clock, log);
        this.store = store;
        this.context = context;
        this.clock = clock;
        this.log = log;
        this.startedAtMs = clock.nowMs();
        this.formerGrantsUntilMs = startedAtMs + limits.grantWithoutStoreMs();
        this.acknowledgedAtMs = startedAtMs;
        this.appendedAtMs = startedAtMs;
    }

    long term() {
        return term;
    }

    JobScheduler scheduler() {
        return scheduler;
    }

    /** Schedules a job that was added or cancelled after the term began. */
    void activate(Job job) {
        scheduler.activate(job, clock.nowMs());
    }

    /** Stops scheduling a job whose requests have been removed, which some leader did after the job had settled. */
    void drop(Job job) {
        scheduler.drop(job);
    }

    /** Takes up what has become known of the processes of former leaders since the term began. */
    void boundFormerGrants(FormerLeaders formerLeaders) {
        long untilMs = formerLeaders.findGrantsUntilMs(term, startedAtMs);
        if (untilMs < formerGrantsUntilMs) {
            formerGrantsUntilMs = untilMs;
            log.emit(JobEvent.FORMER_GRANTS_BOUNDED, "term", term, "ageMs", clock.nowMs() - untilMs);
            scheduler.boundFormerGrants(untilMs);
        }
    }

    void logElected(int jobs, long configVersion) {
        log.emit(
                JobEvent.LEADER_ELECTED,
                "term",
                term,
                "jobs",
                jobs,
                "active",
                scheduler.activeJobs(),
                "config",
                configVersion);
    }

    boolean hasResigned() {
        return resigned;
    }

    /** Returns the maximum time since the store last acknowledged an append, in milliseconds. */
    long writeAgeMs() {
        return clock.nowMs() - acknowledgedAtMs;
    }

    /**
     * Tells whether all jobs that a former leader may have placed are known. Before that, a listed run or end may
     * belong to a job that this entry has not read yet, and would be stopped or forgotten.
     */
    boolean knowsPlacedJobs() {
        return requests.covers(startedAtMs);
    }

    /**
     * Handles a report and answers it with a grant, unless the store has not acknowledged an append for too long. The
     * newest report of each guard is held until {@link #knowsPlacedJobs}, and while leases are withheld from the guard,
     * since no order could be sent to it.
     *
     * @param guardTerm highest term that the guard knows
     * @param decide whether a scheduling pass follows at once
     */
    void onReport(WorkerReport report, long guardTerm, boolean decide) {
        long nowMs = clock.nowMs();
        String guard = report.ref().guard();
        boolean admitted = scheduler.requestLease(guard);
        boolean present = true;
        if (knowsPlacedJobs() && admitted) {
            present = applyReport(report);
            if (present && guardTerm == term) {
                scheduler.onTermKnown(report, nowMs);
            }
        } else {
            heldReports.put(guard, report);
        }
        if (present && admitted) {
            grant(guard);
        } else {
            onGuardWithoutWorker(guard);
        }
        if (!admitted) {
            flush();
        }
        if (decide) {
            decide();
        }
    }

    /**
     * Answers a guard that gets no grant, since it has reported no present lifetime of a worker or leases are withheld
     * from it. It gets the term: a worker that knows the term answers only polls that carry it.
     */
    void onGuardWithoutWorker(String guard) {
        if (mayGrant()) {
            sessions.sendTerm(guard, term, writeAgeMs());
        }
    }

    /** Applies the responses of a worker to orders. */
    void onOutcomes(WorkerRef worker, List<OrderOutcome> outcomes) {
        long nowMs = clock.nowMs();
        for (OrderOutcome each : outcomes) {
            scheduler.onOrderOutcome(worker, each.getTask(), each.getRun(), each.isStart(), each.getOutcome(), nowMs);
        }
    }

    /** Runs a scheduling pass, now or as soon as {@link PassPacing} allows. */
    void decide() {
        long remainingMs = pacing.remainingMs(clock.nowMs());
        if (remainingMs <= 0) {
            decideNow();
        } else if (!decisionScheduled) {
            decisionScheduled = true;
            context.scheduleOnce(Duration.ofMillis(remainingMs), context.getSelf(), new JobsCommand.DecisionDue(term));
        }
    }

    void onDecisionDue() {
        decisionScheduled = false;
        decideNow();
    }

    /** Runs a scheduling pass, sends the orders that need no write, and appends the changes. */
    private void decideNow() {
        pacing.onStarted(clock.nowMs());
        handleLeftGuards();
        if (clock.nowMs() - appendedAtMs >= LeaderRecords.KEEP_ALIVE_MS) {
            // A pass of a leader that is short of processor time can take as long as the election timeout.
            flush();
        }
        boolean placing = cancellations.isFresh();
        scheduler.tick(clock.nowMs(), System.currentTimeMillis(), placing);
        if (placing && writeAgeMs() <= MAX_WRITE_AGE_TO_MOVE_MS) {
            scheduler.moveOutOfZones(clock.nowMs());
        }
        send(scheduler.takeImmediateOrders());
        cancellationRemover.review();
        flush();
        pacing.onEnded(clock.nowMs());
    }

    /** Places nothing on the workers of guards that have left; their reports must not count as new ones later. */
    private void handleLeftGuards() {
        for (String guard : sessions.takeLeft()) {
            heldReports.remove(guard);
            scheduler.onGuardLost(guard);
        }
    }

    /**
     * Applies the reports that were held because jobs were not known, and sends the starts that were held for lack of
     * recent cancellations, unless their jobs have been cancelled.
     */
    void releaseHeld() {
        handleLeftGuards();
        if (knowsPlacedJobs()) {
            applyHeldReports();
        }
        send(cancellations.removeHeld());
    }

    void onFlushDue() {
        flushScheduled = false;
        flush();
    }

    /** Resigns: the next append stores a leader record without a node. */
    void resign() {
        resigning = true;
        flush();
    }

    /** Handles the result of an append; returns false if the term has ended. */
    boolean onWritten(AppendResult result) {
        switch (result) {
            case AppendResult.Appended appended -> acknowledge();
            case AppendResult.OutOfSequence gap -> {
                if (gap.expectedSequence() != sequence + 1) {
                    return false;
                }
                acknowledge();
            }
            case AppendResult.Superseded superseded -> {
                return false;
            }
            case AppendResult.Refused refused -> {
                // Nothing was done, so this entry leads on until the next attempt.
                resignationSent = resignationUnanswered;
                retryLater();
            }
            case AppendResult.Invalid invalid -> onInvalid(invalid.reason());
            case AppendResult.Unknown unknown -> {
                resignationUnanswered = resignationSent;
                retryLater();
            }
        }
        return true;
    }

    void onRequestsRemoved(AppendResult result) {
        remover.onWritten(result);
        flush();
    }

    void onCancellationsRemoved(AppendResult result) {
        cancellationRemover.onWritten(result);
    }

    void onRetryDue() {
        if (inFlight != null) {
            append();
        }
    }

    /*
     * Helpers
     */

    /** A resignation bounds the leases of all guards for the next leader, so none is granted after it. */
    private boolean mayGrant() {
        return writeAgeMs() < limits.grantWithoutStoreMs() && !resignationSent;
    }

    private void grant(String guard) {
        if (mayGrant() && sessions.grant(guard, term, writeAgeMs())) {
            scheduler.onGrantSent(guard, clock.nowMs());
        }
    }

    private void applyHeldReports() {
        for (WorkerReport report : List.copyOf(heldReports.values())) {
            String guard = report.ref().guard();
            if (!scheduler.withholdsLease(guard)) {
                heldReports.remove(guard);
                applyReport(report);
            }
        }
    }

    /** Applies a report. A token of another term proves nothing about the orders of this leader. */
    private boolean applyReport(WorkerReport report) {
        boolean ownToken = report.token() != null && report.token().term() == term;
        return scheduler.onReport(ownToken ? report : report.withToken(null), clock.nowMs());
    }

    private void send(List<JobOrder> orders) {
        sender.send(orders, mayGrant(), writeAgeMs());
    }

    private void flush() {
        if (inFlight != null || flushScheduled || resigned) {
            return;
        }
        long elapsedMs = clock.nowMs() - appendedAtMs;
        if (elapsedMs < MIN_INTERVAL_MS) {
            flushScheduled = true;
            context.scheduleOnce(
                    Duration.ofMillis(MIN_INTERVAL_MS - elapsedMs), context.getSelf(), new JobsCommand.FlushDue());
            return;
        }
        JobBatch batch = deferRemovals(scheduler.takeBatch());
        Optional<Map<String, Long>> withheld = takeWithheldLeases();
        boolean unchanged = batch.progress().isEmpty() && batch.removed().isEmpty() && withheld.isEmpty();
        if (unchanged && !resigning && elapsedMs < LeaderRecords.KEEP_ALIVE_MS) {
            // Nothing to write: the orders depend only on records that are already stored.
            send(batch.orders());
            return;
        }
        List<KeyedRecord> encoded = records.encode(batch, withheld, resigning);
        inFlight = new BatchInFlight(batch, encoded, withheld.isPresent(), resigning, store.limits());
        firstSentAtMs = clock.nowMs();
        append();
    }

    private Optional<Map<String, Long>> takeWithheldLeases() {
        if (resigning || !knowsPlacedJobs()) {
            return Optional.empty();
        }
        boolean answers = writeAgeMs() <= MAX_WRITE_AGE_TO_WITHHOLD_MS;
        Optional<Map<String, Long>> withheld = scheduler.takeWithheldLeases(answers, clock.nowMs());
        withheld.ifPresent(bounds -> log.emit(JobEvent.LEASES_WITHHELD, "term", term, "remainingMs", bounds));
        return withheld;
    }

    /** Replaces the jobs whose retention has ended by those whose requests have already been removed. */
    private JobBatch deferRemovals(JobBatch batch) {
        remover.add(batch.removed());
        if (!resigning) {
            remover.flush();
        }
        return new JobBatch(batch.progress(), remover.takeRemoved(), batch.orders());
    }

    private void append() {
        appendedAtMs = clock.nowMs();
        resignationSent = inFlight.isResignationNext();
        List<KeyedRecord> sent = new ArrayList<>(inFlight.next());
        if (resignationSent) {
            sent.addAll(records.encodeResignation());
        }
        var actor = context.getSelf();
        store.append(
                        JobPartitions.PROGRESS,
                        sent,
                        new AppendCondition.InSequence(JobTopics.LEADER_PRODUCER, term, sequence + 1))
                .thenAccept(result -> actor.tell(new JobsCommand.BatchWritten(term, result)));
    }

    private void acknowledge() {
        sequence++;
        // The store may have carried out the first attempt, and answers a repeated one from memory.
        acknowledgedAtMs = firstSentAtMs;
        inFlight.onStored();
        goOn();
    }

    /** The store will never accept the append, so the records that are to blame are found and dropped. */
    private void onInvalid(String reason) {
        inFlight.onInvalid()
                .ifPresent(dropped -> log.emit(
                        JobEvent.RECORD_NOT_STORED,
                        "key",
                        dropped.key(),
                        "bytes",
                        dropped.contentBytes(),
                        "term",
                        term,
                        "reason",
                        reason));
        goOn();
    }

    /** Appends the next records of the batch, or handles its end. */
    private void goOn() {
        if (!inFlight.isStored()) {
            firstSentAtMs = clock.nowMs();
            append();
            return;
        }
        BatchInFlight stored = inFlight;
        inFlight = null;
        if (stored.isResigning()) {
            resigned = true;
            return;
        }
        if (stored.storesWithheldLeases()) {
            scheduler.onWithheldLeasesStored().forEach(this::grant);
            if (knowsPlacedJobs()) {
                applyHeldReports();
            }
        }
        scheduler.onCommitted(stored.storedBatch());
        stored.droppedStarts().forEach(scheduler::onStartUndeliverable);
        send(stored.storedBatch().orders());
        flush();
    }

    private void retryLater() {
        context.scheduleOnce(Duration.ofMillis(RETRY_MS), context.getSelf(), new JobsCommand.RetryDue(term));
    }
}
