package org.fulmarreach.core.jobs;

import java.util.HashMap;
import java.util.Map;

/** Settings of the queues that were configured in a term. Not thread-safe. */
final class KnownPolicies {
    private final Map<String, QueuePolicy> byQueue = new HashMap<>();

    void learn(JobConfig config) {
        config.queues().forEach(queue -> byQueue.put(queue.name(), queue.policy()));
    }

    /**
     * Returns the settings of a job's queue: those of the last configuration in this term that has the queue, or else
     * those stored with the job, since the queue may have been removed before the term; null if neither is known.
     */
    QueuePolicy find(Job job) {
        return byQueue.getOrDefault(job.spec().queue(), job.spec().queuePolicy());
    }

    int maxAttempts(Job job) {
        QueuePolicy policy = find(job);
        return policy == null ? Integer.MAX_VALUE : policy.maxAttempts();
    }
}
