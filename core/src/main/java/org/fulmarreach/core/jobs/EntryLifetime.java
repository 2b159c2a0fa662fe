package org.fulmarreach.core.jobs;

/**
 * Process of an entry that listens at an address, so that all processes which listened there before have ended.
 * Immutable.
 *
 * @param address {@code host:port} at which it accepts the connections of guards
 * @param lifetime number that rises with each process at the address
 * @param runningMs time for which the process had been running when it told so, in milliseconds
 */
public record EntryLifetime(String address, long lifetime, long runningMs) {}
