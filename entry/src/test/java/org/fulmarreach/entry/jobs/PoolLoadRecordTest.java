package org.fulmarreach.entry.jobs;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.fulmarreach.core.jobs.DecisionLog;
import org.fulmarreach.core.jobs.JobBatch;
import org.fulmarreach.core.jobs.JobConfig;
import org.fulmarreach.core.jobs.JobQueue;
import org.fulmarreach.core.jobs.JobRegistry;
import org.fulmarreach.core.jobs.JobScheduler;
import org.fulmarreach.core.jobs.JobSpec;
import org.fulmarreach.core.jobs.JobStep;
import org.fulmarreach.core.jobs.JobTimeLimits;
import org.fulmarreach.core.jobs.WorkerRef;
import org.fulmarreach.core.jobs.WorkerReport;
import org.fulmarreach.core.model.Resources;
import org.fulmarreach.platform.store.KeyedRecord;
import org.fulmarreach.platform.store.StoreLimits;
import org.fulmarreach.protocol.io.JobTopics;
import org.fulmarreach.protocol.io.PoolLoadRecords;
import org.fulmarreach.runtime.log.EventLog;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Records of the load of the pools. Guards against writes in calm, and entries that are not told of its end. */
class PoolLoadRecordTest {
    private static final long TERM = 7;
    private static final int STEP_MS = 100;
    private static final Resources WORKER = new Resources(4_000, 8_000, 0);
    private static final JobConfig CONFIG =
            new JobConfig(1, List.of(new JobQueue("q", "h", "/q/", "s", 0, 2, 3_000, 300, 1.5)), 1_000);

    private final JobRegistry registry = new JobRegistry();
    private final JobScheduler scheduler =
            new JobScheduler(registry, CONFIG, new JobTimeLimits(6_000, 120_000, 3_000, 900), DecisionLog.NONE, 0);
    private final List<PoolLoadRecords.Stored> written = new ArrayList<>();
    private long nowMs;
    private final LeaderRecords records = new LeaderRecords(
            TERM,
            () -> new KeyedRecord("leader", new byte[] {1}),
            scheduler,
            StoreLimits.DEFAULT,
            () -> nowMs,
            new EventLog("test"));

    @Test
    void loadIsWrittenOnlyDuringAShortageAndOnceAtItsEnd() {
        run(5_000);
        assertEquals(List.of(), written, "written in calm");
        for (int i = 0; i < 10; i++) {
            submit("job-" + i);
        }
        run(3_000);
        assertTrue(written.size() >= 5 && written.size() <= 6, () -> written.size() + " records in 3 s");
        assertTrue(written.stream()
                .allMatch(stored -> stored.term() == TERM && stored.load().isShort()));
        for (int i = 0; i < 10; i++) {
            registry.cancel("job-" + i, nowMs);
        }
        written.clear();
        run(5_000);
        assertEquals(1, written.size(), "records of the end of the shortage");
        assertFalse(written.getLast().load().isShort());
    }

    private void submit(String id) {
        JobStep step = new JobStep(
                4,
                new Resources(2_000, 100, 0),
                3_000,
                List.of(),
                false,
                false,
                false,
                "",
                "",
                0,
                false,
                false,
                "",
                0,
                false,
                0);
        registry.submit(new JobSpec(id, "q", "", List.of(step), 0, 0, 0, nowMs));
        scheduler.activate(registry.find(id).orElseThrow(), nowMs);
    }

    private void run(long forMs) {
        for (long endMs = nowMs + forMs; nowMs < endMs; ) {
            nowMs += STEP_MS;
            scheduler.onReport(
                    new WorkerReport(
                            new WorkerRef("guard", "worker", 1),
                            "s",
                            "z",
                            WORKER,
                            List.of("kind", "rack"),
                            false,
                            true,
                            false,
                            List.of(),
                            List.of(),
                            nowMs),
                    nowMs);
            scheduler.tick(nowMs, nowMs, true);
            JobBatch batch = scheduler.takeBatch();
            scheduler.onCommitted(batch);
            records.encode(batch, Optional.<Map<String, Long>>empty(), false).stream()
                    .filter(entry -> entry.key().equals(JobTopics.POOL_LOAD_KEY))
                    .map(entry -> PoolLoadRecords.decode(entry.value()))
                    .forEach(written::add);
        }
    }
}
