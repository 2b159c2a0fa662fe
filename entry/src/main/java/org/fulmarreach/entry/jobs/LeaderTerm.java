package org.fulmarreach.entry.jobs;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.fulmarreach.core.jobs.JobBatch;
import org.fulmarreach.core.jobs.JobOrder;
import org.fulmarreach.core.jobs.JobScheduler;
import org.fulmarreach.core.jobs.JobTimes;
import org.fulmarreach.core.jobs.WorkerReport;
import org.fulmarreach.platform.store.AppendCondition;
import org.fulmarreach.platform.store.AppendResult;
import org.fulmarreach.platform.store.KeyedRecord;
import org.fulmarreach.platform.store.StoreClient;
import org.fulmarreach.protocol.io.JobRecords;
import org.fulmarreach.protocol.io.JobTopics;
import org.fulmarreach.runtime.util.MonotonicClock;

/**
 * One term of a leader: its scheduler, its sequence of appends, and the orders that wait for one. An order leaves only
 * after the append that it follows from is acknowledged. Belongs to one actor and is called on it only.
 */
final class LeaderTerm {
    /** A follower asks for the next term after 1.5 s without a record; three of these fit into it. */
    private static final int KEEP_ALIVE_MS = 400;

    /** Each append has a price; within this time decisions are written together. */
    private static final int MIN_INTERVAL_MS = 25;

    private static final int RETRY_MS = 150;

    /** What comes within this time is decided together; it bounds the processor time of a leader of many workers. */
    private static final int DECIDE_INTERVAL_MS = 30;

    private final long term;
    private final KeyedRecord self;
    private final JobScheduler scheduler;
    private final GuardSessions sessions;
    private final CancellationView cancellations;
    private final StoreClient store;
    private final ActorContext<JobsCommand> context;
    private final MonotonicClock clock;
    private long sequence;
    private JobBatch inFlight;
    private List<KeyedRecord> inFlightRecords = List.of();
    private long acknowledgedAtMs;
    private long appendedAtMs;
    private boolean flushScheduled;
    private long decidedAtMs;
    private boolean decisionScheduled;
    private boolean resigning;
    private boolean resigned;

    /**
     * Constructs a term that was just won.
     *
     * @param self record of the leader's key
     * @param cancellations holds starts back while cancellations may be unknown
     */
    LeaderTerm(
            long term,
            KeyedRecord self,
            JobScheduler scheduler,
            GuardSessions sessions,
            CancellationView cancellations,
            StoreClient store,
            ActorContext<JobsCommand> context,
            MonotonicClock clock) {
        this.term = term;
        this.self = self;
        this.scheduler = scheduler;
        this.sessions = sessions;
        this.cancellations = cancellations;
        this.store = store;
        this.context = context;
        this.clock = clock;
        this.acknowledgedAtMs = clock.nowMs();
        this.appendedAtMs = acknowledgedAtMs;
    }

    long term() {
        return term;
    }

    JobScheduler scheduler() {
        return scheduler;
    }

    boolean hasResigned() {
        return resigned;
    }

    /** Returns how long ago the store last acknowledged an append, in milliseconds. */
    long silenceMs() {
        return clock.nowMs() - acknowledgedAtMs;
    }

    /** Takes up a report and answers it with a grant. */
    void report(WorkerReport report, boolean decide) {
        long nowMs = clock.nowMs();
        scheduler.report(report, nowMs);
        if (mayGrant()) {
            sessions.grant(report.ref().guard(), term, silenceMs());
            scheduler.granted(report.ref().guard(), nowMs);
        }
        if (decide) {
            decide();
        }
    }

    /** Decides soon: at once, or as soon as the interval since the last decision is over. */
    void decide() {
        long sinceMs = clock.nowMs() - decidedAtMs;
        if (sinceMs >= DECIDE_INTERVAL_MS) {
            decideNow();
        } else if (!decisionScheduled) {
            decisionScheduled = true;
            context.scheduleOnce(
                    Duration.ofMillis(DECIDE_INTERVAL_MS - sinceMs),
                    context.getSelf(),
                    new JobsCommand.DecisionDue(term));
        }
    }

