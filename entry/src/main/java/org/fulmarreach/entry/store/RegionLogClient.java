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
 * Client of the log service with one reader per region. Reads go through the reader of the region, and directly when it
 * does not answer for 2 s beyond the wait. Appends always go directly. Equal reads that run at the same time are made
 * once, so that the followers of a region cost one read over the narrow link. Thread-safe.
 */
public final class RegionLogClient implements LogClient {
    private static final long READER_BOUND_MS = 2_000;
    private static final long REACHABLE_MS = 5_000;

    private final LogClient direct;
    private final MonotonicClock clock;
    private final Map<ReadKey, CompletableFuture<LogRead>> running = new ConcurrentHashMap<>();
    private final SharedReads shared = new SharedReads();
    private volatile ActorRef<PeersCommand> peers;
    private volatile LiveEntries live;
    private volatile long lastSuccessMs;
    private volatile long avoidReaderUntilMs = Long.MIN_VALUE;

    private record ReadKey(String stream, long fromOffset, int maxRecords, int waitMs) {}

    /** Reads directly, each read once for all that ask for it at the same time. */
    private final class SharedReads implements LogClient {
        @Override
        public CompletionStage<Long> append(String stream, byte[] data) {
            return RegionLogClient.this.append(stream, data);
        }

        @Override
        public CompletionStage<LogRead> read(String stream, long fromOffset, int maxRecords, int waitMs) {
            ReadKey key = new ReadKey(stream, fromOffset, maxRecords, waitMs);
            CompletableFuture<LogRead> started = new CompletableFuture<>();
            CompletableFuture<LogRead> earlier = running.putIfAbsent(key, started);
            if (earlier != null) {
                return earlier;
            }
            direct.read(stream, fromOffset, maxRecords, waitMs).whenComplete((found, failure) -> {
                running.remove(key);
                if (failure == null) {
                    lastSuccessMs = clock.nowMs();
                    started.complete(found);
                } else {
                    started.completeExceptionally(failure);
                }
            });
            return started;
        }
    }

    /** Constructs a client that reads directly until {@link #connect} names the peers. */
    public RegionLogClient(LogClient direct, MonotonicClock clock) {
        this.direct = direct;
        this.clock = clock;
        this.lastSuccessMs = clock.nowMs() - REACHABLE_MS;
    }

    /*
     * Life cycle
     */

    /** Sets the actor that carries reads to the reader. */
    public void connect(ActorRef<PeersCommand> newPeers) {
        peers = newPeers;
    }

    /** Takes over which entries live; the reader of the region is chosen among them. */
    public void setLive(LiveEntries newLive) {
        live = newLive;
    }

    /*
     * Public API
     */

    /** Returns the client that serves peers and this entry's own reads; it never asks a peer. */
    public LogClient direct() {
        return shared;
    }

    /** Tells whether a read or append succeeded within the last 5 s. */
    public boolean isReachable() {
        return clock.nowMs() - lastSuccessMs < REACHABLE_MS;
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
        ActorRef<PeersCommand> carrier = peers;
        boolean usesReader =
                carrier != null && entries != null && !entries.isSelfReader() && clock.nowMs() >= avoidReaderUntilMs;
        if (!usesReader) {
            return shared.read(stream, fromOffset, maxRecords, waitMs);
        }
        CompletableFuture<ReadLogResult> reply = new CompletableFuture<>();
        carrier.tell(new PeersCommand.ReadThroughPeer(
                entries.regionReader(), new ReadLog(stream, fromOffset, maxRecords, waitMs), reply));
        return reply.orTimeout(waitMs + READER_BOUND_MS, TimeUnit.MILLISECONDS)
                .thenApply(result -> toRead(result, fromOffset))
                .whenComplete((read, failure) -> {
                    if (failure == null) {
                        lastSuccessMs = clock.nowMs();
                    } else {
                        avoidReaderUntilMs = clock.nowMs() + READER_BOUND_MS;
                    }
                })
                .handle((read, failure) -> failure == null
                        ? CompletableFuture.<LogRead>completedStage(read)
                        : shared.read(stream, fromOffset, maxRecords, waitMs))
                .thenCompose(stage -> stage);
    }

    private static LogRead toRead(ReadLogResult result, long fromOffset) {
        if (result.getError() != null) {
            throw new StoreException("the reader of the region reports: " + result.getError());
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
