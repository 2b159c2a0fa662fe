package org.fulmarreach.entry.work;

/**
 * The lease of a shard, for operators. Immutable.
 *
 * @param shard name of the shard
 * @param leader id of the entry that leads the shard; empty if there is none
 * @param term fencing token of the leader, which is the offset of its claim
 * @param ageMs time in milliseconds since this entry last saw an accepted record of the leader
 * @param outage whether this entry leads the shard during an outage of the store
 */
public record LeaseView(String shard, String leader, long term, long ageMs, boolean outage) {}
