package org.fulmarreach.entry.store;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import org.apache.pekko.actor.typed.ActorRef;
import org.fulmarreach.core.exc.StoreException;
import org.fulmarreach.entry.peers.LiveEntries;
import org.fulmarreach.entry.peers.PeersCommand;
import org.fulmarreach.platform.LogBatch;
import org.fulmarreach.platform.LogClient;
import org.fulmarreach.platform.LogRead;
import org.fulmarreach.protocol.thrift.ReadLog;
import org.fulmarreach.protocol.thrift.ReadLogResult;
import org.fulmarreach.runtime.util.MonotonicClock;

/**
 * Client of the log service with one reader entry per region. Reads go through the reader of the region, with a
 * fallback to a direct read if the reader does not answer within 2 s after the wait time. Appends are always direct.
 * Identical concurrent reads are coalesced, so that all followers of a region cause one read over the low-bandwidth
 * link to the log service. Thread-safe.
 */
public final class RegionLogClient implements LogClient {
    private static final long READER_TIMEOUT_MS = 2_000;
    private static final long REACHABLE_WINDOW_MS = 5_000;

    private final LogClient direct;
    private final MonotonicClock clock;
    private final Map<ReadKey, CompletableFuture<LogRead>> readsInFlight = new ConcurrentHashMap<>();
    private final CoalescedReads coalescedReads = new CoalescedReads();
    private volatile ActorRef<PeersCommand> peers;
    private volatile LiveEntries live;
    private volatile long lastSuccessMs;
    private volatile long avoidReaderUntilMs = Long.MIN_VALUE;

    private record ReadKey(String stream, long fromOffset, int maxRecords, int waitMs) {}

    /** Reads directly from the log service and coalesces identical concurrent reads. */
    private final class CoalescedReads implements LogClient {
        @Override
        public CompletionStage<Long> append(String stream, byte[] data) {
            return RegionLogClient.this.append(stream, data);
        }

        @Override
        public CompletionStage<LogRead> read(String stream, long fromOffset, int maxRecords, int waitMs) {
            ReadKey key = new ReadKey(stream, fromOffset, maxRecords, waitMs);
            CompletableFuture<LogRead> newRead = new CompletableFuture<>();
            CompletableFuture<LogRead> readInFlight = readsInFlight.putIfAbsent(key, newRead);
            if (readInFlight != null) {
                return readInFlight;
            }
            direct.read(stream, fromOffset, maxRecords, waitMs).whenComplete((found, failure) -> {
                readsInFlight.remove(key);
                if (failure == null) {
                    lastSuccessMs = clock.nowMs();
                    newRead.complete(found);
                } else {
                    newRead.completeExceptionally(failure);
                }
            });
            return newRead;
        }
    }

    /** Constructs a client that reads directly until {@link #connect} is called. */
    public RegionLogClient(LogClient direct, MonotonicClock clock) {
        this.direct = direct;
        this.clock = clock;
        this.lastSuccessMs = clock.nowMs() - REACHABLE_WINDOW_MS;
    }

    /*
     * Life cycle
     */

    /** Sets the actor that forwards reads to the reader of the region. */
    public void connect(ActorRef<PeersCommand> newPeers) {
        peers = newPeers;
    }

    /** Sets the live entries, which include the reader of the region. */
    public void setLive(LiveEntries newLive) {
        live = newLive;
    }

    /*
     * Public API
     */

    /** Returns the client that reads directly, for this entry and its peers; it never reads through a peer. */
    public LogClient direct() {
        return coalescedReads;
    }

    /** Returns whether a read or an append succeeded within the last 5 s. */
    public boolean isReachable() {
        return clock.nowMs() - lastSuccessMs < REACHABLE_WINDOW_MS;
    }

    @Override
    public CompletionStage<Long> append(String stream, byte[] data) {
        return direct.append(stream, data).whenComplete((offset, failure) -> {
            if (failure == null) {
                lastSuccessMs = clock.nowMs();
            }
        });
    }

    @Override
    public CompletionStage<LogRead> read(String stream, long fromOffset, int maxRecords, int waitMs) {
        LiveEntries entries = live;
        ActorRef<PeersCommand> peersActor = peers;
        boolean usesReader = peersActor != null
                && entries != null
                && !entries.isThisEntryReader()
                && clock.nowMs() >= avoidReaderUntilMs;
        if (!usesReader) {
            return coalescedReads.read(stream, fromOffset, maxRecords, waitMs);
        }
        CompletableFuture<ReadLogResult> reply = new CompletableFuture<>();
        peersActor.tell(new PeersCommand.ReadThroughPeer(
                entries.regionReader(), new ReadLog(stream, fromOffset, maxRecords, waitMs), reply));
        return reply.orTimeout(waitMs + READER_TIMEOUT_MS, TimeUnit.MILLISECONDS)
                .thenApply(result -> toRead(result, fromOffset))
                .whenComplete((read, failure) -> {
                    if (failure == null) {
                        lastSuccessMs = clock.nowMs();
                    } else {
                        avoidReaderUntilMs = clock.nowMs() + READER_TIMEOUT_MS;
                    }
                })
                .handle((read, failure) -> failure == null
                        ? CompletableFuture.<LogRead>completedStage(read)
                        : coalescedReads.read(stream, fromOffset, maxRecords, waitMs))
                .thenCompose(stage -> stage);
    }

    private static LogRead toRead(ReadLogResult result, long fromOffset) {
        if (result.getError() != null) {
            throw new StoreException("the reader of the region failed to read the log: " + result.getError());
        }
        if (result.getFirstOffset() > fromOffset) {
            return new LogRead.Truncated(result.getFirstOffset());
        }
        List<LogBatch.Entry> records = result.getRecords().stream()
                .map(record -> new LogBatch.Entry(record.getOffset(), record.getData()))
                .toList();
        return new LogRead.Batch(new LogBatch(result.getFirstOffset(), result.getNextOffset(), records));
    }
}
