package org.fulmarreach.entry.jobs;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.fulmarreach.platform.store.HttpStoreClient;
import org.fulmarreach.platform.store.KeyedRecord;
import org.fulmarreach.platform.store.ReadLimits;
import org.fulmarreach.platform.store.ReadResult;
import org.fulmarreach.platform.store.StoreClient;
import org.fulmarreach.platform.store.TopicPartition;
import org.fulmarreach.runtime.log.EventLog;
import org.fulmarreach.runtime.util.MonotonicClock;

/**
 * Follows a partition of the store: reads the newest record of each key, then all records appended later. If the store
 * has forgotten records that were not read, it starts over, and the removals among them are inferred from the load
 * ({@link PartitionLoad}). Confined to one actor.
 */
final class LogTail {
    /** Longest time between the failure of a read that was silent and the next one, in milliseconds. */
    static final int SILENT_PAUSE_MS = 100;

    private static final int FIRST_BACKOFF_MS = 100;

    /** Bounds what answers that overtake each other add to a narrow link. */
    private static final int MAX_OPEN_READS = 2;

    private final TopicPartition partition;
    private final StoreClient store;
    private final TailMailbox mailbox;
    private final EventLog log;
    private final MonotonicClock clock;
    private final Supplier<Set<String>> knownKeys;
    private final Consumer<Update> consumer;
    private Times times;
    private long generation;
    private boolean loaded;
    private boolean wasLoaded;
    private boolean paused;
    private long nextOffset;
    private int backoffMs;
    private int failedReads;
    private String failure = "";
    private long lastRead;
    private boolean lastReadFailed;
    private int openReads;
    private boolean awaitsOpenRead;
    private long knownUpToMs;
    private long answeredAtMs = Long.MIN_VALUE;
    private final Random random;
    /** Pages that were read since the last reload; a failed read repeats only its own page. */
    private PartitionLoad load = new PartitionLoad();

    /**
     * Constructs a tail that reads nothing until {@link #reload}.
     *
     * @param mailbox sends messages to the actor that owns the tail
     * @param random source of the jitter of retries, so that entries do not repeat their reads at the same times
     * @param knownKeys returns the keys of which the consumer holds records
     * @param consumer receives each update, on the actor
     */
    LogTail(
            TopicPartition partition,
            StoreClient store,
            TailMailbox mailbox,
            EventLog log,
            MonotonicClock clock,
            Times times,
            Random random,
            Supplier<Set<String>> knownKeys,
            Consumer<Update> consumer) {
        this.partition = partition;
        this.store = store;
        this.mailbox = mailbox;
        this.log = log;
        this.clock = clock;
        this.knownUpToMs = clock.nowMs();
        this.times = times;
        this.random = random;
        this.knownKeys = knownKeys;
        this.consumer = consumer;
    }

    /**
     * Timing of reads, in milliseconds.
     *
     * @param waitMs how long the store waits for new records before it answers a read (long polling)
     * @param spacingMs pause after a read that returned records, since each read has a cost
     * @param retry what happens to reads without an answer
     */
    record Times(int waitMs, int spacingMs, Retry retry) {
        /** Returns a copy whose reads wait no longer than {@code maxWaitMs}. */
        Times withMaxWaitMs(int maxWaitMs) {
            return new Times(Math.min(waitMs, maxWaitMs), spacingMs, retry);
        }
    }

    /**
     * Time limits of reads without an answer, in milliseconds.
     *
     * @param overdueMs a read without an answer for this long after its wait counts as failed, and is sent again; its
     *     answer is still taken if it arrives before that of the next one
     * @param maxLoadSilenceMs a load fails if no byte of the answer arrives for this long
     * @param maxPauseMs longest time from the start of a read that fails to the next one
     */
    record Retry(int overdueMs, int maxLoadSilenceMs, int maxPauseMs) {}

    /**
     * Times of a read, as readings of the monotonic clock in milliseconds.
     *
     * @param sentAtMs when it was sent
     * @param answeredAtMs when the answer was complete, or the read had failed
     * @param knownUpToMs all records stored before this time are known by the answer
     */
    record ReadTimes(long sentAtMs, long answeredAtMs, long knownUpToMs) {}

    /**
     * Result of a read.
     *
     * @param records records in order; may be empty
     * @param failed whether the read failed
     * @param times times of the read, of the last page for a load
     */
    record Update(List<KeyedRecord> records, boolean failed, ReadTimes times) {}

