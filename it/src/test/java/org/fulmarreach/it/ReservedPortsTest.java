package org.fulmarreach.it;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Set;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against a child process that cannot bind its port because another process has bound it in the meantime. */
class ReservedPortsTest {
    /** More ports than the entries of the largest deployment need. */
    private static final int PORTS = 100;

    /** The kernel assigns ephemeral ports to outgoing connections of any process. */
    @Test
    void portIsNotOneThatTheKernelGivesToConnections() {
        PortRange ephemeral = PortRange.readEphemeral();
        try (ReservedPorts ports = new ReservedPorts()) {
            for (int i = 0; i < PORTS; i++) {
                int port = ports.reserve();
                assertFalse(ephemeral.contains(port), port + " is in " + ephemeral);
            }
        }
    }

    /** Several deployments may start at the same time, in this process and in others. */
    @Test
    void portIsReservedOnceUntilItIsGivenBack() {
        Set<Integer> seen = new HashSet<>();
        try (ReservedPorts first = new ReservedPorts();
                ReservedPorts second = new ReservedPorts()) {
            for (int i = 0; i < PORTS; i++) {
                assertTrue(seen.add(first.reserve()), "reserved twice");
                assertTrue(seen.add(second.reserve()), "reserved twice");
            }
        }
    }

    /** A port can be in use by a listener that has not reserved it. */
    @Test
    void portOfAnotherListenerIsPassedOver() throws IOException {
        int taken;
        try (ReservedPorts ports = new ReservedPorts()) {
            taken = ports.reserve();
        }
        try (ServerSocket listener = new ServerSocket(taken, 1, InetAddress.getLoopbackAddress());
                ReservedPorts ports = new ReservedPorts(taken)) {
            assertNotEquals(listener.getLocalPort(), ports.reserve());
        }
    }

    /** A child process must be able to bind the port while it is reserved. */
    @Test
    void reservedPortCanBeBound() throws IOException {
        try (ReservedPorts ports = new ReservedPorts()) {
            int port = ports.reserve();
            try (ServerSocket listener = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                assertTrue(listener.isBound());
            }
        }
    }
}
