package org.fulmarreach.entry.jobs;

import java.util.List;
import java.util.Set;

import org.fulmarreach.core.jobs.JobSpec;
import org.fulmarreach.platform.store.AppendCondition;
import org.fulmarreach.platform.store.KeyedRecord;
import org.fulmarreach.platform.store.StoreLimits;
import org.fulmarreach.protocol.io.JobRecords;
import org.fulmarreach.protocol.io.JobTopics;
import org.fulmarreach.protocol.io.ThriftBytes;
import org.junit.jupiter.api.Test;

import static org.fulmarreach.entry.jobs.LeaderWithGuard.job;
import static org.junit.jupiter.api.Assertions.assertEquals;

/** Orders for one worker that together, or one of them alone, exceed the largest frame of a connection. */
class LargeOrdersTest {
    private static final int TASKS = 2_000;
    private static final int PAYLOAD_BYTES = 4_000;

    /** The id of a job is the key of its record, and each of its starts contains it. */
    private static final String LONG_ID = "l".repeat(200);

    private final FakeStore store = new FakeStore();

    /** Guards against the end of the leader's process when the starts for one worker are over a frame in total. */
    @Test
    void startsForOneWorkerThatExceedAFrameAreAllSent() throws Exception {
        try (LeaderWithGuard entries = new LeaderWithGuard(store)) {
            assertEquals(new WriteOutcome.Stored(), entries.submit(job("large", TASKS, PAYLOAD_BYTES)));
            assertEquals(new WriteOutcome.Stored(), entries.submit(job("small", 1, 1)));
            entries.await(() -> entries.started().size() == TASKS + 1);
        }
    }

    /** Guards against a start that fits no frame, as another writer's record may cause, which stops all others. */
    @Test
    void startThatFitsNoFrameLeavesTheOthersAlone() throws Exception {
        store.accept(new StoreLimits(2 * ThriftBytes.MAX_STRUCT_BYTES, 2 * ThriftBytes.MAX_STRUCT_BYTES));
        JobSpec large = job(LONG_ID, 1, ThriftBytes.MAX_STRUCT_BYTES - 100);
        store.append(
                JobPartitions.REQUESTS,
                List.of(new KeyedRecord(JobTopics.jobKey(LONG_ID), JobRecords.encode(large))),
                new AppendCondition.None());
        try (LeaderWithGuard entries = new LeaderWithGuard(store)) {
            assertEquals(new WriteOutcome.Stored(), entries.submit(job("small", 1, 1)));
            entries.await(() -> entries.started().contains("small.0.0.0"));
            assertEquals(Set.of("small.0.0.0"), entries.started());
            entries.await(() -> entries.describe().contains(LONG_ID + " queue=q status=FAILED"));
        }
    }
}
