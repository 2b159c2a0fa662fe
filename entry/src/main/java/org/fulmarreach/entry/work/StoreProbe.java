package org.fulmarreach.entry.work;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.fulmarreach.core.work.WorkBatch;
import org.fulmarreach.platform.LogClient;
import org.fulmarreach.protocol.io.WorkRecords;
import org.fulmarreach.runtime.util.MonotonicClock;

/**
 * Checks whether the store accepts appends. An entry that serves as a witness needs the check because followers append
 * nothing else. The shards of the entry share one probe per second. Thread-safe.
 */
final class StoreProbe {
    private static final long MIN_INTERVAL_MS = 1_000;

    private final LogClient log;
    private final String stream;
    private final MonotonicClock clock;
    private final byte[] record;
    private CompletionStage<Boolean> last = CompletableFuture.completedFuture(true);
    private long lastMs = Long.MIN_VALUE / 2;

    StoreProbe(LogClient log, String region, String entryId, MonotonicClock clock) {
        this.log = log;
        this.stream = "probe-" + region;
        this.clock = clock;
        this.record = WorkRecords.encode(new WorkBatch("probe/" + entryId, 0, List.of()));
    }

    /** Returns the result of the pending append, of one that began less than a second ago, or of a new one. */
    synchronized CompletionStage<Boolean> probe() {
        boolean running = !last.toCompletableFuture().isDone();
        if (!running && clock.nowMs() - lastMs >= MIN_INTERVAL_MS) {
            lastMs = clock.nowMs();
            last = log.append(stream, record).handle((offset, failure) -> failure == null);
        }
        return last;
    }
}
