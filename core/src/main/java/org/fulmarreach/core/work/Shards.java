package org.fulmarreach.core.work;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;

/** Names of shards and the shard of each work. Stateless. */
public final class Shards {
    private Shards() {}

    /** Returns the name of a shard, which is also that of its stream. */
    public static String constructName(String region, int index) {
        return "work-" + region + "-" + index;
    }

    /**
     * Returns the shard of a work.
     *
     * @param work name of the work
     * @param count number of shards of its region
     * @return index from 0
     */
    public static int findIndex(String work, int count) {
        return (int) (hash(work) % count);
    }

    /** Returns a stable hash that is not negative. */
    static long hash(String text) {
        CRC32C crc = new CRC32C();
        crc.update(text.getBytes(StandardCharsets.UTF_8));
        return crc.getValue();
    }
}
