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

/** Log service in memory for tests; can be down, and can lose the answers of appends that take effect. */
final class FakeLog implements LogClient {
    private static final int POLL_MS = 5;

    private final Map<String, List<byte[]>> streams = new HashMap<>();
    private volatile boolean down;
    private volatile boolean losesAnswers;

    void setDown(boolean newDown) {
        down = newDown;
    }

    void setLosesAnswers(boolean newLosesAnswers) {
        losesAnswers = newLosesAnswers;
    }

    synchronized byte[] last(String stream) {
        List<byte[]> records = streams.get(stream);
        return records.get(records.size() - 1);
    }

    @Override
    public synchronized CompletionStage<Long> append(String stream, byte[] data) {
        if (down) {
            return CompletableFuture.failedFuture(new StoreException("down; has not taken effect"));
        }
        List<byte[]> records = streams.computeIfAbsent(stream, name -> new ArrayList<>());
        records.add(data);
        return losesAnswers
                ? CompletableFuture.failedFuture(new StoreException("lost; may have taken effect"))
                : CompletableFuture.completedFuture(records.size() - 1L);
    }

    @Override
    public synchronized CompletionStage<LogRead> read(String stream, long fromOffset, int maxRecords, int waitMs) {
        if (down) {
            return CompletableFuture.failedFuture(new StoreException("down"));
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
