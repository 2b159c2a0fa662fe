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
    private static final int FIRST_BACKOFF_MS = 100;
    private static final int MAX_BACKOFF_MS = 800;

    /** Allows for answers that queue behind others on a narrow link, and for a process that is still busy starting. */
    private static final int MAX_LOAD_SILENCE_MS = 2_000;

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
    private long knownUpToMs;
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
     */
    record Times(int waitMs, int spacingMs) {}

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

    /** Changes the timing of reads; the result of a pending read is ignored. */
    void setTimes(Times newTimes) {
        times = newTimes;
        if (loaded && !paused) {
            generation++;
            startRead(0);
        }
    }

    /** Starts over by reading the newest record of each key; the result of a pending read is ignored. */
    void reload() {
        generation++;
        loaded = false;
        paused = false;
        load = new PartitionLoad();
        startRead();
    }

    /** Stops reading until {@link #reload}. */
    void pause() {
        generation++;
        paused = true;
    }

    void onDue(long dueGeneration) {
        if (dueGeneration == generation && !paused) {
            startRead();
        }
    }

    void onRead(long readGeneration, ReadResult result, ReadTimes readTimes) {
        if (readGeneration != generation || paused) {
            return;
        }
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
            case ReadResult.Failed failed -> {
                onReadFailed(failed.reason(), readTimes);
                consumer.accept(new Update(List.of(), true, readTimes));
                scheduleRead(backoffMs / 2 + random.nextInt(backoffMs / 2 + 1));
            }
        }
    }

    /*
     * Helpers
     */

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

    private void startRead() {
        startRead(times.waitMs());
    }

    private void startRead(int waitMs) {
        long issued = generation;
        long issuedAtMs = clock.nowMs();
        int waitedMs = loaded ? waitMs : 0;
        if (!loaded && load.isEmpty()) {
            load.begin(knownKeys.get());
        }
        var read = loaded
                ? store.read(partition, nextOffset, new ReadLimits(waitMs, HttpStoreClient.CALL_TIMEOUT_MS))
                : store.readNewest(partition, load.lastKey(), MAX_LOAD_SILENCE_MS);
        read.thenAccept(result -> {
            long answeredAtMs = clock.nowMs();
            long knownMs = Math.min(answeredAtMs, issuedAtMs + storeWaitMs(result, waitedMs));
            mailbox.tell(
                    new JobsCommand.TailRead(this, issued, result, new ReadTimes(issuedAtMs, answeredAtMs, knownMs)));
        });
    }

    /**
     * Returns how long the store has certainly waited before it answered. Only an empty answer proves that it waited
     * for the whole time; an answer with records may have been given at once.
     */
    private static int storeWaitMs(ReadResult result, int waitedMs) {
        return result instanceof ReadResult.Records read && read.records().isEmpty() ? waitedMs : 0;
    }

    private void onReadFailed(String reason, ReadTimes readTimes) {
        failedReads++;
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
        backoffMs = backoffMs == 0 ? FIRST_BACKOFF_MS : Math.min(MAX_BACKOFF_MS, 2 * backoffMs);
    }

    private void onReadSucceeded() {
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
