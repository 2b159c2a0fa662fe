package org.fulmarreach.runtime.net;

import java.net.InetAddress;
import java.util.concurrent.atomic.AtomicLong;

import org.fulmarreach.runtime.log.EventLog;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against a crowd that takes the memory or the connections of ordinary callers. */
class ClientAdmissionTest {
    private static final int SHARE_BYTES = ClientAdmission.CONNECTION_BYTES;
    private static final Object LISTENER = new Object();

    private final AtomicLong nowMs = new AtomicLong();
    private final ClientAdmission admission = new ClientAdmission(
            new ClientLimits(10L * SHARE_BYTES, 16_384, 1_000, 1_000, 0, 1_024), nowMs::get, new EventLog("test"));
    private final AtomicLong evicted = new AtomicLong();

    @Test
    void connectionThatHoldsMostMakesRoom() {
        ClientAdmission.Client large = admit(2);
        ClientAdmission.Client small = admit(2);
        large.onEvict(evicted::incrementAndGet);
        assertTrue(large.reserve(8L * SHARE_BYTES));
        assertTrue(small.reserve(SHARE_BYTES));
        assertEquals(1, evicted.get());
    }

    @Test
    void connectionThatHoldsMostIsRefusedItself() {
        ClientAdmission.Client large = admit(2);
        admit(2);
        assertFalse(large.reserve(9L * SHARE_BYTES));
    }

    /** Its job may have been accepted already. */
    @Test
    void requestInProgressIsNeverClosed() {
        ClientAdmission.Client large = admit(2);
        ClientAdmission.Client small = admit(2);
        large.onEvict(evicted::incrementAndGet);
        assertTrue(large.reserve(8L * SHARE_BYTES));
        large.handled(true);
        assertFalse(small.reserve(SHARE_BYTES));
        assertEquals(0, evicted.get());
    }

    @Test
    void longestIdleConnectionLeavesItsPlace() {
        admit(2).onEvict(evicted::incrementAndGet);
        nowMs.set(1);
        admit(2).onEvict(() -> evicted.addAndGet(10));
        admit(2);
        assertEquals(1, evicted.get());
    }

    private ClientAdmission.Client admit(int maxConnections) {
        return admission
                .admit(LISTENER, maxConnections, InetAddress.getLoopbackAddress())
                .orElseThrow();
    }
}
