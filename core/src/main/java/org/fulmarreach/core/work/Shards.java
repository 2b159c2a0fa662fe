package org.fulmarreach.core.work;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;

/** Computes the names of shards and the shard of a unit of work. Stateless. */
public final class Shards {
    private Shards() {}

    /** Returns the name of a shard, which is also the name of its stream. */
    public static String constructName(String region, int index) {
        return "work-" + region + "-" + index;
    }

    /**
     * Returns the index of the shard that a unit of work is assigned to.
     *
     * @param work name of the work
     * @param count number of shards of its region
     * @return index, starting at 0
     */
    public static int findIndex(String work, int count) {
        return (int) (hash(work) % count);
    }

    /** Returns a non-negative hash that is the same in all processes. */
    static long hash(String text) {
        CRC32C crc = new CRC32C();
        crc.update(text.getBytes(StandardCharsets.UTF_8));
        return crc.getValue();
    }
}
