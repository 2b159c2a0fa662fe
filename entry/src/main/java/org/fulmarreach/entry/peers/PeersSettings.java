package org.fulmarreach.entry.peers;

import java.util.List;

/**
 * Settings of the connections to other entries. Immutable.
 *
 * @param entryId id of this entry
 * @param zone its availability zone
 * @param region its region
 * @param address its address for entries and guards
 * @param incarnation number of this run of the entry, higher after a restart
 * @param peers addresses to dial
 * @param statusMs interval of status messages in milliseconds
 */
public record PeersSettings(
        String entryId,
        String zone,
        String region,
        String address,
        long incarnation,
        List<String> peers,
        int statusMs) {}
