package org.fulmarreach.core.jobs;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;

import org.fulmarreach.core.jobs.DecisionLog.Decision;

/** Removes settled jobs from the log and from the registry once their retention has ended. Not thread-safe. */
final class JobRetention {
    private final JobRegistry registry;
    private final JobTimeLimits limits;
    private final DecisionBuffer decisions;
    private final DecisionLog log;
    private final Set<String> removing = new HashSet<>();

    JobRetention(JobRegistry registry, JobTimeLimits limits, DecisionBuffer decisions, DecisionLog log) {
        this.registry = registry;
        this.limits = limits;
        this.decisions = decisions;
        this.log = log;
    }

    /** Returns the ids of the jobs whose removal is pending. */
    Set<String> removing() {
        return removing;
    }

    /** Decides to remove the jobs whose retention has ended, except those that are still active. */
    void removeExpired(Collection<Job> active, long unixMs) {
        for (StoredProgress job : registry.findSettledWithoutRequest(unixMs - limits.statusRetentionMs())) {
            if (removing.add(job.id())) {
                decisions.remove(job);
            }
        }
        for (Job job : registry.jobs()) {
            // An end that the store has not acknowledged may still be undone, so it does not count.
            long settledAtMs = job.acknowledgedSettledAtMs();
            boolean expired = settledAtMs > 0 && unixMs - settledAtMs > limits.statusRetentionMs();
            if (expired && !active.contains(job) && removing.add(job.spec().id())) {
                decisions.remove(new StoredProgress(job.spec().id(), job.storedParts()));
                log.record(Decision.JOB_FORGOTTEN, job.spec().id(), "settledForMs", unixMs - settledAtMs);
            }
        }
    }

    /** Applies the store's acknowledgement of removals. */
    void onRemoved(Collection<StoredProgress> jobs) {
        for (StoredProgress job : jobs) {
            registry.remove(job.id());
            removing.remove(job.id());
        }
    }
}
