package org.fulmarreach.core.rules;

/**
 * One scheduled run of a batch rule. Immutable.
 *
 * @param run number of the run since the epoch
 * @param startMs time from which it may run, UTC milliseconds
 * @param deadlineMs time by which it must be completed, UTC milliseconds
 */
public record BatchRun(long run, long startMs, long deadlineMs) {}
