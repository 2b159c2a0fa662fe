package org.fulmarreach.entry.peers;

/**
 * Another entry as it last reported itself. Immutable.
 *
 * @param entryId id of the entry
 * @param incarnation number of this run of the entry process
 * @param zone its availability zone
 * @param region its region
 * @param address its address for entries and guards, {@code ip:port}
 * @param rulesRevision revision of the rules that it has in force
 * @param storeReachable whether it reaches the log service
 * @param leaving whether it is shutting down
 */
public record PeerView(
        String entryId,
        long incarnation,
        String zone,
        String region,
        String address,
        long rulesRevision,
        boolean storeReachable,
        boolean leaving) {}
