package org.fulmarreach.core.jobs;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * All jobs that the log names. Entries fold the records of the log into it; the leader also changes it ahead of it.
 * Records may be folded more than once and, between the two partitions, in any order. Not thread-safe.
 */
public final class JobBook {
    private final Map<String, Job> jobs = new LinkedHashMap<>();
    private final Map<String, JobSnapshot> earlyProgress = new HashMap<>();
    private final Set<String> earlyCancels = new HashSet<>();

    /**
     * Adds a job. A job that is known already stays as it is.
     *
     * @return true if it is new
     */
    public boolean submit(JobSpec spec) {
        if (jobs.containsKey(spec.id())) {
            return false;
        }
        Job job = new Job(spec);
        jobs.put(spec.id(), job);
        JobSnapshot progress = earlyProgress.remove(spec.id());
        if (progress != null) {
            job.restore(progress);
        }
        if (earlyCancels.remove(spec.id())) {
            job.cancel();
        }
        return true;
    }

    /** Cancels a job; a job that is not known yet is cancelled as soon as it is. */
    public void cancel(String id) {
        Job job = jobs.get(id);
        if (job == null) {
            earlyCancels.add(id);
        } else {
            job.cancel();
        }
    }

    /** Replaces the progress of a job by what the log holds. */
    public void restore(String id, JobSnapshot snapshot) {
        Job job = jobs.get(id);
        if (job == null) {
            earlyProgress.put(id, snapshot);
        } else {
            job.restore(snapshot);
        }
    }

    /** Drops all changes that the store has not acknowledged; for a leader that was replaced. */
    public void rollBack() {
        jobs.values().forEach(Job::rollBack);
    }

    /** Removes a job. */
    public void forget(String id) {
        jobs.remove(id);
        earlyProgress.remove(id);
        earlyCancels.remove(id);
    }

    /** Finds a job. */
    public Optional<Job> find(String id) {
        return Optional.ofNullable(jobs.get(id));
    }

    /** Returns all jobs in the order in which they were folded. */
    public Collection<Job> jobs() {
        return jobs.values();
    }

    /** Counts the jobs of a queue of which no task has begun. */
    public int countWaiting(String queue) {
        int waiting = 0;
        for (Job job : jobs.values()) {
            if (job.spec().queue().equals(queue) && job.acknowledgedStatus() == JobStatus.QUEUED) {
                waiting++;
            }
        }
        return waiting;
    }

    JobTask findTask(String text) {
        return TaskName.parse(text)
                .map(name ->
                        jobs.containsKey(name.jobId()) ? jobs.get(name.jobId()).find(name) : null)
                .orElse(null);
    }
}