    /** Tells whether the newest records have been read since the last reload. */
    boolean isLoaded() {
        return loaded;
    }

    /** Tells whether the newest records have been read at least once, even if they are being read again. */
    boolean wasLoaded() {
        return wasLoaded;
    }

    /** Tells whether the last read failed. */
    boolean isFailing() {
        return backoffMs > 0;
    }

    long nextOffset() {
        return nextOffset;
    }

    /**
     * Returns the maximum time for which a record may have been stored without having been read here, in milliseconds.
     * Includes the transit time of responses and their delay in the actor's mailbox.
     */
    long ageMs() {
        return clock.nowMs() - knownUpToMs;
    }

    /** Tells whether all records stored before a reading of the monotonic clock have been read. */
    boolean covers(long clockMs) {
        return loaded && knownUpToMs >= clockMs;
    }

    /** Returns why the last read failed that did; empty before. */
    String failure() {
        return failure;
    }

    /** Tells whether the store has answered a read since a reading of the monotonic clock. */
    boolean wasAnsweredSince(long clockMs) {
        return answeredAtMs >= clockMs;
    }

    /** Changes the timing of reads; the result of a pending read is ignored. */
    void setTimes(Times newTimes) {
        times = newTimes;
        if (loaded && !paused) {
            ignorePendingReads();
            startRead(0);
        }
    }

    /** Starts over by reading the newest record of each key; the result of a pending read is ignored. */
    void reload() {
        ignorePendingReads();
        loaded = false;
        paused = false;
        load = new PartitionLoad();
        startRead();
    }

    /** Stops reading until {@link #reload}. */
    void pause() {
        ignorePendingReads();
        paused = true;
    }

    void onDue(long dueGeneration) {
        if (dueGeneration != generation || paused) {
            return;
        }
        awaitsOpenRead = openReads >= MAX_OPEN_READS;
        if (!awaitsOpenRead) {
            startRead();
        }
    }

    /** Handles a read that should have been answered by now. */
    void onOverdue(long readGeneration, long read, ReadTimes readTimes) {
        if (readGeneration == generation && !paused && read == lastRead && !lastReadFailed) {
            onReadFailed("no answer " + times.retry().overdueMs() + " ms after the wait", readTimes);
        }
    }

    void onRead(long readGeneration, long readNumber, ReadResult result, ReadTimes readTimes) {
        if (readGeneration != generation || paused) {
            return;
        }
        openReads--;
        if (result instanceof ReadResult.Failed failed) {
            if (readNumber == lastRead && !lastReadFailed) {
                onReadFailed(failed.reason(), readTimes);
            } else if (awaitsOpenRead) {
                awaitsOpenRead = false;
                startRead();
            }
            return;
        }
        ignorePendingReads();
        switch (result) {
            case ReadResult.Page page -> onPage(page, readTimes);
            case ReadResult.Records read -> {
                onReadSucceeded();
                if (read.isComplete()) {
                    knownUpToMs = Math.max(knownUpToMs, readTimes.knownUpToMs());
                }
                nextOffset = read.nextOffset();
                consumer.accept(new Update(read.records(), false, readTimes));
                scheduleRead(read.records().isEmpty() || !read.isComplete() ? 0 : times.spacingMs());
            }
            case ReadResult.Expired expired -> {
                loaded = false;
                load = new PartitionLoad();
                scheduleRead(0);
            }
            case ReadResult.Failed failed -> throw new IllegalStateException("a failure is handled before");
        }
    }

    /*
     * Helpers
     */

    private void ignorePendingReads() {
        generation++;
        openReads = 0;
        awaitsOpenRead = false;
    }

    private void onPage(ReadResult.Page page, ReadTimes readTimes) {
        onReadSucceeded();
        load.add(page, readTimes.knownUpToMs());
        if (page.hasMore()) {
            startRead();
            return;
        }
        PartitionLoad ended = load;
        load = new PartitionLoad();
        loaded = true;
        wasLoaded = true;
        nextOffset = ended.endOffset();
        knownUpToMs = Math.max(knownUpToMs, ended.startedAtMs());
        List<KeyedRecord> records = new ArrayList<>(ended.recordsOfPages(knownKeys.get()));
        log.emit(JobEvent.STORE_LOADED, "partition", name(), "records", records.size(), "next", nextOffset);
        for (KeyedRecord removal : ended.missedRemovals()) {
            log.emit(JobEvent.REMOVAL_MISSED, "partition", name(), "key", removal.key(), "next", nextOffset);
            records.add(removal);
        }
        consumer.accept(new Update(records, false, readTimes));
        scheduleRead(0);
    }

