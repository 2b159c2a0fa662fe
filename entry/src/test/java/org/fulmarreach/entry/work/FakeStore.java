package org.fulmarreach.entry.work;

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

/** An in-memory log service; a read that finds no records is answered after at most 50 ms. */
final class FakeStore implements LogClient {
    private final Map<String, List<byte[]>> streams = new HashMap<>();
    volatile boolean down;

    @Override
    public synchronized CompletionStage<Long> append(String stream, byte[] data) {
        if (down) {
            return CompletableFuture.failedFuture(new StoreException("down"));
        }
        List<byte[]> records = streams.computeIfAbsent(stream, name -> new ArrayList<>());
        records.add(data);
        return CompletableFuture.completedFuture(records.size() - 1L);
    }

    @Override
    public CompletionStage<LogRead> read(String stream, long fromOffset, int maxRecords, int waitMs) {
        LogRead found = find(stream, fromOffset);
        if (found instanceof LogRead.Batch batch && batch.batch().records().isEmpty() && !down) {
            return CompletableFuture.supplyAsync(
                    () -> find(stream, fromOffset),
                    CompletableFuture.delayedExecutor(Math.min(waitMs, 50), TimeUnit.MILLISECONDS));
        }
        return down
                ? CompletableFuture.failedFuture(new StoreException("down"))
                : CompletableFuture.completedFuture(found);
    }

    private synchronized LogRead find(String stream, long fromOffset) {
        List<byte[]> records = streams.getOrDefault(stream, List.of());
        List<LogBatch.Entry> found = new ArrayList<>();
        for (int i = (int) fromOffset; i < records.size(); i++) {
            found.add(new LogBatch.Entry(i, records.get(i)));
        }
        return new LogRead.Batch(new LogBatch(0, records.size(), found));
    }
}
