package org.fulmarreach.entry.jobs;

import java.util.List;
import java.util.OptionalLong;

import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.fulmarreach.core.jobs.EntryLifetime;
import org.fulmarreach.platform.store.AppendCondition;
import org.fulmarreach.platform.store.AppendResult;
import org.fulmarreach.platform.store.KeyedRecord;
import org.fulmarreach.platform.store.StoreClient;
import org.fulmarreach.protocol.io.JobRecords;
import org.fulmarreach.protocol.io.JobTopics;
import org.fulmarreach.runtime.util.MonotonicClock;

/**
 * Stores once for each process of an entry that it listens at the entry's address. Only one process can, so a former
 * one has ended before this one started, and has granted no lease since. Confined to one actor.
 */
final class LifetimeAnnouncer {
    /** Delay before an append that was not acknowledged is repeated. */
    private static final int RETRY_MS = 300;

    private final String address;
    private final LogTail requests;
    private final StoreClient store;
    private final ActorContext<JobsCommand> context;
    private final MonotonicClock clock;
    private long startedAtMs;
    private boolean listening;
    private boolean inFlight;
    private boolean stored;
    private long retryAtMs;
    private long lifetime;

    /**
     * Constructs an announcer.
     *
     * @param address {@code host:port} at which this entry accepts the connections of guards
     * @param requests followed partition that holds the records
     */
    LifetimeAnnouncer(
            String address,
            LogTail requests,
            StoreClient store,
            ActorContext<JobsCommand> context,
            MonotonicClock clock) {
        this.address = address;
        this.requests = requests;
        this.store = store;
        this.context = context;
        this.clock = clock;
    }

    /**
     * Records that this process listens at the address.
     *
     * @param processStartedAtMs monotonic time at or after the start of this process
     */
    void onListening(long processStartedAtMs) {
        startedAtMs = processStartedAtMs;
        listening = true;
        announceIfDue();
    }

    /** Handles a record of the log; the number of this process must be above those of former ones. */
    void onRead(EntryLifetime read) {
        if (read.address().equals(address) && !inFlight && !stored) {
            lifetime = Math.max(lifetime, read.lifetime());
        }
    }

    /** Appends the record if it can be and is not stored yet. */
    void announceIfDue() {
        if (!listening || inFlight || stored || !requests.isLoaded() || clock.nowMs() < retryAtMs) {
            return;
        }
        inFlight = true;
        // The wall clock keeps the order if the record of a former process is stored late.
        lifetime = Math.max(lifetime + 1, System.currentTimeMillis());
        EntryLifetime own = new EntryLifetime(address, lifetime, clock.nowMs() - startedAtMs);
        var self = context.getSelf();
        store.append(
                        JobPartitions.REQUESTS,
                        List.of(new KeyedRecord(JobTopics.entryKey(address), JobRecords.encode(own))),
                        new AppendCondition.None())
                .thenAccept(result -> self.tell(new JobsCommand.LifetimeWritten(result)));
    }

    void onWritten(AppendResult result) {
        inFlight = false;
        stored = result instanceof AppendResult.Appended;
        retryAtMs = clock.nowMs() + RETRY_MS;
    }

    /** Returns the number of this process; empty until it is stored. */
    OptionalLong lifetime() {
        return stored ? OptionalLong.of(lifetime) : OptionalLong.empty();
    }
}
