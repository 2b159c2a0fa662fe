package org.fulmarreach.entry.peers;

/**
 * A process, entry or guard, in which rules are in force. Immutable.
 *
 * @param site id of the entry, or VM of the guard
 * @param kind {@code entry} or {@code guard}
 * @param zone availability zone of the site
 * @param region region of the site
 * @param revision revision of the rules in force at the site
 * @param reachable whether the site is connected at present
 */
public record SiteView(String site, String kind, String zone, String region, long revision, boolean reachable) {}
