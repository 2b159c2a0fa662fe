package org.fulmarreach.entry.guards;

/**
 * Settings of the directory. Immutable.
 *
 * @param entryId id of this entry
 * @param address address of this entry for guards, {@code ip:port}
 * @param silenceTimeoutMs a guard without a frame for this long is dropped, in milliseconds
 * @param heartbeatMs interval of summaries in milliseconds
 * @param maxQueuedCalls calls that may wait per service
 */
public record DirectorySettings(
        String entryId, String address, int silenceTimeoutMs, int heartbeatMs, int maxQueuedCalls) {}
