package org.fulmarreach.entry.store;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.fulmarreach.platform.LogClient;
import org.fulmarreach.platform.LogRead;

/**
 * Reads one stream from an offset on, one read at a time. The owner asks for the next read with {@link #readFrom} after
 * it has taken in the last result. Thread-safe; the listener is called on a client thread and hands the news to the
 * owner's actor.
 */
public final class StreamFollower {
    private static final int MAX_RECORDS = 512;
    private static final int WAIT_MS = 2_000;
    private static final long PAUSE_AFTER_FAILURE_MS = 500;

    private final LogClient client;
    private final String stream;
    private final Consumer<StreamNews> listener;

    /** Constructs a follower; the first read starts with {@link #readFrom}. */
    public StreamFollower(LogClient client, String stream, Consumer<StreamNews> listener) {
        this.client = client;
        this.stream = stream;
        this.listener = listener;
    }

    /**
     * Starts one read.
     *
     * @param offset offset of the first record wanted
     * @param waits whether to wait for a record if there is none yet; the first read answers at once
     */
    public void readFrom(long offset, boolean waits) {
        client.read(stream, offset, MAX_RECORDS, waits ? WAIT_MS : 0).whenComplete((read, failure) -> {
            if (failure == null) {
                listener.accept(toNews(read));
                return;
            }
            CompletableFuture.delayedExecutor(PAUSE_AFTER_FAILURE_MS, TimeUnit.MILLISECONDS)
                    .execute(() -> listener.accept(new StreamNews.Failed(String.valueOf(failure.getMessage()))));
        });
    }

    private static StreamNews toNews(LogRead read) {
        return switch (read) {
            case LogRead.Batch found ->
                // A batch may be cut for its size, so that only an empty one shows that nothing more is there.
                new StreamNews.Records(found.batch(), found.batch().records().isEmpty());
            case LogRead.Truncated truncated -> new StreamNews.Truncated(truncated.firstOffset());
        };
    }
}
