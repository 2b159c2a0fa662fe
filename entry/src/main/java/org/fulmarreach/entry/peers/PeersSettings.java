package org.fulmarreach.entry.peers;

import java.util.List;

/**
 * Settings of the connections to other entries. Immutable.
 *
 * @param entryId id of this entry
 * @param zone availability zone of this entry
 * @param region region of this entry
 * @param address address of this entry for other entries and guards
 * @param incarnation incarnation of the entry process, higher after each restart
 * @param peers configured addresses to connect to
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
