package org.fulmarreach.entry.jobs;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.fulmarreach.platform.store.KeyedRecord;
import org.fulmarreach.platform.store.ReadResult;

/**
 * The pages of one load of a partition, and what follows from them once they are complete. A load replaces records that
 * the store has forgotten, among them removals, so a key that was known before the first page was requested and is on
 * no page has been removed. Pages are not one snapshot: keys that became known later need not be on a page, and a key
 * on a page may have been removed since. Confined to one actor.
 */
final class PartitionLoad {
    private final List<KeyedRecord> records = new ArrayList<>();
    private Set<String> knownBefore = Set.of();
    private String lastKey = "";
    private long endOffset = Long.MAX_VALUE;
    private long startedAtMs = Long.MAX_VALUE;

    /** Tells whether no page has been read yet. */
    boolean isEmpty() {
        return lastKey.isEmpty();
    }

    /**
     * Begins the load, or begins it again after the read of its first page failed: a key that became known after an
     * attempt that failed may have been removed before the one that succeeded.
     *
     * @param knownKeys keys of which this entry holds records
     */
    void begin(Set<String> knownKeys) {
        knownBefore = Set.copyOf(knownKeys);
    }

    /** Adds a page that covers all records of its keys stored before {@code pageKnownUpToMs}. */
    void add(ReadResult.Page page, long pageKnownUpToMs) {
        records.addAll(page.records());
        lastKey = page.lastKey();
        endOffset = Math.min(endOffset, page.endOffset());
        startedAtMs = Math.min(startedAtMs, pageKnownUpToMs);
    }

    /** Returns the key after which the next page begins; empty for the first page. */
    String lastKey() {
        return lastKey;
    }

    /** Returns the offset from which the partition is read after the load. */
    long endOffset() {
        return endOffset;
    }

    /** Returns the monotonic time before which all stored records are covered, in milliseconds. */
    long startedAtMs() {
        return startedAtMs;
    }

    /**
     * Returns the removals that this entry has missed, one for each key that was known before the load and is on no
     * page. They are to be applied after the records of the pages: the page of a cancellation may be older than the
     * removal of its job.
     */
    List<KeyedRecord> missedRemovals() {
        Set<String> loaded = new HashSet<>();
        records.forEach(entry -> loaded.add(entry.key()));
        return knownBefore.stream()
                .filter(key -> !loaded.contains(key))
                .sorted()
                .map(KeyedRecord::removal)
                .toList();
    }

    /**
     * Returns the records of the pages, without those of keys that were known before the load and no longer are: a
     * leader has removed them meanwhile, and a page that is older than the removal must not bring them back.
     *
     * @param knownKeys keys of which this entry holds records now
     */
    List<KeyedRecord> recordsOfPages(Set<String> knownKeys) {
        return records.stream()
                .filter(entry -> knownKeys.contains(entry.key()) || !knownBefore.contains(entry.key()))
                .toList();
    }
}
