package org.fulmarreach.entry.jobs;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.apache.pekko.actor.typed.ActorRef;
import org.fulmarreach.core.jobs.Job;
import org.fulmarreach.core.jobs.JobRegistry;
import org.fulmarreach.core.jobs.JobStatus;
import org.fulmarreach.platform.store.HttpStoreClient;
import org.fulmarreach.platform.store.KeyedRecord;
import org.fulmarreach.platform.store.ReadLimits;
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
    private static final ReadLimits CATCH_UP_LIMITS = new ReadLimits(0, HttpStoreClient.CALL_TIMEOUT_MS, false);

    private final JobRegistry registry;
    private final LogTail requests;
    private final LogTail progress;
    private final Supplier<OptionalLong> leaderAgeMs;
    private final StoreClient store;
    private final ActorRef<JobsCommand> actor;
    private final Consumer<KeyedRecord> applyRequest;
    private final MonotonicClock clock;
    private final EventLog log;
    private List<Consumer<Optional<String>>> waiting = new ArrayList<>();
    private List<Consumer<Optional<String>>> reading = List.of();
    private long readingFrom;

    /**
     * Constructs the queries.
     *
     * @param requests the followed partition of callers' requests
     * @param progress the followed partition of the progress of jobs
     * @param leaderAgeMs while this entry leads, the time since its last acknowledged write, in milliseconds; empty
     *     otherwise
     * @param actor receives the results of reads
     * @param applyRequest applies a record of the partition of requests to the registry
     */
    JobQueries(
            JobRegistry registry,
            LogTail requests,
            LogTail progress,
            Supplier<OptionalLong> leaderAgeMs,
            StoreClient store,
            ActorRef<JobsCommand> actor,
            Consumer<KeyedRecord> applyRequest,
            MonotonicClock clock,
            EventLog log) {
        this.registry = registry;
        this.requests = requests;
        this.progress = progress;
        this.leaderAgeMs = leaderAgeMs;
        this.store = store;
        this.actor = actor;
        this.applyRequest = applyRequest;
        this.clock = clock;
        this.log = log;
    }

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
            catchUp(done);
        } else {
            done.accept(Optional.of("this entry is still loading the job log"));
        }
    }

    /** Answers with the number of jobs of a queue of which no task has started. */
    void answerCount(String queue, CompletableFuture<JobsCommand.CountAnswer> reply) {
        if (requests.isLoaded() && requests.ageMs() > JobReads.MAX_COUNT_AGE_MS) {
            long startedAtMs = clock.nowMs();
            catchUp(problem ->
                    reply.complete(problem.<JobsCommand.CountAnswer>map(JobsCommand.CountAnswer.Unavailable::new)
                            .orElseGet(() -> count(queue, clock.nowMs() - startedAtMs))));
        } else {
            reply.complete(count(queue, requests.ageMs()));
        }
    }

    /** Returns what other threads may answer from now on, until the next change of what is loaded. */
    JobReads reads() {
        OptionalLong progressAge = progressAgeMs();
        long ageMs = Math.max(requests.ageMs(), progressAge.orElse(0));
        return new JobReads(
                registry.acknowledgedStatuses(),
                progress.wasLoaded(),
                requests.isLoaded() && progressAge.isPresent(),
                clock.nowMs() - ageMs);
    }

    void onReadEnded(ReadResult result) {
        switch (result) {
            case ReadResult.Records read -> onRecords(read);
            case ReadResult.Expired expired when hasAdvanced() -> readFrom(requests.nextOffset());
            case ReadResult.Expired expired -> {
                if (requests.isLoaded()) {
                    requests.reload();
                }
                endCatchUp(Optional.of("this entry is reloading the job log"));
            }
            case ReadResult.Page page -> endCatchUp(Optional.of("unexpected answer of the store"));
            case ReadResult.Failed failed -> endCatchUp(Optional.of(failed.reason()));
        }
    }

    /*
     * Helpers
     */

    /**
     * Applies the records of a read, without those that the tail has read or loaded meanwhile: these may include jobs
     * whose removal has been applied, and would bring them back without progress.
     */
    private void onRecords(ReadResult.Records read) {
        if (!requests.isLoaded()) {
            endCatchUp(Optional.of("this entry is reloading the job log"));
            return;
        }
        boolean skipsRecords = read.records().size() != read.nextOffset() - readingFrom;
        if (hasAdvanced() && skipsRecords) {
            // Records that cannot be decoded are left out, so the others have no known offsets.
            readFrom(requests.nextOffset());
            return;
        }
        long known = Math.max(0, requests.nextOffset() - readingFrom);
        read.records().stream().skip(known).forEach(applyRequest);
        if (read.isComplete()) {
            endCatchUp(Optional.empty());
        } else {
            readFrom(Math.max(read.nextOffset(), requests.nextOffset()));
        }
    }

    /** Tells whether the tail has read records that the pending read returns, too. */
    private boolean hasAdvanced() {
        return requests.isLoaded() && requests.nextOffset() > readingFrom;
    }

    private JobsCommand.StatusAnswer statusOf(Job job) {
        JobStatus status = job.acknowledgedStatus();
        return JobReads.isCertain(status, progress.wasLoaded())
                ? new JobsCommand.StatusAnswer.Known(status)
                : new JobsCommand.StatusAnswer.Unavailable("this entry is still loading the progress of jobs");
    }

    /** Returns for how long progress may have been stored without being known here; empty while it is loading. */
    private OptionalLong progressAgeMs() {
        OptionalLong leaderAge = leaderAgeMs.get();
        if (leaderAge.isPresent()) {
            return leaderAge;
        }
        return progress.isLoaded() ? OptionalLong.of(progress.ageMs()) : OptionalLong.empty();
    }

    private JobsCommand.CountAnswer count(String queue, long requestsAgeMs) {
        OptionalLong progressAge = progressAgeMs();
        JobsCommand.CountAnswer answer;
        if (!requests.isLoaded() || progressAge.isEmpty()) {
            answer = new JobsCommand.CountAnswer.Unavailable("this entry is still loading the job log");
        } else if (Math.max(requestsAgeMs, progressAge.getAsLong()) > JobReads.MAX_COUNT_AGE_MS) {
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

    /**
     * Reads the requests to their end. Queries that arrive during a read share the next one, since the read in progress
     * may not contain what was stored before they arrived.
     */
    private void catchUp(Consumer<Optional<String>> done) {
        waiting.add(done);
        if (reading.isEmpty()) {
            startCatchUp();
        }
    }

    private void startCatchUp() {
        reading = waiting;
        waiting = new ArrayList<>();
        readFrom(requests.nextOffset());
    }

    private void endCatchUp(Optional<String> problem) {
        List<Consumer<Optional<String>>> ended = reading;
        reading = List.of();
        ended.forEach(done -> done.accept(problem));
        if (reading.isEmpty() && !waiting.isEmpty()) {
            startCatchUp();
        }
    }

    private void readFrom(long offset) {
        readingFrom = offset;
        store.read(JobPartitions.REQUESTS, offset, CATCH_UP_LIMITS)
                .thenAccept(result -> actor.tell(new JobsCommand.CatchUpReadEnded(result)));
    }
}
