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
     * @param job specification of the job
     * @param deadlineAtMs monotonic time by which the caller must have an answer
     * @param refusable whether the job may be refused if the pool has too little room for it
     * @param reply completed with the outcome
     */
    record Submit(JobSpec job, long deadlineAtMs, boolean refusable, CompletableFuture<WriteOutcome> reply)
            implements JobsCommand {
        /** Constructs the submission of a job that is accepted whatever the load of the pool is. */
        Submit(JobSpec job, long deadlineAtMs, CompletableFuture<WriteOutcome> reply) {
            this(job, deadlineAtMs, false, reply);
        }
    }

    /**
     * Cancels a job.
     *
     * @param jobId id of the job
     * @param deadlineAtMs monotonic time by which the caller must have an answer
     * @param reply completed with the outcome; {@link WriteOutcome.Missing} if there is no such job
     */
    record Cancel(String jobId, long deadlineAtMs, CompletableFuture<WriteOutcome> reply) implements JobsCommand {}

    /**
     * Queries the status of a job.
     *
     * @param jobId id of the job
     * @param reply completed with the answer
     */
    record Query(String jobId, CompletableFuture<StatusAnswer> reply) implements JobsCommand {}

    /**
     * Queries the number of waiting jobs of a queue.
     *
     * @param queue name of the queue
     * @param reply completed with the answer
     */
    record CountWaiting(String queue, CompletableFuture<CountAnswer> reply) implements JobsCommand {}

    /**
     * Queries a description of this entry's state for operators.
     *
     * @param reply completed with the text, which has several lines
     */
    record Describe(CompletableFuture<String> reply) implements JobsCommand {}

    /** Answer to a query for the status of a job. */
    sealed interface StatusAnswer {
        /** The job exists and has this status. */
        record Known(JobStatus status) implements StatusAnswer {}

        /** There is no such job. */
        record Missing() implements StatusAnswer {}

        /** The status cannot be determined at present. */
        record Unavailable(String reason) implements StatusAnswer {}
    }

    /** Answer to a query for the number of waiting jobs of a queue. */
    sealed interface CountAnswer {
        /** This number of jobs has been waiting, as of at most 2 s ago. */
        record Counted(int waiting) implements CountAnswer {}

        /** The number cannot be determined at present. */
        record Unavailable(String reason) implements CountAnswer {}
    }

    /*
     * From the store
     */

    /** A read of a followed partition has ended. */
    record TailRead(LogTail tail, long generation, long number, ReadResult result, LogTail.ReadTimes times)
            implements JobsCommand {}

    /** A read of a followed partition should have been answered by now. */
    record TailOverdue(LogTail tail, long generation, long number, LogTail.ReadTimes times) implements JobsCommand {}

    /** The next read of a followed partition is due. */
    record TailDue(LogTail tail, long generation) implements JobsCommand {}

    /** A read that pending queries wait for has ended. */
    record CatchUpReadEnded(ReadResult result) implements JobsCommand {}

    /** An append of callers' requests has ended. */
    record RequestsWritten(AppendResult result) implements JobsCommand {}

    /** The append that tells of this process has ended. */
    record LifetimeWritten(AppendResult result) implements JobsCommand {}

    /** The retry of an append of callers' requests is due. */
    record WriteDue() implements JobsCommand {}

    /** An append of the leader has ended. */
    record BatchWritten(long term, AppendResult result) implements JobsCommand {}

    /** An append of a leader that removes the requests of former jobs has ended. */
    record RequestsRemoved(long term, AppendResult result) implements JobsCommand {}

    /** An append of a leader that removes cancellations of jobs that were never submitted has ended. */
    record CancellationsRemoved(long term, AppendResult result) implements JobsCommand {}

    /** The retry of a leader's append that was not acknowledged is due. */
    record RetryDue(long term) implements JobsCommand {}

    /** The append with which this entry tried to win a term has ended. */
    record TermAppendEnded(long term, AppendResult result) implements JobsCommand {}

    /** The append that opens the epoch of a won term has ended. */
    record EpochAppendEnded(long term, long expectedEnd, AppendResult result) implements JobsCommand {}

    /*
     * From guards and timers
     */

    /**
     * This process listens at the address for guards.
     *
     * @param processStartedAtMs monotonic time at or after the start of this process
     */
    record Listening(long processStartedAtMs) implements JobsCommand {}

    /** The connection of a guard was opened or closed, or a frame was received. */
    record GuardLink(LinkEvent event) implements JobsCommand {}

    /** A report of a guard waits at its connection. */
    record GuardReportDue(GuardConnection connection) implements JobsCommand {}

    /** Reports of guards wait; some of them are handled now. */
    record ReportTurnDue(ReportTurns turns) implements JobsCommand {}

    /** A connection to the leader of a term could not be opened; {@code refused} if no process listens there. */
    record LeaderProbed(long term, boolean refused) implements JobsCommand {}

    /** A connection that this entry opened to forward requests was opened or closed, or a frame was received. */
    record ForwardLink(long attempt, LinkEvent event) implements JobsCommand {}

    /** Periodic timer. */
    record Tick() implements JobsCommand {}

    /** The scheduling pass that was delayed to the next interval is due. */
    record DecisionDue(long term) implements JobsCommand {}

    /** The minimum interval since the leader's last append has passed. */
    record FlushDue() implements JobsCommand {}

    /**
     * Prepares for shutdown: the entry takes part in no more elections, and a leader resigns.
     *
     * @param reply completed once the resignation is stored, or the entry is not or no longer the leader
     */
    record Drain(CompletableFuture<Void> reply) implements JobsCommand {}

    /**
     * State that other threads read without sending a message to the actor.
     *
     * @param config active configuration; null before the first was read
     * @param configKnownUpToMs monotonic time up to which all confirmed configurations are known, in milliseconds
     * @param configApplyMs time from the confirmation of a configuration until it must be in force, in milliseconds
     * @param unreadyReason why the entry should get no new connections; empty if it is ready
     * @param standingWaitMs for how long the standing task that has waited longest is not at work, in milliseconds; 0
     *     if all are, or while this entry does not lead
     * @param headroomMilliCores processors that standing tasks leave to short jobs, in thousandths; 0 if not leading
     * @param evacuatedZones number of zones that are evacuated
     * @param reads what may be answered to callers' reads
     */
    record View(
            JobConfig config,
            long configKnownUpToMs,
            long configApplyMs,
            String unreadyReason,
            long standingWaitMs,
            long headroomMilliCores,
            int evacuatedZones,
            JobReads reads) {
        /** Constructs a view that leaves all reads to the actor. */
        View(JobConfig config, long configKnownUpToMs, long configApplyMs, String unreadyReason) {
            this(config, configKnownUpToMs, configApplyMs, unreadyReason, 0, 0, 0, JobReads.none());
        }

        /** Constructs the view of an entry that has read nothing yet. */
        static View starting() {
            return new View(null, 0, 0, "this entry is starting");
        }

        /** Tells whether the entry should get new connections. */
        boolean ready() {
            return unreadyReason.isEmpty();
        }

        /** Returns for how long a newer configuration may have been confirmed, in milliseconds. */
        long configAgeMs(long nowMs) {
            return Math.max(0, nowMs - configKnownUpToMs);
        }

        /** Tells whether a configuration that must be in force may be unknown. */
        boolean isConfigOutdated(long nowMs) {
            return configAgeMs(nowMs) > configApplyMs;
        }
    }
}
