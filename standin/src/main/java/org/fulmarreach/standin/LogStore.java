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

/** In-memory log streams with retention and a rate limit on appends. Not thread-safe. */
final class LogStore {
    private final LongSupplier clockMs;
    private final long retentionMs;
    private final int retentionRecords;
    private final Map<String, Stream> streams = new HashMap<>();
    private final TreeMap<Long, Integer> appendsBySecond = new TreeMap<>();
    private double appendTokens;
    private long tokensUpdatedAtMs;
    private int appendsPerS;

    /**
     * Constructs an empty store.
     *
     * @param clockMs monotonic clock in milliseconds
     * @param retentionMs maximum age of a record, in milliseconds; older records are dropped
     * @param retentionRecords maximum number of records kept per stream
     * @param appendsPerS maximum rate of accepted appends per second
     */
    LogStore(LongSupplier clockMs, long retentionMs, int retentionRecords, int appendsPerS) {
        this.clockMs = clockMs;
        this.retentionMs = retentionMs;
        this.retentionRecords = retentionRecords;
        this.appendsPerS = appendsPerS;
        this.appendTokens = appendsPerS;
        this.tokensUpdatedAtMs = clockMs.getAsLong();
    }

    void setAppendsPerS(int newAppendsPerS) {
        appendsPerS = newAppendsPerS;
        appendTokens = Math.min(appendTokens, newAppendsPerS);
    }

    /**
     * Takes one token from the token bucket of the rate limit; false if it is empty. The burst is one second of
     * appends.
     */
    boolean tryAcquireAppend() {
        long nowMs = clockMs.getAsLong();
        appendTokens = Math.min(appendsPerS, appendTokens + (nowMs - tokensUpdatedAtMs) * appendsPerS / 1000.0);
        tokensUpdatedAtMs = nowMs;
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

    /**
     * Returns up to {@code max} records from offset {@code from}; none if that offset is older than the first kept
     * record.
     */
    ReadResult read(String stream, long from, int max) {
        Stream source = streams.get(stream);
        if (source == null) {
            return new ReadResult(0, 0, List.of());
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
            return new ReadResult(first, first, List.of());
        }
        return new ReadResult(first, Math.min(source.next, from + batch.size()), List.copyOf(batch));
    }

    /** Returns the number of appends per clock second; seconds without appends are omitted. */
    Map<Long, Integer> appendsBySecond() {
        return new TreeMap<>(appendsBySecond);
    }

    /** Returns the first kept offset and the next offset of each stream. */
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

    /** One stream; the offset of its oldest record is {@code next} minus the number of records. */
    private static final class Stream {
        private final Deque<StoredRecord> records = new ArrayDeque<>();
        private long next;
    }

    record StoredRecord(long offset, long atMs, byte[] data) {}

    /** Result of a read: the first kept offset, the offset at which to continue, and the records. */
    record ReadResult(long first, long next, List<StoredRecord> records) {}
}
