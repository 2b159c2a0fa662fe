package org.fulmarreach.core.jobs;

/**
 * Identifies one lifetime of a worker process. A restarted worker has a new lifetime, even with the same id. Immutable.
 *
 * @param guard node name of the worker's guard
 * @param id the worker's id
 * @param startedAtMs start time of the worker in Unix milliseconds
 */
public record WorkerRef(String guard, String id, long startedAtMs) {}