    void onDecisionDue() {
        decisionScheduled = false;
        decideNow();
    }

    /** Decides and hands out what may leave at once; the rest leaves after the next append. */
    private void decideNow() {
        decidedAtMs = clock.nowMs();
        scheduler.tick(clock.nowMs(), System.currentTimeMillis(), cancellations.isFresh());
        send(scheduler.takeImmediateOrders());
        flush();
    }

    /** Sends the starts that waited for knowledge of cancellations, unless their jobs have been cancelled. */
    void sendHeld() {
        send(cancellations.takeHeld());
    }

    void onFlushDue() {
        flushScheduled = false;
        flush();
    }

    /** Gives up the term: the next append names no leader. */
    void resign() {
        resigning = true;
        flush();
    }

    /** Handles the answer to an append; returns false if the term is over. */
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
            case AppendResult.Refused refused -> retryLater();
            case AppendResult.Unknown unknown -> retryLater();
        }
        return true;
    }

    void onRetryDue() {
        if (inFlight != null) {
            append();
        }
    }

    /*
     * Helpers
     */

    private boolean mayGrant() {
        return silenceMs() < JobTimes.GRANT_WITHOUT_STORE_MS && !resigned;
    }

    private void send(List<JobOrder> orders) {
        List<JobOrder> wanted =
                cancellations.admit(orders.stream().filter(scheduler::isWanted).toList());
        if (!wanted.isEmpty() && mayGrant()) {
            long nowMs = clock.nowMs();
            sessions.send(term, wanted, silenceMs()).forEach(guard -> scheduler.granted(guard, nowMs));
        }
    }

    private void flush() {
        if (inFlight != null || flushScheduled || resigned) {
            return;
        }
        long sinceMs = clock.nowMs() - appendedAtMs;
        if (sinceMs < MIN_INTERVAL_MS) {
            flushScheduled = true;
            context.scheduleOnce(
                    Duration.ofMillis(MIN_INTERVAL_MS - sinceMs), context.getSelf(), new JobsCommand.FlushDue());
            return;
        }
        JobBatch batch = scheduler.takeBatch();
        if (batch.progress().isEmpty() && batch.forgotten().isEmpty() && !resigning && sinceMs < KEEP_ALIVE_MS) {
            // Nothing to write, so the orders follow from what is stored already.
            send(batch.orders());
            return;
        }
        inFlight = batch;
        inFlightRecords = encode(batch);
        append();
    }

    private List<KeyedRecord> encode(JobBatch batch) {
        List<KeyedRecord> records = new ArrayList<>();
        batch.progress()
                .forEach((id, snapshot) ->
                        records.add(new KeyedRecord(JobTopics.progressKey(id), JobRecords.encode(snapshot))));
        batch.forgotten().forEach(id -> records.add(KeyedRecord.removal(JobTopics.progressKey(id))));
        if (resigning) {
            records.add(new KeyedRecord(JobTopics.LEADER_KEY, JobRecords.encodeLeader(term, "", "")));
        } else if (records.isEmpty()) {
            records.add(self);
        }
        return records;
    }

    private void append() {
        appendedAtMs = clock.nowMs();
        var actor = context.getSelf();
        store.append(
                        JobPartitions.PROGRESS,
                        inFlightRecords,
                        new AppendCondition.InSequence(JobTopics.LEADER_PRODUCER, term, sequence + 1))
                .thenAccept(result -> actor.tell(new JobsCommand.BatchWritten(term, result)));
    }

    private void acknowledge() {
        sequence++;
        acknowledgedAtMs = clock.nowMs();
        JobBatch batch = inFlight;
        inFlight = null;
        inFlightRecords = List.of();
        if (resigning) {
            resigned = true;
            return;
        }
        scheduler.committed(batch);
        send(batch.orders());
        flush();
    }

    private void retryLater() {
        context.scheduleOnce(Duration.ofMillis(RETRY_MS), context.getSelf(), new JobsCommand.RetryDue(term));
    }
}
