package org.fulmarreach.entry.store;

import org.fulmarreach.platform.LogBatch;

/** Result of one read of a stream. Immutable. */
public sealed interface StreamNews {
    /**
     * The stream was read.
     *
     * @param batch records and the offset to read from next
     * @param isCaughtUp whether the stream had no more records when it was read
     */
    record Records(LogBatch batch, boolean isCaughtUp) implements StreamNews {}

    /**
     * Records before {@code firstOffset} are no longer kept.
     *
     * @param firstOffset offset of the first kept record
     */
    record Truncated(long firstOffset) implements StreamNews {}

    /**
     * The store did not answer; the follower reads again after a pause.
     *
     * @param reason why
     */
    record Failed(String reason) implements StreamNews {}
}
