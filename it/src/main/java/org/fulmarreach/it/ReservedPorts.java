package org.fulmarreach.it;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Ports on loopback for the listeners of child processes. A child binds its port seconds after it was chosen, and again
 * after a restart, so nobody else may take it in between: the ports lie outside the range of which the kernel gives
 * some to any process, and each is held on a second loopback address against other holders of this class, in this
 * process or another. A reservation ends with {@link #close()} or with the process. Thread-safe.
 */
final class ReservedPorts implements AutoCloseable {
    /** Address on which a port is held; children listen on 127.0.0.1. */
    private static final String HOLDING_ADDRESS = "127.0.0.2";

    /** Ports below this one are those of well-known services. */
    private static final int FIRST_PORT = 10_000;

    private static final int LAST_PORT = 65_535;

    /** Enough for several deployments of some ten entries with three listeners each. */
    private static final int MIN_PORTS = 1_000;

    private final PortRange range;
    private final List<ServerSocket> held = new ArrayList<>();
    private int next;

    /** Constructs a holder that begins at some port, so that holders seldom try the same ones. */
    ReservedPorts() {
        this.range = choose(PortRange.readEphemeral());
        this.next = range.first() + new Random().nextInt(range.size());
    }

    /**
     * Constructs a holder.
     *
     * @param firstTried port that is tried first
     */
    ReservedPorts(int firstTried) {
        this.range = choose(PortRange.readEphemeral());
        this.next = firstTried;
    }

    /**
     * Reserves a port on which nobody listens.
     *
     * @throws IllegalStateException if all ports are taken
     */
    synchronized int reserve() {
        for (int tried = 0; tried < range.size(); tried++) {
            int port = next;
            next = port == range.last() ? range.first() : port + 1;
            if (hold(port)) {
                return port;
            }
        }
        throw new IllegalStateException("no port of " + range + " is free; end what listens there");
    }

    @Override
    public synchronized void close() {
        held.forEach(ReservedPorts::release);
        held.clear();
    }

    /*
     * Helpers
     */

    private static PortRange choose(PortRange ephemeral) {
        PortRange below = new PortRange(FIRST_PORT, ephemeral.first() - 1);
        PortRange above = new PortRange(ephemeral.last() + 1, LAST_PORT);
        PortRange larger = below.size() >= above.size() ? below : above;
        if (larger.size() < MIN_PORTS) {
            throw new IllegalStateException("the kernel gives connections ports of " + ephemeral
                    + ", which leaves too few for listeners; set net.ipv4.ip_local_port_range to a smaller range");
        }
        return larger;
    }

    private boolean hold(int port) {
        ServerSocket holder;
        try {
            holder = new ServerSocket(port, 1, InetAddress.getByName(HOLDING_ADDRESS));
        } catch (IOException e) {
            // Held by another deployment.
            return false;
        }
        try (ServerSocket probe = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
            held.add(holder);
            return probe.isBound();
        } catch (IOException e) {
            // Somebody listens there without a reservation.
            release(holder);
            return false;
        }
    }

    private static void release(ServerSocket holder) {
        try {
            holder.close();
        } catch (IOException e) {
            throw new IllegalStateException("the reservation of port " + holder.getLocalPort() + " is not released", e);
        }
    }
}
