package org.fulmarreach.core.rules;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import org.fulmarreach.core.exc.ErrorCode;
import org.junit.jupiter.api.Test;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against readers of the stream that reach different rules, and against rules that revert to a lower revision.
 */
class RuleBookTest {
    private static final int STEPS = 60;

    /** Creates a log of writers that race: with stale base revisions, repeated records and outdated snapshots. */
    private static List<RulesRecord> createLog(Random random) {
        List<RulesRecord> log = new ArrayList<>();
        RuleBook writer = new RuleBook();
        List<RulesRecord> delayed = new ArrayList<>();
        for (int i = 0; i < STEPS; i++) {
            RulesRecord record = createRecord(random, writer, "p" + i);
            if (random.nextInt(4) == 0) {
                delayed.add(record);
                continue;
            }
            append(log, writer, record);
            if (random.nextInt(5) == 0) {
                append(log, writer, record);
            }
            if (!delayed.isEmpty() && random.nextInt(3) == 0) {
                append(log, writer, delayed.remove(random.nextInt(delayed.size())));
            }
        }
        return log;
    }

    private static RulesRecord createRecord(Random random, RuleBook writer, String id) {
        if (random.nextInt(6) == 0 && writer.constructSnapshot().isPresent()) {
            return writer.constructSnapshot().get();
        }
        List<String> lines = writer.lines();
        List<String> removed =
                lines.isEmpty() || random.nextBoolean() ? List.of() : List.of(lines.get(random.nextInt(lines.size())));
        String region = random.nextInt(4) == 0 ? "nord" : "sued";
        String line = standing("work-" + random.nextInt(8), region);
        List<String> added = random.nextInt(10) == 0 ? List.of("nonsense") : List.of(line);
        return new RulesRecord.Publish(id, writer.revision(), removed, added, "lena");
    }

    private static void append(List<RulesRecord> log, RuleBook writer, RulesRecord record) {
        writer.apply(log.size(), record);
        log.add(record);
    }

    @Property(seed = "20261204", tries = 300)
    void readersAgreeFromAnyStartOffset(@ForAll Random random) {
        List<RulesRecord> log = createLog(random);
        int start = random.nextInt(log.size());
        RuleBook complete = new RuleBook();
        RuleBook truncated = new RuleBook();
        truncated.markTruncatedBefore(start);
        long lastRevision = 0;
        for (int offset = 0; offset < log.size(); offset++) {
            RulesOutcome expected = complete.apply(offset, log.get(offset));
            assertTrue(complete.revision() >= lastRevision);
            lastRevision = complete.revision();
            int repeatedOffset = random.nextInt(offset + 1);
            complete.apply(repeatedOffset, log.get(repeatedOffset));
            if (offset < start) {
                continue;
            }
            boolean isComparable = truncated.isSynchronized();
            RulesOutcome actual = truncated.apply(offset, log.get(offset));
            if (isComparable) {
                assertEquals(expected, actual);
            }
            if (truncated.isSynchronized()) {
                assertEquals(complete.revision(), truncated.revision());
                assertEquals(complete.lines(), truncated.lines());
                assertEquals(complete.constructSnapshot(), truncated.constructSnapshot());
            }
        }
    }

    @Property(seed = "20261205", tries = 200)
    void readerWithAGapNeverReverts(@ForAll Random random) {
        List<RulesRecord> log = createLog(random);
        RuleBook complete = new RuleBook();
        RuleBook reader = new RuleBook();
        int gapFrom = random.nextInt(log.size());
        int gapTo = gapFrom + random.nextInt(log.size() - gapFrom);
        Map<Long, List<String>> linesByRevision = new HashMap<>(Map.of(0L, List.of()));
        long lastRevision = 0;
        for (int offset = 0; offset < log.size(); offset++) {
            complete.apply(offset, log.get(offset));
            linesByRevision.put(complete.revision(), complete.lines());
            if (offset >= gapFrom && offset < gapTo) {
                continue;
            }
            reader.apply(offset, log.get(offset));
            assertTrue(reader.inForce().revision() >= lastRevision);
            lastRevision = reader.inForce().revision();
            assertEquals(linesByRevision.get(reader.revision()), reader.lines());
            if (reader.isSynchronized()) {
                assertEquals(complete.lines(), reader.lines());
            }
        }
    }

