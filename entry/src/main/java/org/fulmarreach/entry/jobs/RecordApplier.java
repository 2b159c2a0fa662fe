package org.fulmarreach.entry.jobs;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongPredicate;

import org.fulmarreach.core.exc.FrameException;
import org.fulmarreach.core.jobs.Job;
import org.fulmarreach.core.jobs.JobRegistry;
import org.fulmarreach.core.jobs.JobSpec;
import org.fulmarreach.core.jobs.JobStatus;
import org.fulmarreach.platform.store.KeyedRecord;
import org.fulmarreach.protocol.io.JobRecords;
import org.fulmarreach.protocol.io.JobTopics;
import org.fulmarreach.runtime.log.EventLog;
import org.fulmarreach.runtime.util.MonotonicClock;

/** Applies records of the log, and requests that this entry has stored, to the registry. Confined to one actor. */
final class RecordApplier {
    private final JobRegistry registry;
    private final Consumer<Job> changed;
    private final Consumer<Job> removed;
    private final MonotonicClock clock;
    private final EventLog log;
    private final Map<String, Long> progressRemovedAtMs = new HashMap<>();

    /**
     * Constructs an applier.
     *
     * @param changed receives each job that was added or cancelled
     * @param removed receives each job that was removed from the registry
     */
    RecordApplier(
            JobRegistry registry, Consumer<Job> changed, Consumer<Job> removed, MonotonicClock clock, EventLog log) {
        this.registry = registry;
        this.changed = changed;
        this.removed = removed;
        this.clock = clock;
        this.log = log;
    }

    /*
     * Requests
     */

    void applyRequest(KeyedRecord entry) {
        String key = entry.key();
        try {
            if (JobTopics.isCancel(key)) {
                if (entry.isRemoval()) {
                    registry.forgetCancellation(JobTopics.jobId(key));
                } else {
                    cancelJob(JobTopics.jobId(key), JobRecords.decodeCancellation(entry.value()));
                }
            } else if (JobTopics.isJob(key) && entry.isRemoval()) {
                removeJob(JobTopics.jobId(key));
            } else if (JobTopics.isJob(key)
                    && registry.find(JobTopics.jobId(key)).isEmpty()) {
                addJob(JobRecords.decodeJob(JobTopics.jobId(key), entry.value()));
            }
        } catch (FrameException e) {
            log.emit(JobEvent.RECORD_SKIPPED, "key", key, "reason", e.getMessage());
        }
    }

    void addJob(JobSpec spec) {
        if (registry.submit(spec)) {
            registry.find(spec.id()).ifPresent(job -> {
                if (job.status() == JobStatus.CANCELLED) {
                    log.emit(JobEvent.CANCELLED_BEFORE_SUBMISSION, "id", spec.id(), "queue", spec.queue());
                }
                changed.accept(job);
            });
        }
    }

    /**
     * Cancels a job, or keeps the cancellation for a submission that is stored later.
     *
     * @param cancelledAtMs time of the cancellation in Unix milliseconds
     */
    void cancelJob(String id, long cancelledAtMs) {
        registry.cancel(id, cancelledAtMs);
        registry.find(id).ifPresent(changed);
    }

    private void removeJob(String id) {
        registry.find(id).ifPresent(removed);
        registry.remove(id);
    }

    /** Returns the keys of the partition of requests of which the registry holds records. */
    Set<String> requestKeys() {
        Set<String> keys = new LinkedHashSet<>();
        registry.jobs().forEach(job -> keys.add(JobTopics.jobKey(job.spec().id())));
        registry.cancelledUnknownJobs().forEach(id -> keys.add(JobTopics.cancelKey(id)));
        return keys;
    }

    /*
     * Progress
     */

    /**
     * Applies a record of a job's progress. The removal of progress is not applied to a job that is known: its requests
     * were removed before, which their partition tells, and without progress it would be taken for a new job.
     */
    void applyProgress(KeyedRecord entry) throws FrameException {
        if (JobTopics.isPart(entry.key())) {
            applyPart(entry);
            return;
        }
        String id = JobTopics.jobId(entry.key());
        if (entry.isRemoval()) {
            progressRemovedAtMs.put(id, clock.nowMs());
        } else {
            progressRemovedAtMs.remove(id);
            registry.restore(id, JobRecords.decodeProgress(entry.value()));
        }
    }

    /** The removal of a part precedes that of the rest of the progress, with which all of it is dropped. */
    private void applyPart(KeyedRecord entry) {
        if (!entry.isRemoval()) {
            registry.restorePart(
                    JobTopics.jobIdOfPart(entry.key()),
                    JobTopics.partNumber(entry.key()),
                    JobRecords.decodePart(entry.value()));
        }
    }

    /**
     * Drops removed progress that is kept for jobs which are not known. It is kept until all requests stored before the
     * removal are known, since a request that has been removed may still be read.
     *
     * @param requestsCover tells whether all requests stored before a reading of the monotonic clock are known
     */
    void dropRemovedProgress(LongPredicate requestsCover) {
        progressRemovedAtMs.entrySet().removeIf(entry -> {
            boolean covered = requestsCover.test(entry.getValue());
            if (covered) {
                registry.forgetProgress(entry.getKey());
            }
            return covered;
        });
    }

    /** Returns the keys of the progress that the registry holds. */
    Set<String> progressKeys() {
        Set<String> keys = new LinkedHashSet<>();
        registry.jobsWithProgress().forEach(progress -> keys.addAll(ProgressRecords.keysOf(progress)));
        return keys;
    }
}
