package org.fulmarreach.entry.jobs;

import java.util.List;

import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.fulmarreach.core.jobs.JobRegistry;
import org.fulmarreach.core.jobs.JobTimeLimits;
import org.fulmarreach.platform.store.AppendCondition;
import org.fulmarreach.platform.store.AppendResult;
import org.fulmarreach.platform.store.KeyedRecord;
import org.fulmarreach.platform.store.StoreClient;
import org.fulmarreach.protocol.io.JobTopics;
import org.fulmarreach.runtime.log.EventLog;
import org.fulmarreach.runtime.util.MonotonicClock;

/**
 * Removes the cancellations of jobs that were never submitted. They are kept for as long as a settled job, since a
 * submission that comes later finds the id forgotten in both cases. A removal requires that the log ends where it was
 * read to: a submission that was stored meanwhile keeps its cancellation, which is removed together with the job.
 * Confined to one actor.
 */
final class CancellationRemover {
    /** Bound on the records of one append; they take about 25 bytes each. */
    private static final int MAX_RECORDS = 1_000;

    private static final int INTERVAL_MS = 1_000;

    private final long term;
    private final JobRegistry registry;
    private final LogTail requests;
    private final JobTimeLimits limits;
    private final StoreClient store;
    private final ActorContext<JobsCommand> context;
    private final MonotonicClock clock;
    private final EventLog log;
    private int inFlight;
    private long reviewAtMs;

    /**
     * Constructs a remover.
     *
     * @param term term of the leader
     * @param requests followed partition of callers' requests
     */
    CancellationRemover(
            long term,
            JobRegistry registry,
            LogTail requests,
            JobTimeLimits limits,
            StoreClient store,
            ActorContext<JobsCommand> context,
            MonotonicClock clock,
            EventLog log) {
        this.term = term;
        this.registry = registry;
        this.requests = requests;
        this.limits = limits;
        this.store = store;
        this.context = context;
        this.clock = clock;
        this.log = log;
        this.reviewAtMs = clock.nowMs() + INTERVAL_MS;
    }

    /** Appends the removals that are due, at intervals. */
    void review() {
        if (inFlight > 0 || clock.nowMs() < reviewAtMs || !requests.isLoaded()) {
            return;
        }
        reviewAtMs = clock.nowMs() + INTERVAL_MS;
        List<String> expired = registry.findUnknownJobsCancelledBefore(
                System.currentTimeMillis() - limits.statusRetentionMs(), MAX_RECORDS);
        if (expired.isEmpty()) {
            return;
        }
        inFlight = expired.size();
        List<KeyedRecord> records = expired.stream()
                .map(id -> KeyedRecord.removal(JobTopics.cancelKey(id)))
                .toList();
        var self = context.getSelf();
        store.append(JobPartitions.REQUESTS, records, new AppendCondition.AtEnd(requests.nextOffset()))
                .thenAccept(result -> self.tell(new JobsCommand.CancellationsRemoved(term, result)));
    }

    /** Handles the result of an append; what was not removed is tried again at the next review. */
    void onWritten(AppendResult result) {
        log.emit(JobEvent.CANCELLATIONS_REMOVED, "records", inFlight, "term", term, "result", result);
        inFlight = 0;
    }
}
