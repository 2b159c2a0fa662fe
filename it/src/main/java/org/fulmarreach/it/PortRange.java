package org.fulmarreach.it;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * A range of TCP ports. Immutable.
 *
 * @param first first port
 * @param last last port
 */
record PortRange(int first, int last) {
    private static final Path EPHEMERAL = Path.of("/proc/sys/net/ipv4/ip_local_port_range");

    /** Reads the range from which the kernel takes ports for outgoing connections and for listeners on any port. */
    static PortRange readEphemeral() {
        try {
            // The kernel answers one read of this file, so it is read with a buffer that holds all of it.
            String[] bounds = Files.readAllLines(EPHEMERAL).get(0).trim().split("\\s+");
            return new PortRange(Integer.parseInt(bounds[0]), Integer.parseInt(bounds[1]));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    int size() {
        return Math.max(0, last - first + 1);
    }

    boolean contains(int port) {
        return first <= port && port <= last;
    }
}
