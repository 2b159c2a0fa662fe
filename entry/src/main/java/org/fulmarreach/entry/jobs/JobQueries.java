package org.fulmarreach.entry.jobs;

import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.apache.pekko.actor.typed.ActorRef;
import org.fulmarreach.core.jobs.Job;
import org.fulmarreach.core.jobs.JobRegistry;
import org.fulmarreach.platform.store.KeyedRecord;
import org.fulmarreach.platform.store.ReadResult;
import org.fulmarreach.platform.store.StoreClient;
import org.fulmarreach.runtime.log.EventLog;

/**
 * Answers queries for the status of jobs and for the length of queues. A job that is not known may just have been
 * stored by another entry, so the log is read to its end before a job is reported as missing. Confined to one actor.
 */
final class JobQueries {
    private final JobRegistry registry;
    private final LogTail requests;
    private final Supplier<OptionalLong> progressAgeMs;
    private final StoreClient store;
    private final ActorRef<JobsCommand> actor;
    private final Consumer<KeyedRecord> applyRequest;
    private final EventLog log;

    /**
     * Constructs the queries.
     *
     * @param requests the followed partition of callers' requests
     * @param progressAgeMs age of the known progress of jobs, in milliseconds; empty if it has not been loaded
     * @param actor receives the results of reads
     * @param applyRequest applies a record of that partition to the registry
     */
    JobQueries(
            JobRegistry registry,
            LogTail requests,
            Supplier<OptionalLong> progressAgeMs,
            StoreClient store,
            ActorRef<JobsCommand> actor,
            Consumer<KeyedRecord> applyRequest,
            EventLog log) {
        this.registry = registry;
        this.requests = requests;
        this.progressAgeMs = progressAgeMs;
        this.store = store;
        this.actor = actor;
        this.applyRequest = applyRequest;
        this.log = log;
    }

    /** Answers with the status of a job as acknowledged by the store. */
    void answerStatus(String jobId, CompletableFuture<JobsCommand.StatusAnswer> reply) {
        var job = registry.find(jobId);
        if (job.isPresent()) {
            reply.complete(known(job.get()));
        } else if (requests.isLoaded()) {
            readFrom(requests.nextOffset(), jobId, reply);
        } else {
            reply.complete(new JobsCommand.StatusAnswer.Unavailable("this entry is still loading the job log"));
        }
    }

    /** Answers with the number of jobs of a queue of which no task has started. */
    void answerCount(String queue, CompletableFuture<Integer> reply) {
        int waiting = registry.countWaiting(queue);
        logCount(queue, waiting);
        reply.complete(waiting);
    }

    void onReadEnded(JobsCommand.StatusReadEnded ended) {
        CompletableFuture<JobsCommand.StatusAnswer> reply = ended.reply();
        switch (ended.result()) {
            case ReadResult.Records read -> {
                read.records().forEach(applyRequest);
                var job = registry.find(ended.jobId());
                if (job.isPresent()) {
                    reply.complete(known(job.get()));
                } else if (read.isComplete()) {
                    reply.complete(new JobsCommand.StatusAnswer.Missing());
                } else {
                    readFrom(read.nextOffset(), ended.jobId(), reply);
                }
            }
            case ReadResult.Expired expired -> {
                requests.reload();
                reply.complete(new JobsCommand.StatusAnswer.Unavailable("this entry is reloading the job log"));
            }
            case ReadResult.Page page ->
                reply.complete(new JobsCommand.StatusAnswer.Unavailable("unexpected answer of the store"));
            case ReadResult.Failed failed -> reply.complete(new JobsCommand.StatusAnswer.Unavailable(failed.reason()));
        }
    }

    private void logCount(String queue, int waiting) {
        OptionalLong ageMs = progressAgeMs.get();
        log.emit(
                JobEvent.QUEUE_COUNTED,
                "queue",
                queue,
                "waiting",
                waiting,
                "jobs",
                registry.jobs().size(),
                "requestsLoaded",
                requests.isLoaded(),
                "requestsNext",
                requests.nextOffset(),
                "requestsAgeMs",
                requests.ageMs(),
                "progressAgeMs",
                ageMs.isPresent() ? ageMs.getAsLong() : "none");
    }

    private static JobsCommand.StatusAnswer known(Job job) {
        return new JobsCommand.StatusAnswer.Known(job.acknowledgedStatus());
    }

    private void readFrom(long offset, String jobId, CompletableFuture<JobsCommand.StatusAnswer> reply) {
        store.read(JobPartitions.REQUESTS, offset, 0)
                .thenAccept(result -> actor.tell(new JobsCommand.StatusReadEnded(jobId, result, reply)));
    }
}
