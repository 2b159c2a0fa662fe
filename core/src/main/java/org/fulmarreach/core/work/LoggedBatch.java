package org.fulmarreach.core.work;

/**
 * A record read from the stream of a shard. Immutable.
 *
 * @param offset offset of the record
 * @param batch its content; null when it could not be decoded
 */
public record LoggedBatch(long offset, WorkBatch batch) {}
