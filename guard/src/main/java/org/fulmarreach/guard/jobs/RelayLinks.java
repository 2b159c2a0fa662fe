package org.fulmarreach.guard.jobs;

import java.util.function.Consumer;

import org.fulmarreach.runtime.net.LinkEvent;

/** Network operations that a {@link WorkerRelay} needs. */
public interface RelayLinks {
    /**
     * Opens a connection to an entry.
     *
     * @param address {@code host:port}
     * @param listener receives its events
     */
    void connect(String address, Consumer<LinkEvent> listener);

    /**
     * Looks up the leader in the store.
     *
     * @param answer receives {@code host:port}, or an empty string if the leader is not known
     */
    void findLeader(Consumer<String> answer);
}
