package org.fulmarreach.entry.jobs;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.apache.pekko.actor.typed.ActorRef;
import org.fulmarreach.core.jobs.Job;
import org.fulmarreach.core.jobs.JobRegistry;
import org.fulmarreach.core.jobs.JobStatus;
import org.fulmarreach.platform.store.KeyedRecord;
import org.fulmarreach.platform.store.ReadResult;
import org.fulmarreach.platform.store.StoreClient;
import org.fulmarreach.runtime.log.EventLog;
import org.fulmarreach.runtime.util.MonotonicClock;

/**
 * Answers queries for the status of jobs and for the length of queues. Other entries store jobs, too, so the log is
 * read to its end before a job is reported as missing, and before jobs are counted if the last read is too long ago.
 * What this entry cannot know at present is refused. Confined to one actor.
 */
final class JobQueries {
    /** A count may be 2 s old when the caller has it; 500 ms are left for the way of the answer. */
    private static final long MAX_COUNT_AGE_MS = 1_500;

    private final JobRegistry registry;
    private final LogTail requests;
    private final Supplier<OptionalLong> progressAgeMs;
    private final StoreClient store;
    private final ActorRef<JobsCommand> actor;
    private final Consumer<KeyedRecord> applyRequest;
    private final MonotonicClock clock;
    private final EventLog log;

    /**
     * Constructs the queries.
     *
     * @param requests the followed partition of callers' requests
     * @param progressAgeMs age of the known progress of jobs, in milliseconds; empty if it has not been loaded
     * @param actor receives the results of reads
     * @param applyRequest applies a record of the partition of requests to the registry
     */
    JobQueries(
            JobRegistry registry,
            LogTail requests,
            Supplier<OptionalLong> progressAgeMs,
            StoreClient store,
            ActorRef<JobsCommand> actor,
            Consumer<KeyedRecord> applyRequest,
            MonotonicClock clock,
            EventLog log) {
        this.registry = registry;
        this.requests = requests;
        this.progressAgeMs = progressAgeMs;
        this.store = store;
        this.actor = actor;
        this.applyRequest = applyRequest;
        this.clock = clock;
        this.log = log;
    }

    /**
     * A read of the requests that were stored after the last read.
     *
     * @param fromOffset offset of the first record of the pending read
     * @param isSufficient tells whether the records read so far are enough
     * @param done receives the reason of a failure; empty if the read succeeded
     */
    record CatchUp(long fromOffset, BooleanSupplier isSufficient, Consumer<Optional<String>> done) {}

    /** Answers with the status of a job as acknowledged by the store. */
    void answerStatus(String jobId, CompletableFuture<JobsCommand.StatusAnswer> reply) {
        find(
                jobId,
                problem ->
                        reply.complete(problem.<JobsCommand.StatusAnswer>map(JobsCommand.StatusAnswer.Unavailable::new)
                                .orElseGet(() -> registry.find(jobId)
                                        .map(this::statusOf)
                                        .orElse(new JobsCommand.StatusAnswer.Missing()))));
    }

    /**
     * Makes sure that the registry contains a job if the log does.
     *
     * @param done receives the reason why this cannot be told at present; empty if the registry can be relied on
     */
    void find(String jobId, Consumer<Optional<String>> done) {
        if (registry.find(jobId).isPresent()) {
            done.accept(Optional.empty());
        } else if (requests.isLoaded()) {
            catchUp(() -> registry.find(jobId).isPresent(), done);
        } else {
            done.accept(Optional.of("this entry is still loading the job log"));
        }
    }

    /** Answers with the number of jobs of a queue of which no task has started. */
    void answerCount(String queue, CompletableFuture<JobsCommand.CountAnswer> reply) {
        if (requests.isLoaded() && requests.ageMs() > MAX_COUNT_AGE_MS) {
            long startedAtMs = clock.nowMs();
            catchUp(
                    () -> false,
                    problem -> reply.complete(
                            problem.<JobsCommand.CountAnswer>map(JobsCommand.CountAnswer.Unavailable::new)
                                    .orElseGet(() -> count(queue, clock.nowMs() - startedAtMs))));
        } else {
            reply.complete(count(queue, requests.ageMs()));
        }
    }

