package org.fulmarreach.it.site;

import java.util.ArrayList;
import java.util.List;

import org.fulmarreach.standin.site.StandingGaps;

/** Records when faults and planned work were active. Thread-safe. */
final class DisruptionLog {
    private final List<Entry> entries = new ArrayList<>();

    /** A fault or planned work that goes on until {@link #close}. */
    final class Entry implements AutoCloseable {
        private final String name;
        private final boolean planned;
        private final long fromMs = System.currentTimeMillis();
        private long toMs = Long.MAX_VALUE;

        private Entry(String name, boolean planned) {
            this.name = name;
            this.planned = planned;
        }

        @Override
        public void close() {
            synchronized (DisruptionLog.this) {
                toMs = System.currentTimeMillis();
            }
        }
    }

    /**
     * Records the start of a disruption.
     *
     * @param name what is printed
     * @param planned whether it is planned work
     */
    synchronized Entry begin(String name, boolean planned) {
        Entry entry = new Entry(name, planned);
        entries.add(entry);
        return entry;
    }

    /** Returns whether nothing is active, planned work included. */
    synchronized boolean isQuiet() {
        return entries.stream().allMatch(entry -> entry.toMs < Long.MAX_VALUE);
    }

    /** Returns whether nothing has been active since a time, planned work included. */
    synchronized boolean isQuietSince(long sinceMs) {
        return entries.stream().allMatch(entry -> entry.toMs < sinceMs);
    }

    /** Returns all that was recorded. */
    synchronized List<StandingGaps.Disruption> list() {
        return entries.stream()
                .map(entry -> new StandingGaps.Disruption(
                        entry.name, entry.planned, new StandingGaps.Span(entry.fromMs, entry.toMs)))
                .toList();
    }
}
