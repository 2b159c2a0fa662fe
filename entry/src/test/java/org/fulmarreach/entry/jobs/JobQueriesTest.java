package org.fulmarreach.entry.jobs;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

import org.apache.pekko.actor.typed.ActorSystem;
import org.awaitility.Awaitility;
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

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against answers that an entry gives from records of the log that are too old or incomplete for them. */
class JobQueriesTest {
    private static final String CONFIG = "{\"version\":7,\"routes\":[{\"name\":\"q\",\"host\":\"h\","
            + "\"path_prefix\":\"/q/\",\"service\":\"s\",\"max_attempts\":2}],\"services\":[],\"limits\":{}}";

    /** A count may be so old. */
    private static final int MAX_COUNT_AGE_MS = 2_000;

    private final FakeStore store = new FakeStore();
    private ActorSystem<JobsCommand> entry;

    @AfterEach
    void stop() {
        entry.terminate();
    }

    /** An entry that had not loaded the requests yet answered that no job waits. */
    @Test
    void countIsRefusedWhileRequestsAreLoading() throws Exception {
        appendJob("job-1");
        store.silenceLoads(JobPartitions.REQUESTS);
        start();
        assertInstanceOf(JobsCommand.CountAnswer.Unavailable.class, count());
    }

    /** An entry counted from what it had read before its reads got no answer any more, without a limit on its age. */
    @Test
    void countIncludesJobsThatTheEntryHasNotReadForLong() throws Exception {
        followLeader();
        store.silenceReads(JobPartitions.REQUESTS);
        // The read that is in flight may still contain a record.
        Thread.sleep(100);
        appendJob("job-1");
        Thread.sleep(MAX_COUNT_AGE_MS);
        store.silenceReads(null);
        keepLeaderAlive();
        assertEquals(new JobsCommand.CountAnswer.Counted(1), countOnceProgressIsRecent());
    }

    /** Without recent progress an entry cannot tell which jobs have begun. */
    @Test
    void countIsRefusedWhileProgressCannotBeRead() throws Exception {
        followLeader();
        appendJob("job-1");
        store.silenceReads(JobPartitions.PROGRESS);
        // A record that the entry cannot read keeps it from being elected, which would show that it knows all progress.
        Thread.sleep(100);
        keepLeaderAlive();
        Thread.sleep(MAX_COUNT_AGE_MS + 500);
        assertInstanceOf(JobsCommand.CountAnswer.Unavailable.class, count());
    }

    /** An entry that had loaded the requests but not yet the progress showed completed jobs as queued. */
    @Test
    void statusIsRefusedWhileProgressIsLoading() throws Exception {
        appendJob("job-1");
        TaskState done = new TaskState(TaskPhase.DONE, 1, new WorkerRef("guard", "worker", 1), 0, "");
        append(
                JobPartitions.PROGRESS,
                JobTopics.progressKey("job-1"),
                JobRecords.encode(new JobSnapshot(List.of(done), System.currentTimeMillis(), true)));
        store.silenceLoads(JobPartitions.PROGRESS);
        start();
        Awaitility.await().atMost(Duration.ofSeconds(10)).until(() -> describe().contains("requestsLoaded=true"));
        assertInstanceOf(JobsCommand.StatusAnswer.Unavailable.class, query("job-1"));
    }

    /** Each count that came while the view was old read the log for itself, at the cost of a call. */
    @Test
    void countsThatArriveTogetherShareTheirReads() throws Exception {
        followLeader();
        store.silenceReads(JobPartitions.REQUESTS);
        Thread.sleep(MAX_COUNT_AGE_MS);
        store.silenceReads(null);
        keepLeaderAlive();
        int before = store.reads(JobPartitions.REQUESTS);
        List<CompletableFuture<JobsCommand.CountAnswer>> counts = new ArrayList<>();
        for (int i = 0; i < 50; i++) {
            counts.add(requestCount());
        }
        for (CompletableFuture<JobsCommand.CountAnswer> each : counts) {
            each.get(5, TimeUnit.SECONDS);
        }
        int reads = store.reads(JobPartitions.REQUESTS) - before;
        assertTrue(reads <= 4, reads + " reads");
    }

    /** Each waiting query started another load of all requests when the store had forgotten what it was to read. */
    @Test
    void queriesThatFindTheLogExpiredLoadItOnce() throws Exception {
        followLeader();
        store.silenceReads(JobPartitions.REQUESTS);
        Thread.sleep(MAX_COUNT_AGE_MS);
        store.silenceReads(null);
        store.removeAndExpire(JobPartitions.REQUESTS, JobTopics.jobKey("job-1"));
        int before = store.loads(JobPartitions.REQUESTS);
        List<CompletableFuture<JobsCommand.CountAnswer>> counts = new ArrayList<>();
        for (int i = 0; i < 50; i++) {
            counts.add(requestCount());
        }
        for (CompletableFuture<JobsCommand.CountAnswer> each : counts) {
            each.get(5, TimeUnit.SECONDS);
        }
        int loads = store.loads(JobPartitions.REQUESTS) - before;
        assertTrue(loads <= 2, loads + " loads");
    }

