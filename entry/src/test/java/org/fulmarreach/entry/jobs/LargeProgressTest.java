package org.fulmarreach.entry.jobs;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

import org.apache.pekko.actor.typed.ActorSystem;
import org.awaitility.Awaitility;
import org.fulmarreach.core.jobs.JobSpec;
import org.fulmarreach.core.jobs.JobStep;
import org.fulmarreach.core.jobs.JobTimeLimits;
import org.fulmarreach.core.jobs.RunEnd;
import org.fulmarreach.core.jobs.WorkerRef;
import org.fulmarreach.core.jobs.WorkerReport;
import org.fulmarreach.core.model.Resources;
import org.fulmarreach.platform.store.AppendCondition;
import org.fulmarreach.platform.store.KeyedRecord;
import org.fulmarreach.platform.store.TopicPartition;
import org.fulmarreach.protocol.io.GuardMessages;
import org.fulmarreach.protocol.io.JobTopics;
import org.fulmarreach.protocol.thrift.Body;
import org.fulmarreach.protocol.thrift.Frame;
import org.fulmarreach.protocol.thrift.GuardReport;
import org.fulmarreach.runtime.log.EventLog;
import org.fulmarreach.runtime.net.LinkEvent;
import org.fulmarreach.runtime.util.ActorSystems;
import org.fulmarreach.runtime.util.MonotonicClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Progress and requests that exceed what the store accepts in a record or in an append. */
class LargeProgressTest {
    private static final Resources SMALL = new Resources(10, 1, 0);
    private static final Resources CAPACITY = new Resources(64_000, 250_000, 0);
    private static final Duration PATIENCE = Duration.ofSeconds(30);

    private final FakeStore store = new FakeStore();
    private FakeLink guard = new FakeLink();
    private final List<ActorSystem<JobsCommand>> entries = new ArrayList<>();
    private final List<String> ended = new ArrayList<>();
    private final Set<String> everStarted = new HashSet<>();
    private ActorSystem<JobsCommand> leader;
    private String checkpoint = "";

    @BeforeEach
    void startLeader() throws Exception {
        String config = "{\"version\":7,\"routes\":[{\"name\":\"q\",\"host\":\"h\",\"path_prefix\":\"/q/\","
                + "\"service\":\"s\",\"max_attempts\":2}],\"services\":[],\"limits\":{}}";
        store.append(
                TopicPartition.OPERATOR,
                List.of(new KeyedRecord(TopicPartition.CONFIG_KEY, config.getBytes(StandardCharsets.UTF_8))),
                new AppendCondition.None());
        leader = startEntry("entry-0");
        Awaitility.await().atMost(PATIENCE).until(() -> describe(leader).contains("leads=true"));
        report();
    }

    @AfterEach
    void stop() {
        entries.forEach(ActorSystem::terminate);
    }

    /** Guards against one job whose progress is over the limit of a record, which keeps all others unstored. */
    @Test
    void checkpointsOfALargeJobLeaveOtherJobsAlone() throws Exception {
        checkpoint = "c".repeat(1_000);
        assertEquals(new WriteOutcome.Stored(), submit(job("large", 1_000, 1)));
        Awaitility.await().atMost(PATIENCE).until(() -> {
            report();
            return started().size() == 1_000;
        });
        report();
        assertEquals(new WriteOutcome.Stored(), submit(job("small", 1, 1)));
        Awaitility.await().atMost(PATIENCE).until(() -> {
            report();
            return started().contains("small.0.0.0");
        });
    }

    /** The checkpoints of one part alone exceed a record. */
    @Test
    void checkpointsThatFitNoRecordAreLeftOut() throws Exception {
        checkpoint = "c".repeat(4_000);
        assertEquals(new WriteOutcome.Stored(), submit(job("large", 128, 1)));
        Awaitility.await().atMost(PATIENCE).until(() -> {
            report();
            return started().size() == 128;
        });
        report();
        ended.add("large.0.0.0");
        report();
        assertEquals(new WriteOutcome.Stored(), submit(job("small", 1, 1)));
        Awaitility.await().atMost(PATIENCE).until(() -> {
            report();
            return started().contains("small.0.0.0");
        });
    }

    /** Guards against an append of all that has changed while the store was away, which is over the limit of one. */
    @Test
    void changesThatFitNoAppendAreAllStored() throws Exception {
        store.refuseAppends(JobPartitions.PROGRESS);
        for (int i = 0; i < 20; i++) {
            JobStep step = step(JobSpec.MAX_TASKS, 4);
            assertEquals(new WriteOutcome.Stored(), submit(job("large-" + i, List.of(step), 1)));
            report();
        }
        store.acceptAppends();
        Awaitility.await().atMost(PATIENCE).until(() -> {
            report();
            return started().stream()
                            .map(task -> task.split("\\.")[0])
                            .distinct()
                            .count()
                    == 20;
        });
    }

    /** Guards against a record that the store never accepts, for whatever reason, and that is sent for ever. */
    @Test
    void recordThatIsNeverStoredLeavesOthersAlone() throws Exception {
        store.neverStore(JobTopics.progressKey("odd"));
        assertEquals(new WriteOutcome.Stored(), submit(job("odd", 1, 1)));
        assertEquals(new WriteOutcome.Stored(), submit(job("small", 1, 1)));
        Awaitility.await().atMost(PATIENCE).until(() -> {
            report();
            return started().contains("small.0.0.0");
        });
        assertFalse(started().contains("odd.0.0.0"), "a run of which nothing is stored");
    }

