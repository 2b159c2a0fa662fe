package org.fulmarreach.entry.guards;

/**
 * A target as operators see it. Immutable.
 *
 * @param vm name of the VM
 * @param zone availability zone
 * @param region region
 * @param rack rack
 * @param service name of the service
 * @param state {@code READY}, {@code LEAVING}, {@code SILENT} or {@code EJECTED}
 * @param slots requests that it handles at the same time
 * @param slotsInUse slots in use, by the last heartbeat
 * @param outstanding calls of this entry that it has not answered
 * @param connections connections that it accepts
 * @param connectionsInUse connections in use, by the last heartbeat
 * @param freeMilliCores free processors in thousandths of a core
 * @param freeMemoryMb free memory in MiB
 * @param p99Ms recent 99th percentile of its latency in milliseconds
 * @param incarnation incarnation of its guard
 * @param rulesRevision revision of the rules at its guard
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
