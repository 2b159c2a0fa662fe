package org.fulmarreach.core.jobs;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Statuses of the jobs of a {@link JobRegistry} as acknowledged by the store, for threads that do not own the registry.
 * A change that a leader has not stored yet never shows here. Written by the owner of the registry only; reads are
 * thread-safe and see each job in one of the states that the registry had between two of its operations.
 */
public final class AcknowledgedStatuses {
    private final Map<String, Entry> entries = new ConcurrentHashMap<>();

    private record Entry(String queue, JobStatus status) {}

    /** Returns the acknowledged status of a job; empty if the job is not known here. */
    public Optional<JobStatus> find(String id) {
        return Optional.ofNullable(entries.get(id)).map(Entry::status);
    }

    /** Returns the number of jobs of a queue that are still queued, as acknowledged by the store. */
    public int countWaiting(String queue) {
        int waiting = 0;
        for (Entry entry : entries.values()) {
            if (entry.status() == JobStatus.QUEUED && entry.queue().equals(queue)) {
                waiting++;
            }
        }
        return waiting;
    }

    /** Shows a job, once it has the progress and the cancellation that were known before its submission. */
    void add(Job job) {
        entries.put(job.spec().id(), new Entry(job.spec().queue(), job.acknowledgedStatus()));
    }

    /** Shows the present status of a job, unless it is not shown yet or any more. */
    void update(Job job) {
        entries.computeIfPresent(
                job.spec().id(),
                (id, entry) -> entry.status() == job.acknowledgedStatus()
                        ? entry
                        : new Entry(entry.queue(), job.acknowledgedStatus()));
    }

    void remove(String id) {
        entries.remove(id);
    }
}
