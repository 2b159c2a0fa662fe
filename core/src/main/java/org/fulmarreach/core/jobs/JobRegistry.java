package org.fulmarreach.core.jobs;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;

/**
 * All jobs in the log, rebuilt from its records by every entry. The leader also applies its own changes before they are
 * written. Applying a record more than once has no further effect, and records of the two partitions may be applied in
 * any order relative to each other. Not thread-safe.
 */
public final class JobRegistry {
    private final Map<String, Job> jobs = new LinkedHashMap<>();
    private final AcknowledgedStatuses statuses = new AcknowledgedStatuses();
    private final Map<String, UnknownProgress> progressOfUnknownJobs = new HashMap<>();
    private final Map<String, Long> cancelledUnknownJobs = new LinkedHashMap<>();
    private final JobMemory memory;

    /** Progress that was read of a job which is not known. */
    private static final class UnknownProgress {
        private JobSnapshot snapshot;
        private final Map<Integer, List<TaskState>> parts = new TreeMap<>();

        void restoreTo(Job job) {
            parts.forEach(job::restorePart);
            if (snapshot != null) {
                job.restore(snapshot);
            }
        }
    }

    /** Constructs an empty registry whose memory is bounded by the heap of this process. */
    public JobRegistry() {
        this(JobMemory.ofHeap());
    }

    /**
     * Constructs an empty registry.
     *
     * @param memory counts the jobs
     */
    public JobRegistry(JobMemory memory) {
        this.memory = memory;
    }

    /** Returns the bound on the memory of jobs, which counts those of this registry. */
    public JobMemory memory() {
        return memory;
    }

    /**
     * Adds a job. A job with a known id is left unchanged.
     *
     * @return true if the job was added
     */
    public boolean submit(JobSpec spec) {
        if (jobs.containsKey(spec.id())) {
            return false;
        }
        Job job = new Job(spec, statuses);
        jobs.put(spec.id(), job);
        memory.add(spec);
        UnknownProgress progress = progressOfUnknownJobs.remove(spec.id());
        if (progress != null) {
            progress.restoreTo(job);
        }
        if (cancelledUnknownJobs.remove(spec.id()) != null) {
            job.cancel();
        }
        statuses.add(job);
        return true;
    }

    /**
     * Cancels a job. For an unknown id the cancellation is kept and applied when the job is submitted.
     *
     * @param cancelledAtMs time of the cancellation in Unix milliseconds
     */
    public void cancel(String id, long cancelledAtMs) {
        Job job = jobs.get(id);
        if (job == null) {
            cancelledUnknownJobs.merge(id, cancelledAtMs, Math::max);
        } else {
            job.cancel();
        }
    }

    /**
     * Replaces the progress of a job by a stored snapshot, which is kept if the job is not known yet.
     *
     * @param snapshot without tasks if all of them are stored apart
     */
    public void restore(String id, JobSnapshot snapshot) {
        Job job = jobs.get(id);
        if (job == null) {
            progressOfUnknownJobs.computeIfAbsent(id, unknown -> new UnknownProgress()).snapshot = snapshot;
        } else {
            job.restore(snapshot);
        }
    }

    /** Replaces the states of a part of a job's tasks by stored ones, which are kept if the job is not known yet. */
    public void restorePart(String id, int part, List<TaskState> states) {
        Job job = jobs.get(id);
        if (job == null) {
            progressOfUnknownJobs
                    .computeIfAbsent(id, unknown -> new UnknownProgress())
                    .parts
                    .put(part, TaskStates.copyOf(states));
        } else {
            job.restorePart(part, states);
        }
    }

    /** Discards all changes that the store has not acknowledged; used when this entry ceases to be the leader. */
    public void rollBack() {
        jobs.values().forEach(Job::rollBack);
    }

    /** Removes a job with any progress or cancellation kept for its id. */
    public void remove(String id) {
        Job removed = jobs.remove(id);
        if (removed != null) {
            memory.remove(removed.spec());
        }
        statuses.remove(id);
        progressOfUnknownJobs.remove(id);
        cancelledUnknownJobs.remove(id);
    }

    /** Drops the cancellation that is kept for a job which is not known. */
    public void forgetCancellation(String id) {
        cancelledUnknownJobs.remove(id);
    }

    /** Drops the progress that is kept for a job which is not known. */
    public void forgetProgress(String id) {
        progressOfUnknownJobs.remove(id);
    }

    /** Returns the ids of the jobs of which only the cancellation is known. */
    public Set<String> cancelledUnknownJobs() {
        return Set.copyOf(cancelledUnknownJobs.keySet());
    }

    /** Returns the number of jobs of which only the cancellation is known. */
    public int countCancelledUnknownJobs() {
        return cancelledUnknownJobs.size();
    }

    /**
     * Returns ids of jobs of which only the cancellation is known.
     *
     * @param unixMs jobs that were cancelled before this time, in Unix milliseconds
     * @param most maximum number of ids
     */
    public List<String> findUnknownJobsCancelledBefore(long unixMs, int most) {
        return cancelledUnknownJobs.entrySet().stream()
                .filter(entry -> entry.getValue() < unixMs)
                .limit(most)
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Returns the jobs, known or not, of which stored progress is known, with the parts that are stored apart. */
    public List<StoredProgress> jobsWithProgress() {
        List<StoredProgress> found = new ArrayList<>();
        progressOfUnknownJobs.forEach((id, progress) -> found.add(nameRecords(id, progress)));
        jobs.values().stream()
                .filter(Job::hasStoredProgress)
                .forEach(job -> found.add(new StoredProgress(job.spec().id(), job.storedParts())));
        return found;
    }

    private static StoredProgress nameRecords(String id, UnknownProgress progress) {
        return new StoredProgress(id, List.copyOf(progress.parts.keySet()));
    }

    /**
     * Returns the jobs of which only the progress is known and whose retention has ended: a leader that
     * stopped after it removed their requests has left them.
     *
     * @param unixMs jobs that were settled before this time
     */
    List<StoredProgress> findSettledWithoutRequest(long unixMs) {
        return progressOfUnknownJobs.entrySet().stream()
                .filter(entry -> isSettledBefore(entry.getValue().snapshot, unixMs))
                .map(entry -> nameRecords(entry.getKey(), entry.getValue()))
                .toList();
    }

    private static boolean isSettledBefore(JobSnapshot snapshot, long unixMs) {
        return snapshot != null && snapshot.settledAtMs() > 0 && snapshot.settledAtMs() < unixMs;
    }

    /** Finds a job by its id. */
    public Optional<Job> find(String id) {
        return Optional.ofNullable(jobs.get(id));
    }

    /** Returns the acknowledged statuses of all jobs; other threads may read them. */
    public AcknowledgedStatuses acknowledgedStatuses() {
        return statuses;
    }

    /** Returns all jobs in the order in which they were added. */
    public Collection<Job> jobs() {
        return jobs.values();
    }

    /** Counts the jobs of a queue that are still queued, as acknowledged by the store. */
    public int countWaiting(String queue) {
        return statuses.countWaiting(queue);
    }

    /** Returns when the first job that has settled was settled, in Unix milliseconds; empty if none has. */
    public OptionalLong findFirstSettledAtMs() {
        return jobs.values().stream()
                .mapToLong(Job::acknowledgedSettledAtMs)
                .filter(settledAtMs -> settledAtMs > 0)
                .min();
    }

    JobTask findTask(String text) {
        return TaskName.parse(text)
                .map(name ->
                        jobs.containsKey(name.jobId()) ? jobs.get(name.jobId()).find(name) : null)
                .orElse(null);
    }
}
