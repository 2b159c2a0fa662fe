package org.fulmarreach.protocol.io;

import java.util.Arrays;
import java.util.List;
import java.util.Map;

import org.fulmarreach.core.budget.BudgetRecord;
import org.fulmarreach.core.exc.FrameException;
import org.fulmarreach.core.rules.PublishResult;
import org.fulmarreach.core.rules.RulesRecord;
import org.junit.jupiter.api.Test;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

/**
 * Guards against fields lost when a record is serialized and read back, and against malformed bytes that cause another
 * exception than {@link FrameException}.
 */
class RecordsTest {
    private static final List<RulesRecord> RULES = List.of(
            new RulesRecord.Publish("p-1", 7, List.of("a"), List.of("b", "D\u0175r"), "lena"),
            new RulesRecord.Snapshot(
                    9, List.of("x"), Map.of("w", "sued", "v", "nord"), List.of(new PublishResult("p", 3)), 12));
    private static final List<BudgetRecord> BUDGET = List.of(
            new BudgetRecord.Reserve("i", "e", 1, 2, 3, 4),
            new BudgetRecord.Return("i", "e", 1, 2),
            new BudgetRecord.Snapshot(List.of(new BudgetRecord.PeriodTotal(1, 2, List.of("i"))), -1, 3, 4, 5));

    @Test
    void recordsAreEqualAfterSerializationAndDeserialization() {
        RULES.forEach(record -> assertEquals(record, RulesRecords.fromBytes(RulesRecords.toBytes(record))));
        BUDGET.forEach(record -> assertEquals(record, BudgetRecords.fromBytes(BudgetRecords.toBytes(record))));
    }

    @Test
    void truncatedBytesAreReported() {
        for (RulesRecord record : RULES) {
            byte[] bytes = RulesRecords.toBytes(record);
            for (int length = 0; length < bytes.length; length++) {
                byte[] part = Arrays.copyOf(bytes, length);
                assertThrows(FrameException.class, () -> RulesRecords.fromBytes(part));
            }
        }
    }

    @Property(seed = "20261208", tries = 2000)
    void arbitraryBytesGiveARecordOrAFrameException(@ForAll byte[] bytes, @ForAll int position) {
        readAsRulesAndAsBudget(bytes);
        byte[] damaged = RulesRecords.toBytes(RULES.get(1));
        damaged[Math.floorMod(position, damaged.length)] ^= (byte) (position >> 8 | 1);
        readAsRulesAndAsBudget(damaged);
    }

    private static void readAsRulesAndAsBudget(byte[] bytes) {
        try {
            RulesRecords.fromBytes(bytes);
        } catch (FrameException expected) {
            assertEquals("BAD_FRAME", expected.problem().code().name());
        }
        try {
            BudgetRecords.fromBytes(bytes);
        } catch (FrameException expected) {
            assertEquals("BAD_FRAME", expected.problem().code().name());
        }
    }
}
