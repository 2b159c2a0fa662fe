package org.fulmarreach.entry.jobs;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

import org.fulmarreach.platform.store.KeyedRecord;
import org.fulmarreach.platform.store.StoreLimits;

/**
 * Records of one batch that are still to be appended, in their order, divided into appends that the store accepts and
 * that a narrow link carries in time. Not thread-safe.
 */
final class PendingAppends {
    /** Takes 0.6 s on a link of 7 Mbit/s; an append that takes longer than a second counts as lost. */
    private static final int MAX_APPEND_BYTES = 512 * 1024;

    private final Deque<List<KeyedRecord>> appends = new ArrayDeque<>();

    /** Divides records; there is at least one append, which may be empty. */
    PendingAppends(List<KeyedRecord> records, StoreLimits limits) {
        int maxBytes = Math.min(MAX_APPEND_BYTES, limits.requestBytes());
        List<KeyedRecord> append = new ArrayList<>();
        int bytes = 0;
        for (KeyedRecord entry : records) {
            if (!append.isEmpty() && bytes + entry.requestBytes() > maxBytes) {
                appends.add(append);
                append = new ArrayList<>();
                bytes = 0;
            }
            append.add(entry);
            bytes += entry.requestBytes();
        }
        appends.add(append);
    }

    /** Tells whether everything is stored or dropped. */
    boolean isEmpty() {
        return appends.isEmpty();
    }

    /** Tells whether only one append is left. */
    boolean isLast() {
        return appends.size() == 1;
    }

    /** Returns the records of the next append. */
    List<KeyedRecord> next() {
        return appends.getFirst();
    }

    /** Removes the next append, which is stored. */
    void onStored() {
        appends.removeFirst();
    }

    /**
     * Divides the next append, which the store will never accept, so that one record does not keep others from being
     * stored. If it has a single record, that is dropped.
     *
     * @return the dropped record
     */
    Optional<KeyedRecord> onInvalid() {
        List<KeyedRecord> invalid = appends.removeFirst();
        if (invalid.size() <= 1) {
            return invalid.stream().findFirst();
        }
        int middle = invalid.size() / 2;
        appends.addFirst(invalid.subList(middle, invalid.size()));
        appends.addFirst(invalid.subList(0, middle));
        return Optional.empty();
    }
}