    @Test
    void submissionThatFitsNoRecordIsRefusedAlone() throws Exception {
        List<JobStep> steps = new ArrayList<>();
        for (int i = 0; i < 10_000; i++) {
            steps.add(step(1, 0));
        }
        JobSpec large = job("large", steps, 1);
        assertInstanceOf(WriteOutcome.TooLarge.class, submit(large));
        assertEquals(new WriteOutcome.Stored(), submit(job("small", 1, 1)));
    }

    /** A submission that the store refuses though its size is within the limits must not fail those beside it. */
    @Test
    void submissionThatIsNeverStoredIsRefusedAlone() throws Exception {
        store.neverStore(JobTopics.jobKey("odd"));
        store.delayAppends(300);
        List<CompletableFuture<WriteOutcome>> outcomes = new ArrayList<>();
        for (String id : List.of("first", "second", "odd", "third")) {
            outcomes.add(send(job(id, 1, 1)));
        }
        assertEquals(new WriteOutcome.Stored(), outcomes.get(1).get(5, TimeUnit.SECONDS));
        assertInstanceOf(WriteOutcome.TooLarge.class, outcomes.get(2).get(5, TimeUnit.SECONDS));
        assertEquals(new WriteOutcome.Stored(), outcomes.get(3).get(5, TimeUnit.SECONDS));
    }

    /** The next leader reads the parts of a large job, and repeats nothing that is done. */
    @Test
    void nextLeaderGoesOnWithTheProgressOfALargeJob() throws Exception {
        assertEquals(new WriteOutcome.Stored(), submit(job("large", 400, 1)));
        Awaitility.await().atMost(PATIENCE).until(() -> {
            report();
            return started().size() == 400;
        });
        for (int i = 0; i < 390; i++) {
            ended.add("large.0.0." + i);
        }
        report();
        ActorSystem<JobsCommand> next = startEntry("entry-1");
        Awaitility.await().atMost(PATIENCE).until(() -> describe(next).contains("large queue=q status=RUNNING"));
        Set<String> parts = new HashSet<>(store.newestKeys(JobPartitions.PROGRESS));
        for (int part = 0; part < 4; part++) {
            assertTrue(parts.contains(JobTopics.partKey("large", part)), "keys " + parts);
        }
        leader.terminate();
        leader = next;
        guard = new FakeLink();
        Awaitility.await().atMost(PATIENCE).until(() -> {
            report();
            return describe(next).contains("leads=true");
        });
        for (int i = 390; i < 400; i++) {
            ended.add("large.0.0." + i);
        }
        Awaitility.await().atMost(PATIENCE).until(() -> {
            report();
            return describe(next).contains("large queue=q status=COMPLETED");
        });
        assertEquals(List.of(), guard.starts());
    }

    private ActorSystem<JobsCommand> startEntry(String node) {
        ActorSystem<JobsCommand> entry = ActorSystems.construct(
                JobsActor.create(
                        store,
                        new FakeEntryLinks(),
                        new JobsActor.Identity(node, "127.0.0.1:1"),
                        new JobTimeLimits(6_000, 120_000, 3_000, 900),
                        new ConfigReadBudget(2_500),
                        MonotonicClock.system(),
                        new EventLog(node),
                        new AtomicReference<>(JobsCommand.View.starting()),
                        new Random(1)),
                node,
                1);
        entries.add(entry);
        return entry;
    }

    private CompletableFuture<WriteOutcome> send(JobSpec job) {
        CompletableFuture<WriteOutcome> stored = new CompletableFuture<>();
        leader.tell(new JobsCommand.Submit(job, MonotonicClock.system().nowMs() + 3_000, stored));
        return stored;
    }

    private WriteOutcome submit(JobSpec job) throws Exception {
        return send(job).get(5, TimeUnit.SECONDS);
    }

    private static String describe(ActorSystem<JobsCommand> entry) throws Exception {
        CompletableFuture<String> described = new CompletableFuture<>();
        entry.tell(new JobsCommand.Describe(described));
        return described.get(5, TimeUnit.SECONDS);
    }

    private Set<String> started() {
        everStarted.addAll(guard.starts());
        return everStarted;
    }

    private void report() {
        List<WorkerReport.Running> running = new ArrayList<>();
        List<WorkerReport.Ended> ends = new ArrayList<>();
        for (String task : ended) {
            ends.add(new WorkerReport.Ended(ends.size() + 1, task, 1, RunEnd.DONE, ""));
        }
        for (String task : started()) {
            if (!ended.contains(task)) {
                running.add(new WorkerReport.Running(task, 1, checkpoint, 10, 0));
            }
        }
        WorkerReport worker = new WorkerReport(
                new WorkerRef("guard", "worker", 1),
                "s",
                "z",
                CAPACITY,
                List.of("kind", "rack"),
                false,
                true,
                false,
                running,
                ends,
                1);
        GuardReport report = new GuardReport();
        report.setGuard("guard");
        report.setTickMs(MonotonicClock.system().nowMs());
        report.setTerm(0);
        report.setOutcomes(List.of());
        report.setWorker(GuardMessages.toThrift(worker));
        leader.tell(new JobsCommand.GuardLink(new LinkEvent.Received(guard, new Frame(0, Body.guardReport(report)))));
    }

    private static JobStep step(int tasks, int maxPerWorker) {
        return new JobStep(
                tasks, SMALL, 100, List.of(), false, false, false, "", "", maxPerWorker, false, false, "", 0, false, 0);
    }

    private static JobSpec job(String id, int tasks, int payloadBytes) {
        return job(id, List.of(step(tasks, 0)), payloadBytes);
    }

    private static JobSpec job(String id, List<JobStep> steps, int payloadBytes) {
        return new JobSpec(id, "q", "x".repeat(payloadBytes), steps, 0, 0, 0, System.currentTimeMillis());
    }
}
