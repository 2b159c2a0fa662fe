package org.fulmarreach.entry.jobs;

import java.util.List;
import java.util.function.Consumer;

import org.fulmarreach.runtime.net.LinkEvent;

/** Connections to other entries. */
public interface EntryLinks {
    /** Returns {@code host:port} of entries that the settings name; may be stale and may contain this entry. */
    List<String> knownAddresses();

    /**
     * Opens a connection.
     *
     * @param address {@code host:port} of an entry
     * @param listener receives its events
     */
    void connect(String address, Consumer<LinkEvent> listener);
}
