package org.fulmarreach.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;

import org.fulmarreach.core.exc.StoreException;
import org.fulmarreach.platform.LogBatch;
import org.fulmarreach.platform.LogClient;
import org.fulmarreach.platform.LogRead;

/** In-memory log service for tests. It can fail all requests, or fail appends after they have taken effect. */
final class FakeLog implements LogClient {
    private static final int POLL_MS = 5;

    private final Map<String, List<byte[]>> streams = new HashMap<>();
    private volatile boolean down;
    private volatile boolean loseAnswers;

    void setDown(boolean newDown) {
        down = newDown;
    }

    void setLoseAnswers(boolean newLoseAnswers) {
        loseAnswers = newLoseAnswers;
    }

    synchronized byte[] last(String stream) {
        List<byte[]> records = streams.get(stream);
        return records.get(records.size() - 1);
    }

    @Override
    public synchronized CompletionStage<Long> append(String stream, byte[] data) {
        if (down) {
            return CompletableFuture.failedFuture(
                    new StoreException("log service is down; the append has not taken effect"));
        }
        List<byte[]> records = streams.computeIfAbsent(stream, name -> new ArrayList<>());
        records.add(data);
        return loseAnswers
                ? CompletableFuture.failedFuture(new StoreException("answer lost; the append may have taken effect"))
                : CompletableFuture.completedFuture(records.size() - 1L);
    }

    @Override
    public synchronized CompletionStage<LogRead> read(String stream, long fromOffset, int maxRecords, int waitMs) {
        if (down) {
            return CompletableFuture.failedFuture(new StoreException("log service is down"));
        }
        List<byte[]> records = streams.getOrDefault(stream, List.of());
        if (fromOffset >= records.size() && waitMs > 0) {
            return CompletableFuture.supplyAsync(
                            () -> null, CompletableFuture.delayedExecutor(POLL_MS, TimeUnit.MILLISECONDS))
                    .thenCompose(nothing -> read(stream, fromOffset, maxRecords, waitMs - POLL_MS));
        }
        List<LogBatch.Entry> found = new ArrayList<>();
        for (int i = (int) fromOffset; i < records.size() && found.size() < maxRecords; i++) {
            found.add(new LogBatch.Entry(i, records.get(i)));
        }
        return CompletableFuture.completedFuture(new LogRead.Batch(new LogBatch(0, fromOffset + found.size(), found)));
    }
}
