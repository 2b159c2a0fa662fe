package org.fulmarreach.entry.guards;

/**
 * State of a target, as listed for operators. Immutable.
 *
 * @param vm name of the VM
 * @param zone availability zone
 * @param region region
 * @param rack rack
 * @param service name of the service
 * @param state {@code READY}, {@code LEAVING}, {@code SILENT} or {@code EJECTED}
 * @param slots requests that the target handles at the same time
 * @param slotsInUse slots in use, by the last heartbeat
 * @param outstanding calls of this entry that the guard has not answered
 * @param connections connections that the target accepts
 * @param connectionsInUse connections in use, by the last heartbeat
 * @param freeMilliCores free processor capacity in thousandths of a core
 * @param freeMemoryMb free memory in MiB
 * @param p99Ms recent 99th percentile of the target's latency in milliseconds
 * @param incarnation incarnation of its guard
 * @param rulesRevision revision of the rules in force at its guard
 */
public record TargetView(
        String vm,
        String zone,
        String region,
        String rack,
        String service,
        String state,
        int slots,
        int slotsInUse,
        int outstanding,
        int connections,
        int connectionsInUse,
        int freeMilliCores,
        long freeMemoryMb,
        int p99Ms,
        long incarnation,
        long rulesRevision) {}
