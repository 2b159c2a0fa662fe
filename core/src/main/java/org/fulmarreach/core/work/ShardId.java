package org.fulmarreach.core.work;

/**
 * A shard and the entry that follows or leads it. Immutable.
 *
 * @param region region of the shard
 * @param index index of the shard
 * @param count number of shards of the region
 * @param entryId id of the entry
 * @param incarnation number of this run of the entry
 */
public record ShardId(String region, int index, int count, String entryId, long incarnation) {
    /** Returns the name of the shard and its stream. */
    public String name() {
        return Shards.constructName(region, index);
    }

    /** Returns the id that this entry claims the shard under. */
    public String leaderId() {
        return entryId + "/" + incarnation;
    }

    /** Tells whether the shard holds the given work. */
    public boolean owns(String work, String workRegion) {
        return region.equals(workRegion) && Shards.findIndex(work, count) == index;
    }
}
