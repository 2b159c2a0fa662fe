package org.fulmarreach.core.work;

/**
 * A shard and the entry that follows or leads it. Immutable.
 *
 * @param region region of the shard
 * @param index index of the shard
 * @param count number of shards of the region
 * @param entryId id of the entry
 * @param incarnation number of this lifetime of the entry process
 */
public record ShardId(String region, int index, int count, String entryId, long incarnation) {
    /** Returns the name of the shard, which is also the name of its stream. */
    public String name() {
        return Shards.constructName(region, index);
    }

    /** Returns the leader id under which this entry claims the shard, {@code entryId/incarnation}. */
    public String leaderId() {
        return entryId + "/" + incarnation;
    }

    /** Returns whether the given unit of work is assigned to this shard. */
    public boolean owns(String work, String workRegion) {
        return region.equals(workRegion) && Shards.findIndex(work, count) == index;
    }
}
