package org.fulmarreach.it;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Reserves loopback ports for the listeners of child processes. A child binds its port seconds after the port was
 * chosen, and again after a restart, so no other process may bind it in between. To ensure this, the ports lie outside
 * the kernel's ephemeral port range, and each reserved port is bound on a second loopback address, where other
 * instances of this class, in this process or another, find it in use. A reservation ends with {@link #close()} or with
 * the process. Thread-safe.
 */
final class ReservedPorts implements AutoCloseable {
    /** Address on which a reserved port is bound; the child processes listen on 127.0.0.1. */
    private static final String RESERVATION_ADDRESS = "127.0.0.2";

    /** Many ports below this one are used by well-known services. */
    private static final int MIN_PORT = 10_000;

    private static final int MAX_PORT = 65_535;

    /** Enough for several deployments of about ten entries with three listeners each. */
    private static final int MIN_RANGE_SIZE = 1_000;

    private final PortRange range;
    private final List<ServerSocket> reservations = new ArrayList<>();
    private int next;

    /** Constructs an instance that starts at a random port, so that concurrent instances rarely try the same ports. */
    ReservedPorts() {
        this.range = chooseRange(PortRange.readEphemeral());
        this.next = range.first() + new Random().nextInt(range.size());
    }

    /**
     * Constructs an instance.
     *
     * @param firstPort first port to try
     */
    ReservedPorts(int firstPort) {
        this.range = chooseRange(PortRange.readEphemeral());
        this.next = firstPort;
    }

    /**
     * Reserves a port on which no process listens.
     *
     * @throws IllegalStateException if no port is free
     */
    synchronized int reserve() {
        for (int tried = 0; tried < range.size(); tried++) {
            int port = next;
            next = port == range.last() ? range.first() : port + 1;
            if (tryReserve(port)) {
                return port;
            }
        }
        throw new IllegalStateException("no port in " + range + " is free; stop processes that listen there");
    }

    @Override
    public synchronized void close() {
        reservations.forEach(ReservedPorts::release);
        reservations.clear();
    }

    /*
     * Helpers
     */

    private static PortRange chooseRange(PortRange ephemeral) {
        PortRange below = new PortRange(MIN_PORT, ephemeral.first() - 1);
        PortRange above = new PortRange(ephemeral.last() + 1, MAX_PORT);
        PortRange larger = below.size() >= above.size() ? below : above;
        if (larger.size() < MIN_RANGE_SIZE) {
            throw new IllegalStateException("the ephemeral port range " + ephemeral
                    + " leaves too few ports for listeners; set net.ipv4.ip_local_port_range to a smaller range");
        }
        return larger;
    }

    private boolean tryReserve(int port) {
        ServerSocket reservation;
        try {
            reservation = new ServerSocket(port, 1, InetAddress.getByName(RESERVATION_ADDRESS));
        } catch (IOException e) {
            // Reserved by another deployment.
            return false;
        }
        try (ServerSocket probe = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
            reservations.add(reservation);
            return probe.isBound();
        } catch (IOException e) {
            // Another process listens on this port without a reservation.
            release(reservation);
            return false;
        }
    }

    private static void release(ServerSocket reservation) {
        try {
            reservation.close();
        } catch (IOException e) {
            throw new IllegalStateException(
                    "could not release the reservation of port " + reservation.getLocalPort(), e);
        }
    }
}
