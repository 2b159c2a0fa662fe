package org.fulmarreach.entry.peers;

/**
 * Last reported state of another entry. Immutable.
 *
 * @param entryId id of the entry
 * @param incarnation incarnation of the entry process
 * @param zone availability zone of the entry
 * @param region region of the entry
 * @param address address of the entry for other entries and guards, {@code ip:port}
 * @param rulesRevision revision of the rules in force at the entry
 * @param storeReachable whether the entry can reach the log service
 * @param leaving whether the entry is shutting down
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
