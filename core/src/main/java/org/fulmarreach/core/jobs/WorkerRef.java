package org.fulmarreach.core.jobs;

/**
 * One lifetime of a worker. A worker that starts again is another lifetime, even with the same id. Immutable.
 *
 * @param guard node name of the guard beside it
 * @param id the worker's id
 * @param bornMs Unix milliseconds of its start
 */
public record WorkerRef(String guard, String id, long bornMs) {}
