package org.fulmarreach.standin;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongSupplier;

/** Streams of records in memory with retention and a rate limit on appends. Not safe for several threads. */
final class LogStore {
    private final LongSupplier clockMs;
    private final long retentionMs;
    private final int retentionRecords;
    private final Map<String, Stream> streams = new HashMap<>();
    private final TreeMap<Long, Integer> appendsBySecond = new TreeMap<>();
    private double appendTokens;
    private long tokensAtMs;
    private int appendsPerS;

    /**
     * Constructs an empty store.
     *
     * @param clockMs monotonic clock in milliseconds
     * @param retentionMs age at which records are dropped, in milliseconds
     * @param retentionRecords records kept for each stream
     * @param appendsPerS appends accepted a second
     */
    LogStore(LongSupplier clockMs, long retentionMs, int retentionRecords, int appendsPerS) {
        this.clockMs = clockMs;
        this.retentionMs = retentionMs;
        this.retentionRecords = retentionRecords;
        this.appendsPerS = appendsPerS;
        this.appendTokens = appendsPerS;
        this.tokensAtMs = clockMs.getAsLong();
    }

    void setAppendsPerS(int newAppendsPerS) {
        appendsPerS = newAppendsPerS;
        appendTokens = Math.min(appendTokens, newAppendsPerS);
    }

    /** Takes one append from the rate limit; false when it is used up. The burst is one second of appends. */
    boolean admitAppend() {
        long nowMs = clockMs.getAsLong();
        appendTokens = Math.min(appendsPerS, appendTokens + (nowMs - tokensAtMs) * appendsPerS / 1000.0);
        tokensAtMs = nowMs;
        if (appendTokens < 1) {
            return false;
        }
        appendTokens--;
        return true;
    }

    long append(String stream, byte[] data) {
        long nowMs = clockMs.getAsLong();
        appendsBySecond.merge(nowMs / 1000, 1, Integer::sum);
        if (appendsBySecond.size() > 3600) {
            appendsBySecond.pollFirstEntry();
        }
        Stream target = streams.computeIfAbsent(stream, name -> new Stream());
        target.records.add(new StoredRecord(target.next, nowMs, data));
        return target.next++;
    }

    /** Returns the records from {@code from} on; the view has no records when {@code from} is older than its first. */
    View read(String stream, long from, int max) {
        Stream source = streams.get(stream);
        if (source == null) {
            return new View(0, 0, List.of());
        }
        expire(source);
        long first = source.next - source.records.size();
        List<StoredRecord> found = new ArrayList<>();
        Iterator<StoredRecord> newestFirst = source.records.descendingIterator();
        while (newestFirst.hasNext()) {
            StoredRecord record = newestFirst.next();
            if (record.offset() < from) {
                break;
            }
            found.add(record);
        }
        List<StoredRecord> inOrder = found.reversed();
        List<StoredRecord> batch = inOrder.subList(0, Math.min(max, inOrder.size()));
        if (from < first) {
            return new View(first, first, List.of());
        }
        return new View(first, Math.min(source.next, from + batch.size()), List.copyOf(batch));
    }

    /** Returns the appends of each second of the clock; seconds without one are left out. */
    Map<Long, Integer> appendsBySecond() {
        return new TreeMap<>(appendsBySecond);
    }

    /** Returns the first kept and the next offset of each stream. */
    Map<String, long[]> offsets() {
        Map<String, long[]> offsets = new TreeMap<>();
        streams.forEach((name, stream) -> {
            expire(stream);
            offsets.put(name, new long[] {stream.next - stream.records.size(), stream.next});
        });
        return offsets;
    }

    private void expire(Stream stream) {
        long oldestMs = clockMs.getAsLong() - retentionMs;
        while (!stream.records.isEmpty()
                && (stream.records.size() > retentionRecords
                        || stream.records.peek().atMs() < oldestMs)) {
            stream.records.remove();
        }
    }

    /** One stream; the offset of the oldest record is {@code next} less the number of records. */
    private static final class Stream {
        private final Deque<StoredRecord> records = new ArrayDeque<>();
        private long next;
    }

    record StoredRecord(long offset, long atMs, byte[] data) {}

    /** Result of a read: first kept offset, offset to read from next, records. */
    record View(long first, long next, List<StoredRecord> records) {}
}
