package org.fulmarreach.entry.jobs;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.fulmarreach.core.jobs.StoredProgress;
import org.fulmarreach.platform.store.AppendCondition;
import org.fulmarreach.platform.store.AppendResult;
import org.fulmarreach.platform.store.KeyedRecord;
import org.fulmarreach.platform.store.StoreClient;
import org.fulmarreach.protocol.io.JobTopics;
import org.fulmarreach.runtime.log.EventLog;
import org.fulmarreach.runtime.util.MonotonicClock;

/**
 * Removes the requests of jobs whose retention has ended. The progress of a job may be removed only after its requests:
 * a process that reads a submission without progress takes it for a new job and runs it. Confined to one actor.
 */
final class RequestRemover {
    /** Bound on the jobs of one append; its records take about 8 KB. */
    private static final int MAX_JOBS = 200;

    /** Delay before removals that failed are repeated; nothing waits for them. */
    private static final int RETRY_MS = 1_000;

    private final long term;
    private final StoreClient store;
    private final ActorContext<JobsCommand> context;
    private final MonotonicClock clock;
    private final EventLog log;
    private final Map<String, StoredProgress> waiting = new LinkedHashMap<>();
    private List<String> inFlight = List.of();
    private List<StoredProgress> removed = new ArrayList<>();
    private long retryAtMs = Long.MIN_VALUE;

    /**
     * Constructs a remover.
     *
     * @param term term of the leader
     */
    RequestRemover(
            long term, StoreClient store, ActorContext<JobsCommand> context, MonotonicClock clock, EventLog log) {
        this.term = term;
        this.store = store;
        this.context = context;
        this.clock = clock;
        this.log = log;
    }

    void add(List<StoredProgress> jobs) {
        jobs.forEach(job -> waiting.put(job.id(), job));
    }

    /** Appends the removals that wait, unless an append is in flight or has just failed. */
    void flush() {
        if (!inFlight.isEmpty() || waiting.isEmpty() || clock.nowMs() < retryAtMs) {
            return;
        }
        inFlight = waiting.keySet().stream().limit(MAX_JOBS).toList();
        List<KeyedRecord> records = new ArrayList<>();
        for (String id : inFlight) {
            records.add(KeyedRecord.removal(JobTopics.jobKey(id)));
            records.add(KeyedRecord.removal(JobTopics.cancelKey(id)));
        }
        var self = context.getSelf();
        store.append(JobPartitions.REQUESTS, records, new AppendCondition.None())
                .thenAccept(result -> self.tell(new JobsCommand.RequestsRemoved(term, result)));
    }

    void onWritten(AppendResult result) {
        if (result instanceof AppendResult.Appended) {
            inFlight.forEach(id -> removed.add(waiting.remove(id)));
        } else {
            retryAtMs = clock.nowMs() + RETRY_MS;
            log.emit(JobEvent.REMOVAL_FAILED, "jobs", inFlight.size(), "term", term, "reason", result);
        }
        inFlight = List.of();
    }

    /** Returns the progress of the jobs whose requests have been removed since the last call. */
    List<StoredProgress> takeRemoved() {
        List<StoredProgress> taken = removed;
        removed = new ArrayList<>();
        return taken;
    }
}
