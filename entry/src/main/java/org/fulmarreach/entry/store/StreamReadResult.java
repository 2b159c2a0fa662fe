package org.fulmarreach.entry.store;

import org.fulmarreach.platform.LogBatch;

/** Result of one read of a stream. Immutable. */
public sealed interface StreamReadResult {
    /**
     * The read succeeded.
     *
     * @param batch records, and the offset of the next read
     * @param isCaughtUp whether the stream had no more records when it was read
     */
    record Records(LogBatch batch, boolean isCaughtUp) implements StreamReadResult {}

    /**
     * The stream was truncated: records before {@code firstOffset} no longer exist.
     *
     * @param firstOffset offset of the first existing record
     */
    record Truncated(long firstOffset) implements StreamReadResult {}

    /**
     * The read failed. The follower reports this only after a pause, so the owner may start the next read at once.
     *
     * @param reason cause of the failure
     */
    record Failed(String reason) implements StreamReadResult {}
}