    @Test
    void outdatedPublishConflictsAndRepeatedPublishReturnsItsResult() {
        RuleBook book = new RuleBook();
        RulesRecord first = publish("a", 0, standing("x", "sued"));
        assertEquals(new RulesOutcome.Accepted("a", 1), book.apply(0, first));
        assertEquals(new RulesOutcome.Conflict("b", 0, 1), book.apply(1, publish("b", 0, standing("y", "sued"))));
        assertEquals(new RulesOutcome.Duplicate("a", 1), book.apply(2, first));
        assertEquals(1, book.findRevision("a").orElseThrow());
    }

    @Test
    void nameStaysBoundToItsRegionAfterRemovalAndRestoreFromASnapshot() {
        RuleBook book = new RuleBook();
        book.apply(0, publish("a", 0, standing("x", "sued")));
        book.apply(1, new RulesRecord.Publish("b", 1, List.of(standing("x", "sued")), List.of(), "lena"));
        RuleBook lateReader = new RuleBook();
        assertInstanceOf(
                RulesOutcome.Restored.class,
                lateReader.apply(2, book.constructSnapshot().orElseThrow()));
        RulesOutcome outcome = lateReader.apply(3, publish("c", 2, standing("x", "nord")));
        assertEquals(
                ErrorCode.REGION_BOUND,
                assertInstanceOf(RulesOutcome.Rejected.class, outcome).code());
        assertInstanceOf(RulesOutcome.Accepted.class, lateReader.apply(4, publish("d", 2, standing("x", "sued"))));
    }

    @Test
    void overtakenSnapshotDoesNotHideAPublishFromATruncatedReader() {
        RuleBook book = new RuleBook();
        book.apply(0, publish("a", 0, standing("x", "sued")));
        RulesRecord snapshot = book.constructSnapshot().orElseThrow();
        book.apply(1, publish("b", 1, standing("y", "sued")));
        RuleBook lateReader = new RuleBook();
        lateReader.markTruncatedBefore(2);
        assertEquals(new RulesOutcome.Ignored(RulesOutcome.Reason.SNAPSHOT_OVERTAKEN), lateReader.apply(2, snapshot));
        assertFalse(lateReader.isSynchronized());
    }

    @Test
    void faultyPublishChangesNothing() {
        RuleBook book = new RuleBook();
        RulesOutcome outcome = book.apply(0, publish("a", 0, standing("x", "sued"), "nonsense"));
        assertEquals(
                2,
                assertInstanceOf(RulesOutcome.Rejected.class, outcome).faults().size());
        assertEquals(List.of(), book.lines());
        assertEquals(0, book.revision());
    }

    @Test
    void rulesOfAPeerAreInForceOnlyUntilTheStreamIsNewer() {
        RuleBook book = new RuleBook();
        assertTrue(book.adoptFromPeer(1, List.of(standing("x", "sued"))));
        assertFalse(book.adoptFromPeer(1, List.of()));
        assertEquals(1, book.inForce().revision());
        assertEquals(0, book.revision());
        book.apply(0, publish("a", 0, standing("x", "sued")));
        book.apply(1, publish("b", 1, standing("y", "sued")));
        assertEquals(2, book.inForce().revision());
    }

    private static RulesRecord publish(String id, long base, String... added) {
        return new RulesRecord.Publish(id, base, List.of(), List.of(added), "lena");
    }

    private static String standing(String name, String region) {
        return "standing " + name + " region=" + region + " cores=1 memory=2G # kreidekiste: Jonas";
    }
}