    private void scheduleRead(int delayMs) {
        if (paused) {
            return;
        }
        if (delayMs == 0) {
            startRead();
        } else {
            mailbox.tellAfter(Duration.ofMillis(delayMs), new JobsCommand.TailDue(this, generation));
        }
    }

    /** While reads fail, one that waits would prove nothing before the end of its wait. */
    private void startRead() {
        startRead(isFailing() ? 0 : times.waitMs());
    }

    private void startRead(int waitMs) {
        long issued = generation;
        long issuedAtMs = clock.nowMs();
        long number = ++lastRead;
        int waitedMs = loaded ? waitMs : 0;
        lastReadFailed = false;
        openReads++;
        if (!loaded && load.isEmpty()) {
            load.begin(knownKeys.get());
        }
        var read = loaded
                ? store.read(
                        partition, nextOffset, new ReadLimits(waitMs, HttpStoreClient.CALL_TIMEOUT_MS, isFailing()))
                : store.readNewest(
                        partition,
                        load.lastKey(),
                        new ReadLimits(0, times.retry().maxLoadSilenceMs(), isFailing()));
        read.thenAccept(result -> {
            long endedAtMs = clock.nowMs();
            long knownMs = Math.min(endedAtMs, issuedAtMs + storeWaitMs(result, waitedMs));
            mailbox.tell(new JobsCommand.TailRead(
                    this, issued, number, result, new ReadTimes(issuedAtMs, endedAtMs, knownMs)));
        });
        if (loaded && times.retry().overdueMs() < HttpStoreClient.CALL_TIMEOUT_MS) {
            int overdueMs = waitMs + times.retry().overdueMs();
            ReadTimes overdue = new ReadTimes(issuedAtMs, issuedAtMs + overdueMs, knownUpToMs);
            mailbox.tellAfter(Duration.ofMillis(overdueMs), new JobsCommand.TailOverdue(this, issued, number, overdue));
        }
    }

    /**
     * Returns how long the store has certainly waited before it answered. Only an empty answer proves that it waited
     * for the whole time; an answer with records may have been given at once.
     */
    private static int storeWaitMs(ReadResult result, int waitedMs) {
        return result instanceof ReadResult.Records read && read.records().isEmpty() ? waitedMs : 0;
    }

    private void onReadFailed(String reason, ReadTimes readTimes) {
        lastReadFailed = true;
        failedReads++;
        failure = reason;
        if (backoffMs == 0) {
            log.emit(
                    JobEvent.STORE_LOST,
                    "partition",
                    name(),
                    "next",
                    nextOffset,
                    "sentAgoMs",
                    clock.nowMs() - readTimes.sentAtMs(),
                    "ageMs",
                    ageMs(),
                    "reason",
                    reason);
        }
        backoffMs = backoffMs == 0 ? FIRST_BACKOFF_MS : Math.min(times.retry().maxPauseMs(), 2 * backoffMs);
        consumer.accept(new Update(List.of(), true, readTimes));
        scheduleRead(nextPauseMs(readTimes.sentAtMs()));
    }

    /** Returns the pause before the next read. It counts from the start of the failed one, which may be long ago. */
    private int nextPauseMs(long sentAtMs) {
        long passedMs = clock.nowMs() - sentAtMs;
        long restMs = backoffMs / 2 + random.nextInt(backoffMs / 2 + 1) - passedMs;
        return (int) Math.max(restMs, SILENT_PAUSE_MS / 2 + random.nextInt(SILENT_PAUSE_MS / 2 + 1));
    }

    private void onReadSucceeded() {
        answeredAtMs = clock.nowMs();
        if (backoffMs > 0) {
            log.emit(
                    JobEvent.STORE_REGAINED,
                    "partition",
                    name(),
                    "next",
                    nextOffset,
                    "failedReads",
                    failedReads,
                    "ageMs",
                    ageMs());
            backoffMs = 0;
            failedReads = 0;
        }
    }

    private String name() {
        return partition.topic() + "/" + partition.part();
    }
}
