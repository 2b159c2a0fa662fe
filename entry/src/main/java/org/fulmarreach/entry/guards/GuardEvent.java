package org.fulmarreach.entry.guards;

import org.fulmarreach.protocol.thrift.Heartbeat;

/** Events about guards that {@link DirectoryActor} sends to subscribers, in order for each guard. */
public sealed interface GuardEvent {
    /**
     * A heartbeat arrived.
     *
     * @param guard the guard
     * @param heartbeat the heartbeat; must not be modified
     */
    record HeartbeatReceived(GuardView guard, Heartbeat heartbeat) implements GuardEvent {}

    /**
     * The connection to a guard ended. The guard may still be running.
     *
     * @param guard the guard
     */
    record Disconnected(GuardView guard) implements GuardEvent {}
}
