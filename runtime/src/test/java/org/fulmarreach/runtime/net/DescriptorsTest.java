package org.fulmarreach.runtime.net;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against a listener that closes the connections of ordinary callers because the operating system lists fewer
 * descriptors than the reserve: then each listener allowed one connection.
 */
class DescriptorsTest {
    @Test
    void statedNumberTakesPrecedence() {
        assertEquals(4_100, Descriptors.allowed(4_100));
        assertTrue(Descriptors.allowed(0) > 0);
    }

    @Test
    void reserveStaysFree() {
        assertEquals(2_000, Descriptors.limitConnections(2_000, 4_100));
        assertEquals(768, Descriptors.limitConnections(2_000, 1_024));
    }

    @Test
    void fewDescriptorsLeaveHalfForConnections() {
        assertEquals(128, Descriptors.limitConnections(2_000, 256));
        assertEquals(16, Descriptors.limitConnections(16, 64));
    }
}
