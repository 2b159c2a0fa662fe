package org.fulmarreach.entry.jobs;

import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;

import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.fulmarreach.platform.store.KeyedRecord;
import org.fulmarreach.platform.store.ReadResult;
import org.fulmarreach.platform.store.StoreClient;
import org.fulmarreach.platform.store.TopicPartition;
import org.fulmarreach.runtime.log.EventLog;
import org.fulmarreach.runtime.util.MonotonicClock;

/**
 * Follows a partition of the store: reads the newest record of each key, then everything appended after that. It
 * belongs to one actor and is called on it only.
 */
final class LogTail {
    private static final int FIRST_BACKOFF_MS = 100;
    private static final int MAX_BACKOFF_MS = 800;

    private final TopicPartition partition;
    private final StoreClient store;
    private final ActorContext<JobsCommand> context;
    private final EventLog log;
    private final MonotonicClock clock;
    private final Consumer<Update> consumer;
    private Times times;
    private long generation;
    private boolean loaded;
    private boolean paused;
    private long nextOffset;
    private int backoffMs;
    private long knownUpToMs;

    /**
     * Constructs a tail that does nothing until {@link #reload}.
     *
     * @param consumer takes each update, on the actor
     */
    LogTail(
            TopicPartition partition,
            StoreClient store,
            ActorContext<JobsCommand> context,
            EventLog log,
            MonotonicClock clock,
            Times times,
            Consumer<Update> consumer) {
        this.partition = partition;
        this.store = store;
        this.context = context;
        this.log = log;
        this.clock = clock;
        this.knownUpToMs = clock.nowMs();
        this.times = times;
        this.consumer = consumer;
    }

    /**
     * Times of reading, in milliseconds.
     *
     * @param waitMs how long a read waits for a record
     * @param spacingMs pause after a read that brought records; each read has a price
     */
    record Times(int waitMs, int spacingMs) {}

    /**
     * What a read brought.
     *
     * @param records records in order; none if none came
     * @param failed whether the read failed
     */
    record Update(List<KeyedRecord> records, boolean failed) {}

    /** Tells whether the partition was read to its end once. */
    boolean isLoaded() {
        return loaded;
    }

    /** Tells whether the last read failed. */
    boolean isFailing() {
        return backoffMs > 0;
    }

    long nextOffset() {
        return nextOffset;
    }

    /**
     * Returns for how long records may have been in the store without being known here, in milliseconds. The way of the
     * answers and their wait in the actor's queue are part of it.
     */
    long ageMs() {
        return clock.nowMs() - knownUpToMs;
    }

    /** Reads with other times from now on; a read under way is given up. */
    void change(Times newTimes) {
        times = newTimes;
        if (loaded && !paused) {
            generation++;
            issue(0);
        }
    }

    /** Starts over with the newest records. */
    void reload() {
        generation++;
        loaded = false;
        paused = false;
        issue();
    }

    /** Reads nothing more until {@link #reload}. */
    void pause() {
        generation++;
        paused = true;
    }

    void onDue(long dueGeneration) {
        if (dueGeneration == generation && !paused) {
            issue();
        }
    }

    void onRead(long readGeneration, ReadResult result, long readKnownUpToMs) {
        if (readGeneration != generation || paused) {
            return;
        }
        switch (result) {
            case ReadResult.Records read -> {
                knownUpToMs = Math.max(knownUpToMs, readKnownUpToMs);
                noteRegained();
                boolean first = !loaded;
                loaded = true;
                nextOffset = read.nextOffset();
                if (first) {
                    log.emit(
                            JobEvent.STORE_LOADED,
                            "partition",
                            name(),
                            "records",
                            read.records().size(),
                            "next",
                            nextOffset);
                }
                consumer.accept(new Update(read.records(), false));
                next(first || read.records().isEmpty() ? 0 : times.spacingMs());
            }
            case ReadResult.Expired expired -> {
                loaded = false;
                next(0);
            }
            case ReadResult.Failed failed -> {
                noteLost(failed.reason());
                consumer.accept(new Update(List.of(), true));
                next(backoffMs);
            }
        }
    }

    /*
     * Helpers
     */

    private void next(int delayMs) {
        if (paused) {
            return;
        }
        if (delayMs == 0) {
            issue();
        } else {
            context.scheduleOnce(
                    Duration.ofMillis(delayMs), context.getSelf(), new JobsCommand.TailDue(this, generation));
        }
    }

    private void issue() {
        issue(times.waitMs());
    }

    private void issue(int waitMs) {
        long issued = generation;
        long issuedAtMs = clock.nowMs();
        int waitedMs = loaded ? waitMs : 0;
        var self = context.getSelf();
        var read = loaded ? store.read(partition, nextOffset, waitMs) : store.readNewest(partition);
        read.thenAccept(result -> {
            long knownMs = Math.min(clock.nowMs(), issuedAtMs + findWaitedMs(result, waitedMs));
            self.tell(new JobsCommand.TailRead(this, issued, result, knownMs));
        });
    }

    /** An empty answer shows that the store has waited in vain; one with records may be as old as its read. */
    private static int findWaitedMs(ReadResult result, int waitedMs) {
        return result instanceof ReadResult.Records read && read.records().isEmpty() ? waitedMs : 0;
    }

    private void noteLost(String reason) {
        if (backoffMs == 0) {
            log.emit(JobEvent.STORE_LOST, "partition", name(), "next", nextOffset, "reason", reason);
        }
        backoffMs = backoffMs == 0 ? FIRST_BACKOFF_MS : Math.min(MAX_BACKOFF_MS, 2 * backoffMs);
    }

    private void noteRegained() {
        if (backoffMs > 0) {
            log.emit(JobEvent.STORE_REGAINED, "partition", name(), "next", nextOffset);
            backoffMs = 0;
        }
    }

    private String name() {
        return partition.topic() + "/" + partition.part();
    }
}
