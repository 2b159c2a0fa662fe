package org.fulmarreach.entry.jobs;

import java.util.List;
import java.util.Set;

import org.fulmarreach.platform.store.KeyedRecord;
import org.fulmarreach.platform.store.ReadResult;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against jobs that a load of the log keeps, drops or brings back wrongly. */
class PartitionLoadTest {
    private final PartitionLoad load = new PartitionLoad();

    @Test
    void knownKeyThatIsOnNoPageWasRemoved() {
        load.begin(Set.of("j/1", "j/2", "j/3"));
        load.add(page("j/1", true), 1);
        load.add(page("j/3", false), 2);
        assertEquals(List.of("j/2"), keys(load.missedRemovals()));
        assertTrue(load.missedRemovals().get(0).isRemoval());
    }

    /** A job that was stored after the first page had been requested may be on no page, and must not be dropped. */
    @Test
    void keyThatBecameKnownDuringTheLoadIsKept() {
        load.begin(Set.of("j/1"));
        load.add(page("j/1", false), 1);
        assertEquals(List.of(), load.missedRemovals());
        assertEquals(List.of("j/1"), keys(load.recordsOfPages(Set.of("j/1", "j/2"))));
    }

    /** Attempts to read the first page may fail for longer than a job that is stored meanwhile exists. */
    @Test
    void keyThatBecameKnownWhileTheFirstPageFailedWasRemoved() {
        load.begin(Set.of("j/1"));
        load.begin(Set.of("j/1", "j/2"));
        load.add(page("j/1", false), 1);
        assertEquals(List.of("j/2"), keys(load.missedRemovals()));
    }

    /** A job that the leader removed during the load came back from a page that was read before, without progress. */
    @Test
    void keyThatWasRemovedDuringTheLoadIsNotBroughtBack() {
        load.begin(Set.of("j/1", "j/2"));
        load.add(page("j/1", true), 1);
        load.add(page("j/2", true), 2);
        load.add(page("j/3", false), 3);
        assertEquals(List.of("j/2", "j/3"), keys(load.recordsOfPages(Set.of("j/2"))));
        assertEquals(List.of(), load.missedRemovals());
    }

    private static ReadResult.Page page(String key, boolean hasMore) {
        return new ReadResult.Page(List.of(new KeyedRecord(key, new byte[] {1})), key, hasMore, 9);
    }

    private static List<String> keys(List<KeyedRecord> records) {
        return records.stream().map(KeyedRecord::key).toList();
    }
}
