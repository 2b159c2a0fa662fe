package org.fulmarreach.core.work;

/**
 * State of one run for operators. Immutable.
 *
 * @param key run
 * @param member member that owns the work; empty if its rule was removed
 * @param phase recorded phase
 * @param vm VM of the live placement; empty if there is none
 * @param epoch number of the last assignment
 * @param deadlineMs deadline in milliseconds since the Unix epoch; 0 if there is none
 * @param reason why it is in this phase
 */
public record RunView(
        RunKey key, String member, WorkPhase phase, String vm, long epoch, long deadlineMs, String reason) {}
