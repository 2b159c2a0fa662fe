package org.fulmarreach.entry.store;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.fulmarreach.entry.peers.LiveEntries;
import org.fulmarreach.entry.peers.PeersCommand;
import org.fulmarreach.platform.LogBatch;
import org.fulmarreach.platform.LogClient;
import org.fulmarreach.platform.LogRead;
import org.fulmarreach.protocol.thrift.ReadLogResult;
import org.fulmarreach.runtime.util.ActorSystems;
import org.fulmarreach.runtime.util.MonotonicClock;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

/**
 * Guards against each entry of a region reading over the low-bandwidth link, and against a failed reader that blocks
 * the reads of its whole region.
 */
class RegionLogClientTest {
    private final AtomicInteger directReads = new AtomicInteger();
    private final CompletableFuture<LogRead> directAnswer = new CompletableFuture<>();
    private final LogClient direct = new LogClient() {
        @Override
        public CompletionStage<Long> append(String stream, byte[] data) {
            return CompletableFuture.completedFuture(0L);
        }

        @Override
        public CompletionStage<LogRead> read(String stream, long fromOffset, int maxRecords, int waitMs) {
            directReads.incrementAndGet();
            return directAnswer;
        }
    };

    @Test
    void readsGoThroughTheReaderOfTheRegion() throws Exception {
        LogRead read = readWith(request -> request.reply().complete(new ReadLogResult(0, 8, List.of())), 7);
        assertEquals(8, assertInstanceOf(LogRead.Batch.class, read).batch().nextOffset());
        assertEquals(0, directReads.get());
    }

    @Test
    void truncationIsReportedThroughTheReader() throws Exception {
        LogRead read = readWith(request -> request.reply().complete(new ReadLogResult(30, 30, List.of())), 7);
        assertEquals(30, assertInstanceOf(LogRead.Truncated.class, read).firstOffset());
    }

    @Test
    void readsFallBackToTheLogServiceIfTheReaderDoesNotAnswer() throws Exception {
        directAnswer.complete(new LogRead.Batch(new LogBatch(0, 9, List.of())));
        LogRead read = readWith(request -> {}, 7);
        assertEquals(9, assertInstanceOf(LogRead.Batch.class, read).batch().nextOffset());
        assertEquals(1, directReads.get());
    }

    @Test
    void identicalConcurrentReadsAreCoalesced() {
        RegionLogClient client = new RegionLogClient(direct, MonotonicClock.system());
        CompletionStage<LogRead> ownRead = client.read("rules", 1, 10, 100);
        CompletionStage<LogRead> readOfPeer = client.direct().read("rules", 1, 10, 100);
        directAnswer.complete(new LogRead.Truncated(5));
        assertEquals(1, directReads.get());
        assertEquals(
                ownRead.toCompletableFuture().join(),
                readOfPeer.toCompletableFuture().join());
    }

    private LogRead readWith(Consumer<PeersCommand.ReadThroughPeer> peer, long fromOffset) throws Exception {
        ActorSystem<PeersCommand> peers = ActorSystems.construct(
                Behaviors.receiveMessage(command -> {
                    if (command instanceof PeersCommand.ReadThroughPeer request) {
                        assertEquals("entry-a", request.entryId());
                        peer.accept(request);
                    }
                    return Behaviors.same();
                }),
                "peers",
                1);
        try {
            RegionLogClient client = new RegionLogClient(direct, MonotonicClock.system());
            client.connect(peers);
            client.setLive(new LiveEntries(List.of(), 2, "entry-a", false));
            return client.read("rules", fromOffset, 10, 0).toCompletableFuture().get(10, TimeUnit.SECONDS);
        } finally {
            peers.terminate();
        }
    }
}
