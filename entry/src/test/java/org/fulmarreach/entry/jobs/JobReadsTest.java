package org.fulmarreach.entry.jobs;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.apache.pekko.stream.SystemMaterializer;
import org.awaitility.Awaitility;
import org.fulmarreach.core.jobs.JobRegistry;
import org.fulmarreach.core.jobs.JobSnapshot;
import org.fulmarreach.core.jobs.JobSpec;
import org.fulmarreach.core.jobs.JobStatus;
import org.fulmarreach.core.jobs.JobStep;
import org.fulmarreach.core.jobs.JobTimeLimits;
import org.fulmarreach.core.jobs.TaskPhase;
import org.fulmarreach.core.jobs.TaskState;
import org.fulmarreach.core.jobs.WorkerRef;
import org.fulmarreach.core.model.Resources;
import org.fulmarreach.platform.store.AppendCondition;
import org.fulmarreach.platform.store.KeyedRecord;
import org.fulmarreach.platform.store.TopicPartition;
import org.fulmarreach.protocol.io.JobRecords;
import org.fulmarreach.protocol.io.JobTopics;
import org.fulmarreach.runtime.log.EventLog;
import org.fulmarreach.runtime.util.ActorSystems;
import org.fulmarreach.runtime.util.MonotonicClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against reads that wait for the actor of a busy leader, and against answers that it would not give. */
class JobReadsTest {
    private static final String CONFIG = "{\"version\":7,\"routes\":[{\"name\":\"q\",\"host\":\"h\","
            + "\"path_prefix\":\"/q/\",\"service\":\"s\",\"max_attempts\":2}],\"services\":[],\"limits\":{}}";
    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final TaskState DONE = new TaskState(TaskPhase.DONE, 1, new WorkerRef("g", "w", 1), 0, "");

    private final FakeStore store = new FakeStore();
    private final AtomicReference<JobsCommand.View> view = new AtomicReference<>(JobsCommand.View.starting());
    private final SimpleMeterRegistry meters = new SimpleMeterRegistry();
    private final CountDownLatch release = new CountDownLatch(1);
    private ActorSystem<JobsCommand> entry;
    private JobsHttp http;

    @AfterEach
    void stop() {
        release.countDown();
        if (entry != null) {
            entry.terminate();
        }
    }

    /** Statuses of jobs that had been completed for a minute were not answered while the leader worked on a backlog. */
    @Test
    void knownStatusesAndCountsAreAnsweredWhileTheActorIsBusy() throws Exception {
        store(JobPartitions.REQUESTS, JobTopics.jobKey("job-1"), JobRecords.encode(job("job-1")));
        store(JobPartitions.REQUESTS, JobTopics.jobKey("job-2"), JobRecords.encode(job("job-2")));
        JobSnapshot completed = new JobSnapshot(List.of(DONE), System.currentTimeMillis(), true);
        store(JobPartitions.PROGRESS, JobTopics.progressKey("job-1"), JobRecords.encode(completed));
        start();
        Awaitility.await().atMost(TIMEOUT).until(() -> view.get().reads().countable());
        occupyActor();
        assertEquals("{\"state\":\"completed\"}", bodyOf(get("/q/job-1")));
        assertEquals("{\"state\":\"queued\"}", bodyOf(get("/q/job-2")));
        assertEquals("{\"waiting\":1}", bodyOf(get("/q/")));
        assertFalse(get("/q/job-9").toCompletableFuture().isDone(), "an unknown job is not denied without a read");
        assertTrue(meters.counter("fulmarreach.jobs.reads", "actor", "no").count() >= 3);
    }

    /** A job that looks queued may have been completed before, which only its progress tells. */
    @Test
    void statusIsLeftToTheActorUntilProgressIsKnown() {
        JobRegistry registry = new JobRegistry();
        registry.submit(job("job-1"));
        registry.submit(job("job-2"));
        registry.restore("job-2", new JobSnapshot(List.of(DONE), 1_000, true));
        JobReads loading = new JobReads(registry.acknowledgedStatuses(), false, false, 0);
        assertTrue(loading.findStatus("job-1").isEmpty());
        assertEquals(JobStatus.COMPLETED, loading.findStatus("job-2").orElseThrow());
        assertTrue(loading.countWaiting("q", 0).isEmpty());
    }

    /** The actor reads the log again before it counts from records that are too old. */
    @Test
    void countIsLeftToTheActorOnceItIsTooOld() {
        JobRegistry registry = new JobRegistry();
        registry.submit(job("job-1"));
        JobReads reads = new JobReads(registry.acknowledgedStatuses(), true, true, 5_000);
        assertEquals(
                1, reads.countWaiting("q", 5_000 + JobReads.MAX_COUNT_AGE_MS).orElseThrow());
        assertTrue(reads.countWaiting("q", 5_001 + JobReads.MAX_COUNT_AGE_MS).isEmpty());
    }

    private void start() {
        store(TopicPartition.OPERATOR, TopicPartition.CONFIG_KEY, CONFIG.getBytes(StandardCharsets.UTF_8));
        entry = ActorSystems.construct(
                JobsActor.create(
                        store,
                        new FakeEntryLinks(),
                        new JobsActor.Identity("entry-0", "127.0.0.1:1"),
                        new JobTimeLimits(6_000, 120_000, 3_000, 900),
                        new ConfigReadBudget(2_500),
                        MonotonicClock.system(),
                        new EventLog("entry-0"),
                        view,
                        new Random(1)),
                "entry-0",
                2);
        http = new JobsHttp(
                entry::tell,
                view,
                SystemMaterializer.get(entry).materializer(),
                MonotonicClock.system(),
                new EventLog("entry-0"),
                meters,
                true);
    }

    /** Keeps the actor within one message until the end of the test. */
    private void occupyActor() throws Exception {
        CountDownLatch occupied = new CountDownLatch(1);
        CompletableFuture<String> described = new CompletableFuture<>();
        described.thenAccept(text -> {
            occupied.countDown();
            try {
                release.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        entry.tell(new JobsCommand.Describe(described));
        assertTrue(occupied.await(TIMEOUT.toSeconds(), TimeUnit.SECONDS));
    }

    private CompletionStage<HttpResponse> get(String path) {
        return http.handle(HttpRequest.GET(path).addHeader(RawHeader.create("Host", "h")));
    }

    private String bodyOf(CompletionStage<HttpResponse> answer) throws Exception {
        return answer.toCompletableFuture()
                .get(TIMEOUT.toSeconds(), TimeUnit.SECONDS)
                .entity()
                .toStrict(1_000, SystemMaterializer.get(entry).materializer())
                .toCompletableFuture()
                .get(TIMEOUT.toSeconds(), TimeUnit.SECONDS)
                .getData()
                .utf8String();
    }

    private void store(TopicPartition partition, String key, byte[] value) {
        store.append(partition, List.of(new KeyedRecord(key, value)), new AppendCondition.None());
    }

    private static JobSpec job(String id) {
        JobStep step = new JobStep(
                1,
                new Resources(100, 100, 0),
                100,
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
        return new JobSpec(id, "q", "text", List.of(step), 0, 0, 0, System.currentTimeMillis());
    }
}
