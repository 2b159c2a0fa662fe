package org.fulmarreach.entry.work;

/**
 * The lease of a shard. Immutable.
 *
 * @param shard name of the shard
 * @param leader id of the entry that leads it; empty when none does
 * @param term fencing token, the offset of the claim
 * @param ageMs time since the leader's last accepted record, as seen at this entry, in milliseconds
 * @param outage whether the leader goes on without the store
 */
public record LeaseView(String shard, String leader, long term, long ageMs, boolean outage) {}
