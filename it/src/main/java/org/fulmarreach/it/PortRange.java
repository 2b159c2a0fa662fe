package org.fulmarreach.it;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * A range of TCP ports. Immutable.
 *
 * @param first first port
 * @param last last port, inclusive
 */
record PortRange(int first, int last) {
    private static final Path EPHEMERAL = Path.of("/proc/sys/net/ipv4/ip_local_port_range");

    /** Reads the ephemeral range, which the kernel uses for outgoing connections and for listeners on port 0. */
    static PortRange readEphemeral() {
        try {
            // The kernel returns the content on the first read only, so the buffer must hold the whole file.
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
