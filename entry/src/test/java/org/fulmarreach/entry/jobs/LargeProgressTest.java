package org.fulmarreach.entry.jobs;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.apache.pekko.actor.typed.ActorSystem;
import org.fulmarreach.core.jobs.JobSpec;
import org.fulmarreach.core.jobs.JobStep;
import org.fulmarreach.protocol.io.JobTopics;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.fulmarreach.entry.jobs.LeaderWithGuard.job;
import static org.fulmarreach.entry.jobs.LeaderWithGuard.step;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Progress and requests that exceed what the store accepts in a record or in an append. */
class LargeProgressTest {
    private final FakeStore store = new FakeStore();
    private final LeaderWithGuard entries = new LeaderWithGuard(store);

    @AfterEach
    void stop() {
        entries.close();
    }

    /** Guards against one job whose progress is over the limit of a record, which keeps all others unstored. */
    @Test
    void checkpointsOfALargeJobLeaveOtherJobsAlone() throws Exception {
        entries.checkpoint = "c".repeat(1_000);
        submit(job("large", 1_000, 1));
        entries.await(() -> entries.started().size() == 1_000);
        entries.report();
        submit(job("small", 1, 1));
        entries.await(() -> entries.started().contains("small.0.0.0"));
    }

    /** The checkpoints of one part alone exceed a record. */
    @Test
    void checkpointsThatFitNoRecordAreLeftOut() throws Exception {
        entries.checkpoint = "c".repeat(4_000);
        submit(job("large", 128, 1));
        entries.await(() -> entries.started().size() == 128);
        entries.report();
        entries.ended.add("large.0.0.0");
        entries.report();
        submit(job("small", 1, 1));
        entries.await(() -> entries.started().contains("small.0.0.0"));
    }

    /** Guards against an append of all that has changed while the store was away, which is over the limit of one. */
    @Test
    void changesThatFitNoAppendAreAllStored() throws Exception {
        store.refuseAppends(JobPartitions.PROGRESS);
        for (int i = 0; i < 20; i++) {
            submit(job("large-" + i, List.of(step(JobSpec.MAX_TASKS, 4)), 1));
            entries.report();
        }
        store.acceptAppends();
        entries.await(() -> entries.started().stream()
                        .map(task -> task.substring(0, task.indexOf('.')))
                        .distinct()
                        .count()
                == 20);
    }

    /** Guards against a record that the store never accepts, for whatever reason, and that is sent for ever. */
    @Test
    void recordThatIsNeverStoredLeavesOthersAlone() throws Exception {
        store.neverStore(JobTopics.progressKey("odd"));
        submit(job("odd", 1, 1));
        submit(job("small", 1, 1));
        entries.await(() -> entries.started().contains("small.0.0.0"));
        assertFalse(entries.started().contains("odd.0.0.0"), "a run of which nothing is stored");
    }

    @Test
    void submissionThatFitsNoRecordIsRefusedAlone() throws Exception {
        List<JobStep> steps = new ArrayList<>();
        for (int i = 0; i < 10_000; i++) {
            steps.add(step(1, 0));
        }
        assertInstanceOf(WriteOutcome.TooLarge.class, entries.submit(job("large", steps, 1)));
        submit(job("small", 1, 1));
    }

    /** A submission that the store refuses though its size is within the limits must not fail those beside it. */
    @Test
    void submissionThatIsNeverStoredIsRefusedAlone() throws Exception {
        store.neverStore(JobTopics.jobKey("odd"));
        store.delayAppends(300);
        List<CompletableFuture<WriteOutcome>> outcomes = new ArrayList<>();
        for (String id : List.of("first", "second", "odd", "third")) {
            outcomes.add(entries.send(job(id, 1, 1)));
        }
        assertEquals(new WriteOutcome.Stored(), outcomes.get(1).get(5, TimeUnit.SECONDS));
        assertInstanceOf(WriteOutcome.TooLarge.class, outcomes.get(2).get(5, TimeUnit.SECONDS));
        assertEquals(new WriteOutcome.Stored(), outcomes.get(3).get(5, TimeUnit.SECONDS));
    }

    /** The next leader reads the parts of a large job, and repeats nothing that is done. */
    @Test
    void nextLeaderGoesOnWithTheProgressOfALargeJob() throws Exception {
        submit(job("large", 400, 1));
        entries.await(() -> entries.started().size() == 400);
        for (int i = 0; i < 390; i++) {
            entries.ended.add("large.0.0." + i);
        }
        ActorSystem<JobsCommand> next = entries.startEntry("entry-1");
        entries.await(() -> LeaderWithGuard.describe(next).contains("large queue=q status=RUNNING"));
        Set<String> keys = Set.copyOf(store.newestKeys(JobPartitions.PROGRESS));
        for (int part = 0; part < 4; part++) {
            assertTrue(keys.contains(JobTopics.partKey("large", part)), "keys " + keys);
        }
        entries.replaceLeader(next);
        for (int i = 390; i < 400; i++) {
            entries.ended.add("large.0.0." + i);
        }
        entries.await(() -> entries.describe().contains("large queue=q status=COMPLETED"));
        assertEquals(List.of(), entries.starts());
    }

    private void submit(JobSpec job) throws Exception {
        assertEquals(new WriteOutcome.Stored(), entries.submit(job));
    }
}
