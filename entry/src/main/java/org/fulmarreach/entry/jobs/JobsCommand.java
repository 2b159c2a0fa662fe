package org.fulmarreach.entry.jobs;

import java.util.concurrent.CompletableFuture;

import org.fulmarreach.core.jobs.JobConfig;
import org.fulmarreach.core.jobs.JobSpec;
import org.fulmarreach.core.jobs.JobStatus;
import org.fulmarreach.platform.store.AppendResult;
import org.fulmarreach.platform.store.ReadResult;
import org.fulmarreach.runtime.net.LinkEvent;

/** Messages of {@link JobsActor}. */
public sealed interface JobsCommand {
    /*
     * From callers
     */

    /**
     * Stores a job.
     *
     * @param job the job
     * @param giveUpAtMs monotonic time at which the caller must have an answer
     * @param reply gets the outcome
     */
    record Submit(JobSpec job, long giveUpAtMs, CompletableFuture<WriteOutcome> reply) implements JobsCommand {}

    /**
     * Cancels a job.
     *
     * @param jobId its id
     * @param giveUpAtMs monotonic time at which the caller must have an answer
     * @param reply gets the outcome; {@link WriteOutcome.Missing} if there is no such job
     */
    record Cancel(String jobId, long giveUpAtMs, CompletableFuture<WriteOutcome> reply) implements JobsCommand {}

    /**
     * Asks for the state of a job.
     *
     * @param jobId its id
     * @param reply gets the answer
     */
    record Query(String jobId, CompletableFuture<StatusAnswer> reply) implements JobsCommand {}

    /**
     * Asks how many jobs of a queue wait.
     *
     * @param queue name of the queue
     * @param reply gets the number
     */
    record CountWaiting(String queue, CompletableFuture<Integer> reply) implements JobsCommand {}

    /**
     * Asks for a description of the state for operators.
     *
     * @param reply gets it, a fact a line
     */
    record Describe(CompletableFuture<String> reply) implements JobsCommand {}

    /** Answer about the state of a job. */
    sealed interface StatusAnswer {
        /** The job's state. */
        record Known(JobStatus status) implements StatusAnswer {}

        /** There is no such job. */
        record Missing() implements StatusAnswer {}

        /** It cannot be said now. */
        record Unavailable(String reason) implements StatusAnswer {}
    }

    /*
     * From the store
     */

    /** A read of a followed partition has ended; it has all records that were stored before {@code knownUpToMs}. */
    record TailRead(LogTail tail, long generation, ReadResult result, long knownUpToMs) implements JobsCommand {}

    /** The next read of a followed partition is due. */
    record TailDue(LogTail tail, long generation) implements JobsCommand {}

    /** An additional read of a followed partition has ended; the question waits for it. */
    record Refreshed(String jobId, ReadResult result, CompletableFuture<StatusAnswer> reply) implements JobsCommand {}

    /** An append of requests has ended. */
    record RequestsWritten(AppendResult result) implements JobsCommand {}

    /** The next append of requests is due. */
    record WriteDue() implements JobsCommand {}

    /** An append of the leader has ended. */
    record BatchWritten(long term, AppendResult result) implements JobsCommand {}

    /** The leader repeats an append that was not acknowledged. */
    record RetryDue(long term) implements JobsCommand {}

    /** An append that asks for a term has ended. */
    record ElectionEnded(long term, AppendResult result) implements JobsCommand {}

    /** The first append of a term that was won has ended. */
    record TermBegun(long term, long expectedEnd, AppendResult result) implements JobsCommand {}

    /*
     * From guards and timers
     */

    /** Something happened on the connection of a guard. */
    record GuardLink(LinkEvent event) implements JobsCommand {}

    /** Regular wake-up. */
    record Tick() implements JobsCommand {}

    /** The leader decides about what has come since its last decision. */
    record DecisionDue(long term) implements JobsCommand {}

    /** The leader may write again. */
    record FlushDue() implements JobsCommand {}

    /**
     * Stops taking part; a leader gives up its term.
     *
     * @param reply completed once that is written, or could not be
     */
    record Drain(CompletableFuture<Void> reply) implements JobsCommand {}

    /**
     * What other threads read without asking the actor.
     *
     * @param config configuration in force; null before the first
     * @param ready whether requests can be served
     */
    record View(JobConfig config, boolean ready) {}
}
