package org.fulmarreach.entry.peers;

/**
 * A site at which rules are in force. Immutable.
 *
 * @param site id of the entry, or VM of the guard
 * @param kind {@code entry} or {@code guard}
 * @param zone its availability zone
 * @param region its region
 * @param revision revision of the rules that it has
 * @param reachable whether it is connected now
 */
public record SiteView(String site, String kind, String zone, String region, long revision, boolean reachable) {}
