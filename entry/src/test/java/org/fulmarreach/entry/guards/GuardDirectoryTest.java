package org.fulmarreach.entry.guards;

import org.fulmarreach.protocol.thrift.Body;
import org.fulmarreach.protocol.thrift.Hello;
import org.fulmarreach.protocol.thrift.Resources;
import org.fulmarreach.runtime.net.FrameLink;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against a directory that keeps the values of a guard's first hello, sent before the guard had read its VM. */
class GuardDirectoryTest {
    private final GuardDirectory directory = new GuardDirectory();

    @Test
    void usesTheCapacityOfTheLatestHelloOfAnIncarnation() {
        Link first = new Link();
        Link second = new Link();
        directory.register(first, hello(0, 0, 0), 1_000);
        var change = directory.register(second, hello(16_000, 60_000, 8), 1_500);

        assertInstanceOf(GuardDirectory.Change.Reconnected.class, change);
        GuardSession session = directory.find("guard-1").orElseThrow();
        assertEquals(
                new org.fulmarreach.core.model.Resources(16_000, 60_000, 0),
                session.view().vm().capacity());
        assertEquals(8, session.slots());
        assertTrue(first.closed, "the replaced connection is closed");

        // The close event of the replaced connection arrives late.
        assertTrue(directory.disconnect(first).isEmpty());
        assertTrue(session.isConnected());
    }

    private static Hello hello(int milliCores, long memoryMb, int slots) {
        return new Hello()
                .setGuardId("guard-1")
                .setVm("vm-1")
                .setIncarnation(7)
                .setZone("sued-a")
                .setRegion("sued")
                .setServiceName("bestellung")
                .setSlots(slots)
                .setConnections(slots)
                .setCapacity(new Resources(milliCores, memoryMb, 0));
    }

    private static final class Link implements FrameLink {
        private boolean closed;

        @Override
        public void send(long correlationId, Body body) {
            // This test does not check what is sent.
        }

        @Override
        public void close() {
            closed = true;
        }

        @Override
        public String remoteAddress() {
            return "127.0.0.1:1";
        }
    }
}
