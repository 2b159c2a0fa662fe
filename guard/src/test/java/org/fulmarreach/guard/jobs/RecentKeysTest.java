package org.fulmarreach.guard.jobs;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** The keys of all orders since the start of a worker were kept, so the memory of a guard grew with each order. */
class RecentKeysTest {
    private final RecentKeys keys = new RecentKeys(1_000);

    @Test
    void keysAreForgottenAfterTheirRetention() {
        for (int i = 0; i < 10_000; i++) {
            keys.add("run-" + i, i);
        }
        assertEquals(1_001, keys.size());
        assertTrue(keys.contains("run-9999"));
        assertFalse(keys.contains("run-0"));
    }

    @Test
    void keyThatIsAddedAgainIsKeptLonger() {
        keys.add("run-1", 0);
        keys.add("run-2", 100);
        keys.add("run-1", 900);
        keys.add("run-3", 1_500);
        assertTrue(keys.contains("run-1"));
        assertFalse(keys.contains("run-2"));
    }
}
