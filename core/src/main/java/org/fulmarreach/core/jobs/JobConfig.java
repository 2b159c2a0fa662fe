package org.fulmarreach.core.jobs;

import java.util.List;
import java.util.Optional;

/**
 * Queue configuration set by operators. Immutable.
 *
 * @param version version of the configuration; increases with each change
 * @param queues all queues
 * @param maxBodyBytes largest body of a request in bytes
 */
public record JobConfig(long version, List<JobQueue> queues, int maxBodyBytes) {
    /** Copies the list. */
    public JobConfig {
        queues = List.copyOf(queues);
    }

    /** Finds the queue of {@code host} whose path prefix is the longest that {@code path} starts with. */
    public Optional<JobQueue> findByRequest(String host, String path) {
        JobQueue best = null;
        for (JobQueue queue : queues) {
            if (queue.host().equalsIgnoreCase(host)
                    && path.startsWith(queue.pathPrefix())
                    && (best == null
                            || queue.pathPrefix().length() > best.pathPrefix().length())) {
                best = queue;
            }
        }
        return Optional.ofNullable(best);
    }

    /** Finds a queue by its name. */
    public Optional<JobQueue> findByName(String name) {
        for (JobQueue queue : queues) {
            if (queue.name().equals(name)) {
                return Optional.of(queue);
            }
        }
        return Optional.empty();
    }
}
