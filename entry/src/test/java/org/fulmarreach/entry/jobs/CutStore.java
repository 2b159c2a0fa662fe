package org.fulmarreach.entry.jobs;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

import org.fulmarreach.platform.store.AppendCondition;
import org.fulmarreach.platform.store.AppendResult;
import org.fulmarreach.platform.store.HttpStoreClient;
import org.fulmarreach.platform.store.KeyedRecord;
import org.fulmarreach.platform.store.ReadLimits;
import org.fulmarreach.platform.store.ReadResult;
import org.fulmarreach.platform.store.StoreClient;
import org.fulmarreach.platform.store.TopicPartition;

/** One entry's path to a shared store, which can be cut while others reach the store. Thread-safe. */
final class CutStore implements StoreClient {
    private final StoreClient store;
    private volatile TopicPartition unloadable;
    private final AtomicReference<Path> path = new AtomicReference<>(Path.OPEN);
    private volatile int refusalDelayMs;

    CutStore(StoreClient store) {
        this.store = store;
    }

    /** State of the path. */
    enum Path {
        OPEN,
        /** The store turns the entry away with status 503. */
        REFUSED,
        /** Calls get no answer and fail when those of {@link HttpStoreClient} do. */
        SILENT
    }

    /** Leaves the loads of a partition unanswered. */
    void silenceLoadsOf(TopicPartition partition) {
        unloadable = partition;
    }

    void set(Path newPath) {
        path.set(newPath);
    }

    /** Delays the refusals of appends. */
    void delayRefusals(int delayMs) {
        refusalDelayMs = delayMs;
    }

    @Override
    public CompletionStage<AppendResult> append(
            TopicPartition partition, List<KeyedRecord> records, AppendCondition condition) {
        return switch (path.get()) {
            case OPEN -> store.append(partition, records, condition);
            case REFUSED ->
                CompletableFuture.supplyAsync(
                        () -> new AppendResult.Refused("status 503"),
                        CompletableFuture.delayedExecutor(refusalDelayMs, TimeUnit.MILLISECONDS));
            case SILENT ->
                new CompletableFuture<AppendResult>()
                        .completeOnTimeout(
                                new AppendResult.Unknown("no answer"),
                                HttpStoreClient.CALL_TIMEOUT_MS,
                                TimeUnit.MILLISECONDS);
        };
    }

    @Override
    public CompletionStage<ReadResult> read(TopicPartition partition, long fromOffset, ReadLimits limits) {
        return switch (path.get()) {
            case OPEN -> store.read(partition, fromOffset, limits);
            case REFUSED -> CompletableFuture.completedFuture(new ReadResult.Failed("status 503"));
            case SILENT ->
                timedOutRead(limits.waitMs() + Math.min(limits.maxSilenceMs(), HttpStoreClient.CALL_TIMEOUT_MS));
        };
    }

    @Override
    public CompletionStage<ReadResult> readNewest(TopicPartition partition, String afterKey, ReadLimits limits) {
        int silenceMs = Math.min(limits.maxSilenceMs(), HttpStoreClient.MAX_SILENCE_MS);
        return switch (path.get()) {
            case OPEN ->
                partition.equals(unloadable) ? timedOutRead(silenceMs) : store.readNewest(partition, afterKey, limits);
            case REFUSED -> CompletableFuture.completedFuture(new ReadResult.Failed("status 503"));
            case SILENT -> timedOutRead(silenceMs);
        };
    }

    private static CompletionStage<ReadResult> timedOutRead(int silenceMs) {
        return new CompletableFuture<ReadResult>()
                .completeOnTimeout(new ReadResult.Failed("no answer"), silenceMs, TimeUnit.MILLISECONDS);
    }
}
