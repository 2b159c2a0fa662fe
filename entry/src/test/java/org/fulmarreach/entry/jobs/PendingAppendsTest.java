package org.fulmarreach.entry.jobs;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.fulmarreach.platform.store.KeyedRecord;
import org.fulmarreach.platform.store.StoreLimits;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class PendingAppendsTest {
    private static final StoreLimits LIMITS = new StoreLimits(1_000, 2_000);

    @Test
    void appendsKeepTheOrderAndTheLimit() {
        List<KeyedRecord> records = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            records.add(new KeyedRecord("k" + i, new byte[1 + 37 * i % 900]));
        }
        PendingAppends pending = new PendingAppends(records, LIMITS);
        List<KeyedRecord> appended = new ArrayList<>();
        int appends = 0;
        for (; !pending.isEmpty(); pending.onStored()) {
            int bytes =
                    pending.next().stream().mapToInt(KeyedRecord::requestBytes).sum();
            assertTrue(bytes <= LIMITS.requestBytes(), "append of " + bytes + " bytes");
            appended.addAll(pending.next());
            appends++;
        }
        assertEquals(records, appended);
        assertTrue(appends < 40, appends + " appends");
    }

    @Test
    void recordThatIsNeverStoredIsDroppedAlone() {
        List<KeyedRecord> records = new ArrayList<>();
        for (int i = 0; i < 9; i++) {
            records.add(new KeyedRecord("k" + i, new byte[10]));
        }
        PendingAppends pending = new PendingAppends(records, LIMITS);
        List<String> stored = new ArrayList<>();
        List<String> dropped = new ArrayList<>();
        while (!pending.isEmpty()) {
            if (pending.next().stream().anyMatch(entry -> entry.key().equals("k5"))) {
                Optional<KeyedRecord> removed = pending.onInvalid();
                removed.ifPresent(entry -> dropped.add(entry.key()));
            } else {
                pending.next().forEach(entry -> stored.add(entry.key()));
                pending.onStored();
            }
        }
        assertEquals(List.of("k5"), dropped);
        assertEquals(List.of("k0", "k1", "k2", "k3", "k4", "k6", "k7", "k8"), stored);
    }

    @Test
    void batchWithoutRecordsHasOneAppend() {
        PendingAppends pending = new PendingAppends(List.of(), LIMITS);
        assertTrue(pending.isLast());
        assertEquals(Optional.empty(), pending.onInvalid());
        assertTrue(pending.isEmpty());
    }
}
