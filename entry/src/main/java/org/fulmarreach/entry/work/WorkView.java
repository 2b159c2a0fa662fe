package org.fulmarreach.entry.work;

/**
 * State of one run of batch or standing work. Immutable.
 *
 * @param name name of the rule
 * @param run number of the run; 0 for standing work
 * @param kind {@code batch} or {@code standing}
 * @param member member that owns the work
 * @param shard shard that the work belongs to
 * @param phase PENDING, ASSIGNED, EVICTING, DONE, CANCELLED or QUARANTINED
 * @param vm VM that the run is assigned to; empty if there is none
 * @param epoch number of the last assignment
 * @param deadlineMs deadline in milliseconds since the Unix epoch; 0 for standing work
 * @param reason why the run is in this phase
 */
public record WorkView(
        String name,
        long run,
        String kind,
        String member,
        String shard,
        String phase,
        String vm,
        long epoch,
        long deadlineMs,
        String reason) {}
