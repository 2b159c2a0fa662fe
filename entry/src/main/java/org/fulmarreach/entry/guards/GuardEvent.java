package org.fulmarreach.entry.guards;

import org.fulmarreach.protocol.thrift.Heartbeat;

/** What the directory tells its subscribers about guards, in order for each guard. */
public sealed interface GuardEvent {
    /**
     * A heartbeat arrived.
     *
     * @param guard the guard
     * @param heartbeat its state; not to be changed
     */
    record Seen(GuardView guard, Heartbeat heartbeat) implements GuardEvent {}

    /**
     * The connection to a guard ended; it may be alive.
     *
     * @param guard the guard
     */
    record Lost(GuardView guard) implements GuardEvent {}
}