    void onReadEnded(JobsCommand.CatchUpReadEnded ended) {
        CatchUp catchUp = ended.catchUp();
        switch (ended.result()) {
            case ReadResult.Records read -> onRecords(catchUp, read);
            case ReadResult.Expired expired when hasAdvanced(catchUp) -> readFrom(requests.nextOffset(), catchUp);
            case ReadResult.Expired expired -> {
                if (requests.isLoaded()) {
                    requests.reload();
                }
                catchUp.done().accept(Optional.of("this entry is reloading the job log"));
            }
            case ReadResult.Page page -> catchUp.done().accept(Optional.of("unexpected answer of the store"));
            case ReadResult.Failed failed -> catchUp.done().accept(Optional.of(failed.reason()));
        }
    }

    /*
     * Helpers
     */

    /**
     * Applies the records of a read, unless the tail has read or loaded the partition beyond its beginning meanwhile:
     * the records may then include jobs whose removal has been applied, and would bring them back without progress.
     */
    private void onRecords(CatchUp catchUp, ReadResult.Records read) {
        if (!requests.isLoaded()) {
            catchUp.done().accept(Optional.of("this entry is reloading the job log"));
        } else if (hasAdvanced(catchUp)) {
            if (read.isComplete() && requests.nextOffset() >= read.nextOffset()) {
                catchUp.done().accept(Optional.empty());
            } else {
                readFrom(requests.nextOffset(), catchUp);
            }
        } else {
            read.records().forEach(applyRequest);
            if (read.isComplete() || catchUp.isSufficient().getAsBoolean()) {
                catchUp.done().accept(Optional.empty());
            } else {
                readFrom(read.nextOffset(), catchUp);
            }
        }
    }

    /** Tells whether the tail has read records that a pending read returns, too. */
    private boolean hasAdvanced(CatchUp catchUp) {
        return requests.isLoaded() && requests.nextOffset() > catchUp.fromOffset();
    }

    private JobsCommand.StatusAnswer statusOf(Job job) {
        JobStatus status = job.acknowledgedStatus();
        // A job that looks queued or cancelled may have been completed before, which only its progress tells.
        boolean known = status == JobStatus.COMPLETED || status == JobStatus.FAILED;
        return known || progressAgeMs.get().isPresent()
                ? new JobsCommand.StatusAnswer.Known(status)
                : new JobsCommand.StatusAnswer.Unavailable("this entry is still loading the progress of jobs");
    }

    private JobsCommand.CountAnswer count(String queue, long requestsAgeMs) {
        OptionalLong progressAge = progressAgeMs.get();
        JobsCommand.CountAnswer answer;
        if (!requests.isLoaded() || progressAge.isEmpty()) {
            answer = new JobsCommand.CountAnswer.Unavailable("this entry is still loading the job log");
        } else if (Math.max(requestsAgeMs, progressAge.getAsLong()) > MAX_COUNT_AGE_MS) {
            answer = new JobsCommand.CountAnswer.Unavailable(
                    "the job log could not be read for " + Math.max(requestsAgeMs, progressAge.getAsLong()) + " ms");
        } else {
            answer = new JobsCommand.CountAnswer.Counted(registry.countWaiting(queue));
        }
        log.emit(
                JobEvent.QUEUE_COUNTED,
                "queue",
                queue,
                "answer",
                answer,
                "jobs",
                registry.jobs().size(),
                "requestsLoaded",
                requests.isLoaded(),
                "requestsNext",
                requests.nextOffset(),
                "requestsAgeMs",
                requestsAgeMs,
                "progressAgeMs",
                progressAge.isPresent() ? progressAge.getAsLong() : "none");
        return answer;
    }

    private void catchUp(BooleanSupplier isSufficient, Consumer<Optional<String>> done) {
        readFrom(requests.nextOffset(), new CatchUp(requests.nextOffset(), isSufficient, done));
    }

    private void readFrom(long offset, CatchUp catchUp) {
        CatchUp next = new CatchUp(offset, catchUp.isSufficient(), catchUp.done());
        store.read(JobPartitions.REQUESTS, offset, 0)
                .thenAccept(result -> actor.tell(new JobsCommand.CatchUpReadEnded(next, result)));
    }
}