    /** An entry that ceased to lead refused the status of jobs until it had read all progress again. */
    @Test
    void formerLeaderStillShowsWhatTheStoreHasAcknowledged() throws Exception {
        appendJob("job-1");
        start();
        Awaitility.await().atMost(Duration.ofSeconds(10)).until(() -> describe().contains("leads=true"));
        store.silenceLoads(JobPartitions.PROGRESS);
        store.append(
                JobPartitions.PROGRESS,
                List.of(new KeyedRecord(JobTopics.LEADER_KEY, JobRecords.encodeLeader(99, "other", "127.0.0.1:9"))),
                new AppendCondition.NewEpoch(JobTopics.LEADER_PRODUCER, 99, -1));
        Awaitility.await().atMost(Duration.ofSeconds(10)).until(() -> describe().contains("leads=false"));
        assertEquals(new JobsCommand.StatusAnswer.Known(JobStatus.QUEUED), query("job-1"));
    }

    /** Progress that is known to be final needs no recent read. */
    @Test
    void statusOfACompletedJobIsKnownWithoutRecentProgress() throws Exception {
        followLeader();
        appendJob("job-1");
        TaskState done = new TaskState(TaskPhase.DONE, 1, new WorkerRef("guard", "worker", 1), 0, "");
        append(
                JobPartitions.PROGRESS,
                JobTopics.progressKey("job-1"),
                JobRecords.encode(new JobSnapshot(List.of(done), System.currentTimeMillis(), true)));
        JobsCommand.StatusAnswer completed = new JobsCommand.StatusAnswer.Known(JobStatus.COMPLETED);
        Awaitility.await()
                .atMost(Duration.ofSeconds(10))
                .until(() -> query("job-1").equals(completed));
        store.silenceReads(JobPartitions.PROGRESS);
        Thread.sleep(MAX_COUNT_AGE_MS);
        assertEquals(completed, query("job-1"));
    }

    /*
     * Helpers
     */

    private void followLeader() throws Exception {
        keepLeaderAlive();
        start();
        Awaitility.await()
                .atMost(Duration.ofSeconds(10))
                .until(() -> count().equals(new JobsCommand.CountAnswer.Counted(0)));
    }

    private void keepLeaderAlive() {
        append(JobPartitions.PROGRESS, JobTopics.LEADER_KEY, JobRecords.encodeLeader(1, "leader", "127.0.0.1:9"));
    }

    private JobsCommand.CountAnswer countOnceProgressIsRecent() {
        return Awaitility.await()
                .atMost(Duration.ofSeconds(10))
                .until(this::count, JobsCommand.CountAnswer.Counted.class::isInstance);
    }

    private void start() {
        append(TopicPartition.OPERATOR, TopicPartition.CONFIG_KEY, CONFIG.getBytes(StandardCharsets.UTF_8));
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
    }

    private void appendJob(String id) {
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
        JobSpec job = new JobSpec(id, "q", "text", List.of(step), 0, 0, 0, System.currentTimeMillis());
        append(JobPartitions.REQUESTS, JobTopics.jobKey(id), JobRecords.encode(job));
    }

    private void append(TopicPartition partition, String key, byte[] value) {
        store.append(partition, List.of(new KeyedRecord(key, value)), new AppendCondition.None());
    }

    private JobsCommand.CountAnswer count() throws Exception {
        return requestCount().get(5, TimeUnit.SECONDS);
    }

    private CompletableFuture<JobsCommand.CountAnswer> requestCount() {
        CompletableFuture<JobsCommand.CountAnswer> answer = new CompletableFuture<>();
        entry.tell(new JobsCommand.CountWaiting("q", answer));
        return answer;
    }

    private JobsCommand.StatusAnswer query(String id) throws Exception {
        CompletableFuture<JobsCommand.StatusAnswer> answer = new CompletableFuture<>();
        entry.tell(new JobsCommand.Query(id, answer));
        return answer.get(5, TimeUnit.SECONDS);
    }

    private String describe() throws Exception {
        CompletableFuture<String> described = new CompletableFuture<>();
        entry.tell(new JobsCommand.Describe(described));
        return described.get(5, TimeUnit.SECONDS);
    }
}
