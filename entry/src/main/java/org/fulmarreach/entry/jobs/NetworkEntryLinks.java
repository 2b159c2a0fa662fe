package org.fulmarreach.entry.jobs;

import java.util.List;
import java.util.function.Consumer;

import org.fulmarreach.runtime.net.FrameTransport;
import org.fulmarreach.runtime.net.LinkEvent;

/**
 * Connections to other entries over TCP. Thread-safe.
 *
 * @param transport opens the connections
 * @param knownAddresses {@code host:port} of entries that the settings name
 */
record NetworkEntryLinks(FrameTransport transport, List<String> knownAddresses) implements EntryLinks {
    @Override
    public void connect(String address, Consumer<LinkEvent> listener) {
        transport.connect(address, listener);
    }
}
