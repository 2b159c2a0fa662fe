package org.fulmarreach.entry.jobs;

import java.util.Optional;
import java.util.OptionalInt;

import org.fulmarreach.core.jobs.AcknowledgedStatuses;
import org.fulmarreach.core.jobs.JobStatus;

/**
 * What any thread may answer to callers' reads without a message to {@link JobsActor}, which may be occupied with
 * scheduling and with the reports of guards for longer than a caller waits. The answers are those that the actor would
 * give; what cannot be told here is left to the actor, which reads the log to its end or refuses. Thread-safe.
 *
 * @param statuses statuses as acknowledged by the store; maintained by the actor
 * @param progressKnown whether the progress of jobs has been loaded
 * @param countable whether the jobs of a queue can be counted: the requests and the progress are loaded
 * @param knownUpToMs monotonic time up to which all stored requests and progress are known, in milliseconds; of no
 *     meaning unless {@code countable}
 */
record JobReads(AcknowledgedStatuses statuses, boolean progressKnown, boolean countable, long knownUpToMs) {
    /** A count may be 2 s old when the caller has it; 500 ms are left for the way of the answer. */
    static final long MAX_COUNT_AGE_MS = 1_500;

    /** Returns what an entry can answer that has read nothing yet. */
    static JobReads none() {
        return new JobReads(new AcknowledgedStatuses(), false, false, 0);
    }

    /** Returns the acknowledged status of a job; empty if the actor has to be asked. */
    Optional<JobStatus> findStatus(String jobId) {
        return statuses.find(jobId).filter(status -> isCertain(status, progressKnown));
    }

    /** Returns the number of waiting jobs of a queue; empty if the actor has to be asked. */
    OptionalInt countWaiting(String queue, long nowMs) {
        return countable && nowMs - knownUpToMs <= MAX_COUNT_AGE_MS
                ? OptionalInt.of(statuses.countWaiting(queue))
                : OptionalInt.empty();
    }

    /** A job that looks queued or cancelled may have been completed before, which only its progress tells. */
    static boolean isCertain(JobStatus status, boolean progressKnown) {
        return progressKnown || status == JobStatus.COMPLETED || status == JobStatus.FAILED;
    }
}
