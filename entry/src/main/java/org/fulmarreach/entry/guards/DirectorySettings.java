package org.fulmarreach.entry.guards;

/**
 * Settings of {@link DirectoryActor}. Immutable.
 *
 * @param entryId id of this entry
 * @param address address of this entry that guards connect to, {@code ip:port}
 * @param silenceTimeoutMs time without a frame after which a guard's connection is closed, in milliseconds
 * @param heartbeatMs interval of summaries in milliseconds
 * @param maxQueuedCalls maximum number of queued calls per service
 */
public record DirectorySettings(
        String entryId, String address, int silenceTimeoutMs, int heartbeatMs, int maxQueuedCalls) {}
