package org.fulmarreach.entry.store;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.fulmarreach.platform.LogClient;
import org.fulmarreach.platform.LogRead;

/**
 * Reads one stream in sequence, one read at a time. The owner starts the next read with {@link #readFrom} after it has
 * processed the previous result. Thread-safe. The listener is called on a client thread and must pass the result on to
 * the owner's actor.
 */
public final class StreamFollower {
    private static final int MAX_RECORDS = 512;
    private static final int LONG_POLL_MS = 2_000;
    private static final long FAILURE_DELAY_MS = 500;

    private final LogClient client;
    private final String stream;
    private final Consumer<StreamReadResult> listener;

    /** Constructs a follower; the first read starts with {@link #readFrom}. */
    public StreamFollower(LogClient client, String stream, Consumer<StreamReadResult> listener) {
        this.client = client;
        this.stream = stream;
        this.listener = listener;
    }

    /**
     * Starts one read.
     *
     * @param offset offset of the first record to read
     * @param waits whether to wait for a record if there is none yet (long polling); false until the owner has caught
     *     up
     */
    public void readFrom(long offset, boolean waits) {
        client.read(stream, offset, MAX_RECORDS, waits ? LONG_POLL_MS : 0).whenComplete((read, failure) -> {
            if (failure == null) {
                listener.accept(toResult(read));
                return;
            }
            CompletableFuture.delayedExecutor(FAILURE_DELAY_MS, TimeUnit.MILLISECONDS)
                    .execute(() -> listener.accept(new StreamReadResult.Failed(String.valueOf(failure.getMessage()))));
        });
    }

    private static StreamReadResult toResult(LogRead read) {
        return switch (read) {
            case LogRead.Batch found ->
                // A batch may be truncated because of its size, so only an empty one proves that there are no more
                // records.
                new StreamReadResult.Records(
                        found.batch(), found.batch().records().isEmpty());
            case LogRead.Truncated truncated -> new StreamReadResult.Truncated(truncated.firstOffset());
        };
    }
}
