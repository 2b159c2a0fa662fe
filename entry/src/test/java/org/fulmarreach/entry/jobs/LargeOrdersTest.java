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
import org.fulmarreach.core.jobs.WorkerRef;
import org.fulmarreach.core.jobs.WorkerReport;
import org.fulmarreach.core.model.Resources;
import org.fulmarreach.platform.store.AppendCondition;
import org.fulmarreach.platform.store.KeyedRecord;
import org.fulmarreach.platform.store.StoreLimits;
import org.fulmarreach.platform.store.TopicPartition;
import org.fulmarreach.protocol.io.GuardMessages;
import org.fulmarreach.protocol.io.JobRecords;
import org.fulmarreach.protocol.io.JobTopics;
import org.fulmarreach.protocol.io.ThriftBytes;
import org.fulmarreach.protocol.thrift.Body;
import org.fulmarreach.protocol.thrift.Frame;
import org.fulmarreach.protocol.thrift.GuardReport;
import org.fulmarreach.runtime.log.EventLog;
import org.fulmarreach.runtime.net.LinkEvent;
import org.fulmarreach.runtime.util.ActorSystems;
import org.fulmarreach.runtime.util.MonotonicClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Orders for one worker that together, or one of them alone, exceed the largest frame of a connection. */
class LargeOrdersTest {
    private static final Resources SMALL = new Resources(10, 1, 0);
    private static final Resources CAPACITY = new Resources(64_000, 250_000, 0);
    private static final Duration PATIENCE = Duration.ofSeconds(30);
    private static final int TASKS = 2_000;
    private static final int PAYLOAD_BYTES = 4_000;

    /** The id of a job is the key of its record, and each of its starts contains it. */
    private static final String LONG_ID = "l".repeat(200);

    private final FakeStore store = new FakeStore();
    private final FakeLink guard = new FakeLink();
    private ActorSystem<JobsCommand> entry;

    @AfterEach
    void stop() {
        entry.terminate();
    }

    /** Guards against the end of the leader's process when the starts for one worker are over a frame in total. */
    @Test
    void startsForOneWorkerThatExceedAFrameAreAllSent() throws Exception {
        startLeader();
        submit(job("large", TASKS, PAYLOAD_BYTES));
        submit(job("small", 1, 1));
        Awaitility.await().atMost(PATIENCE).until(() -> {
            reportStartedRuns();
            return startedTasks().size() == TASKS + 1;
        });
    }

    /** Guards against a start that fits no frame, as another writer's record may cause, which stops all others. */
    @Test
    void startThatFitsNoFrameLeavesTheOthersAlone() throws Exception {
        store.accept(new StoreLimits(2 * ThriftBytes.MAX_STRUCT_BYTES, 2 * ThriftBytes.MAX_STRUCT_BYTES));
        JobSpec large = job(LONG_ID, 1, ThriftBytes.MAX_STRUCT_BYTES - 100);
        append(JobPartitions.REQUESTS, JobTopics.jobKey(LONG_ID), JobRecords.encode(large));
        startLeader();
        submit(job("small", 1, 1));
        Awaitility.await().atMost(PATIENCE).until(() -> {
            reportStartedRuns();
            return startedTasks().contains("small.0.0.0");
        });
        assertEquals(Set.of("small.0.0.0"), startedTasks());
        Awaitility.await().atMost(PATIENCE).until(() -> describe().contains(LONG_ID + " queue=q status=FAILED"));
    }

    private void startLeader() throws Exception {
        String config = "{\"version\":7,\"routes\":[{\"name\":\"q\",\"host\":\"h\",\"path_prefix\":\"/q/\","
                + "\"service\":\"s\",\"max_attempts\":2}],\"services\":[],\"limits\":{}}";
        append(TopicPartition.OPERATOR, TopicPartition.CONFIG_KEY, config.getBytes(StandardCharsets.UTF_8));
        entry = ActorSystems.construct(
                JobsActor.create(
                        store,
                        new FakeEntryLinks(),
                        new JobsActor.Identity("entry-0", "127.0.0.1:1"),
                        new JobTimeLimits(6_000, 120_000, 3_000, 900),
                        new ConfigReadBudget(2_500),
                        MonotonicClock.system(),
                        new EventLog("entry-0"),
                        new AtomicReference<>(JobsCommand.View.starting()),
                        new Random(1)),
                "entry-0",
                1);
        Awaitility.await().atMost(PATIENCE).until(() -> describe().contains("leads=true"));
        reportStartedRuns();
    }

    private void append(TopicPartition partition, String key, byte[] value) {
        store.append(partition, List.of(new KeyedRecord(key, value)), new AppendCondition.None());
    }

    private void submit(JobSpec job) throws Exception {
        CompletableFuture<WriteOutcome> stored = new CompletableFuture<>();
        entry.tell(new JobsCommand.Submit(job, MonotonicClock.system().nowMs() + 3_000, stored));
        assertEquals(new WriteOutcome.Stored(), stored.get(5, TimeUnit.SECONDS));
    }

    private String describe() throws Exception {
        CompletableFuture<String> described = new CompletableFuture<>();
        entry.tell(new JobsCommand.Describe(described));
        return described.get(5, TimeUnit.SECONDS);
    }

    private Set<String> startedTasks() {
        return new HashSet<>(guard.starts());
    }

    private void reportStartedRuns() {
        List<WorkerReport.Running> running = new ArrayList<>();
        startedTasks().forEach(task -> running.add(new WorkerReport.Running(task, 1, "", 10, 0)));
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
                List.of(),
                1);
        GuardReport report = new GuardReport();
        report.setGuard("guard");
        report.setTickMs(MonotonicClock.system().nowMs());
        report.setTerm(0);
        report.setOutcomes(List.of());
        report.setWorker(GuardMessages.toThrift(worker));
        entry.tell(new JobsCommand.GuardLink(new LinkEvent.Received(guard, new Frame(0, Body.guardReport(report)))));
    }

    private static JobSpec job(String id, int tasks, int payloadBytes) {
        JobStep step = new JobStep(
                tasks, SMALL, 100, List.of(), false, false, false, "", "", 0, false, false, "", 0, false, 0);
        return new JobSpec(id, "q", "x".repeat(payloadBytes), List.of(step), 0, 0, 0, System.currentTimeMillis());
    }
}
