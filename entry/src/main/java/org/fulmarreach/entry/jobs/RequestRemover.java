package org.fulmarreach.entry.jobs;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.fulmarreach.platform.store.AppendCondition;
import org.fulmarreach.platform.store.AppendResult;
import org.fulmarreach.platform.store.KeyedRecord;
import org.fulmarreach.platform.store.StoreClient;
import org.fulmarreach.protocol.io.JobTopics;

/**
 * Removes the requests of jobs whose retention has ended. The progress of a job may be removed only after its requests:
 * a process that reads a submission without progress takes it for a new job and runs it. Confined to one actor.
 */
final class RequestRemover {
    private static final int MAX_JOBS = 200;

    private final long term;
    private final StoreClient store;
    private final ActorContext<JobsCommand> context;
    private final Set<String> waiting = new LinkedHashSet<>();
    private List<String> inFlight = List.of();
    private Set<String> removed = new LinkedHashSet<>();

    /**
     * Constructs a remover.
     *
     * @param term term of the leader
     */
    RequestRemover(long term, StoreClient store, ActorContext<JobsCommand> context) {
        this.term = term;
        this.store = store;
        this.context = context;
    }

    void add(Set<String> jobIds) {
        waiting.addAll(jobIds);
    }

    /** Appends the removals that wait, unless an append is in flight; failed ones are repeated by the next call. */
    void flush() {
        if (!inFlight.isEmpty() || waiting.isEmpty()) {
            return;
        }
        inFlight = waiting.stream().limit(MAX_JOBS).toList();
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
            inFlight.forEach(waiting::remove);
            removed.addAll(inFlight);
        }
        inFlight = List.of();
    }

    /** Returns the jobs whose requests have been removed since the last call. */
    Set<String> takeRemoved() {
        Set<String> taken = removed;
        removed = new LinkedHashSet<>();
        return taken;
    }
}
