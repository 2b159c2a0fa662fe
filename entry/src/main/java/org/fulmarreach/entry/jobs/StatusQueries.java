package org.fulmarreach.entry.jobs;

import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

import org.apache.pekko.actor.typed.ActorRef;
import org.fulmarreach.core.jobs.Job;
import org.fulmarreach.core.jobs.JobRegistry;
import org.fulmarreach.platform.store.KeyedRecord;
import org.fulmarreach.platform.store.ReadResult;
import org.fulmarreach.platform.store.StoreClient;

/**
 * Answers queries for the status of jobs. A job that is not known may just have been stored by another entry, so the
 * log is read to its end before a job is reported as missing. Confined to one actor.
 */
final class StatusQueries {
    private final JobRegistry registry;
    private final LogTail requests;
    private final StoreClient store;
    private final ActorRef<JobsCommand> actor;
    private final Consumer<KeyedRecord> applyRequest;

    /**
     * Constructs the queries.
     *
     * @param requests the followed partition of callers' requests
     * @param actor receives the results of reads
     * @param applyRequest applies a record of that partition to the registry
     */
    StatusQueries(
            JobRegistry registry,
            LogTail requests,
            StoreClient store,
            ActorRef<JobsCommand> actor,
            Consumer<KeyedRecord> applyRequest) {
        this.registry = registry;
        this.requests = requests;
        this.store = store;
        this.actor = actor;
        this.applyRequest = applyRequest;
    }

    /** Answers with the status of a job as acknowledged by the store. */
    void answer(String jobId, CompletableFuture<JobsCommand.StatusAnswer> reply) {
        var job = registry.find(jobId);
        if (job.isPresent()) {
            reply.complete(known(job.get()));
        } else if (requests.isLoaded()) {
            readFrom(requests.nextOffset(), jobId, reply);
        } else {
            reply.complete(new JobsCommand.StatusAnswer.Unavailable("this entry is still loading the job log"));
        }
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

    private static JobsCommand.StatusAnswer known(Job job) {
        return new JobsCommand.StatusAnswer.Known(job.acknowledgedStatus());
    }

    private void readFrom(long offset, String jobId, CompletableFuture<JobsCommand.StatusAnswer> reply) {
        store.read(JobPartitions.REQUESTS, offset, 0)
                .thenAccept(result -> actor.tell(new JobsCommand.StatusReadEnded(jobId, result, reply)));
    }
}
