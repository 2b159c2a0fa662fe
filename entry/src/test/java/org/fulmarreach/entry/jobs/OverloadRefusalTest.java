package org.fulmarreach.entry.jobs;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;

import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.awaitility.Awaitility;
import org.fulmarreach.core.jobs.JobSpec;
import org.fulmarreach.core.jobs.JobStep;
import org.fulmarreach.core.jobs.JobTimeLimits;
import org.fulmarreach.core.jobs.QueuePolicy;
import org.fulmarreach.core.model.Resources;
import org.fulmarreach.core.overload.PoolLoad;
import org.fulmarreach.core.overload.RankClass;
import org.fulmarreach.platform.store.AppendCondition;
import org.fulmarreach.platform.store.KeyedRecord;
import org.fulmarreach.platform.store.TopicPartition;
import org.fulmarreach.protocol.io.JobRecords;
import org.fulmarreach.protocol.io.JobTopics;
import org.fulmarreach.protocol.io.PoolLoadRecords;
import org.fulmarreach.runtime.log.EventLog;
import org.fulmarreach.runtime.util.ActorSystems;
import org.fulmarreach.runtime.util.MonotonicClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Refusals at an entry that follows a leader whose pool has too little room for anything. Guards against a caller who
 * is told that a job never runs although it is stored or may be, and against refusals without a fresh load.
 */
class OverloadRefusalTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final long TERM = 5;
    private static final int INTERVAL_MS = 200;
    private static final QueuePolicy POLICY = new QueuePolicy("s", 1, 2, 300, 1.5);

    private final FakeStore store = new FakeStore();
    private final CutStore path = new CutStore(store);
    private final AtomicLong number = new AtomicLong();
    private final ScheduledExecutorService leader = Executors.newSingleThreadScheduledExecutor();
    private volatile boolean writesLoad = true;
    private ActorSystem<JobsCommand> entry;

    @AfterEach
    void stop() {
        leader.shutdownNow();
        entry.terminate();
    }

    @Test
    void refusedJobIsNotStored() throws Exception {
        startWithShortage();
        WriteOutcome.Overloaded refused = assertInstanceOf(WriteOutcome.Overloaded.class, submit("job-1", true));
        assertTrue(refused.decision().retryAfterMs() >= 1_000, refused::toString);
        assertFalse(isStored("job-1"));
        assertFalse(describe().contains("job-1"), "a refused job is in the registry");
    }

    /** The pool may have room when a refused caller returns; that he was refused before must not matter. */
    @Test
    void refusedJobIsAcceptedOnceThereIsRoom() throws Exception {
        startWithShortage();
        assertInstanceOf(WriteOutcome.Overloaded.class, submit("job-1", true));
        leader.shutdownNow();
        leader.awaitTermination(5, TimeUnit.SECONDS);
        appendLoad(PoolLoad.NO_SHORTAGE);
        Awaitility.await().atMost(TIMEOUT).until(() -> !describe().contains("ServiceLoad"));
        assertInstanceOf(WriteOutcome.Stored.class, submit("job-1", true));
        assertTrue(isStored("job-1"));
    }

    @Test
    void nothingIsRefusedIfTheOperatorHasTurnedThatOff() throws Exception {
        startWithShortage();
        assertInstanceOf(WriteOutcome.Stored.class, submit("job-1", false));
    }

    /** The leader writes no load any more, or is gone; what it last wrote says nothing of the pool after a while. */
    @Test
    void nothingIsRefusedByAnOldLoad() throws Exception {
        startWithShortage();
        writesLoad = false;
        Awaitility.await().atMost(TIMEOUT).until(() -> describe().contains("poolLoad=outdated"));
        assertInstanceOf(WriteOutcome.Stored.class, submit("job-1", true));
    }

    /** An entry that starts reads the last record of a leader, whatever its age is. */
    @Test
    void nothingIsRefusedByARecordOfUnknownAge() throws Exception {
        appendLoad(shortage());
        writesLoad = false;
        startLeader();
        start();
        Awaitility.await().atMost(TIMEOUT).until(() -> describe().contains("ServiceLoad"));
        assertInstanceOf(WriteOutcome.Stored.class, submit("job-1", true));
    }

    @Test
    void recordThatCannotBeDecodedIsIgnored() throws Exception {
        startWithShortage();
        append(JobPartitions.PROGRESS, JobTopics.POOL_LOAD_KEY, new byte[] {1, 2, 3});
        assertInstanceOf(WriteOutcome.Overloaded.class, submit("job-1", true));
        append(JobPartitions.PROGRESS, JobTopics.POOL_LOAD_KEY, new byte[0]);
        assertInstanceOf(WriteOutcome.Overloaded.class, submit("job-2", true));
    }

    /** The first answer was lost after another entry had stored the job, which this entry has not read yet. */
    @Test
    void repeatOfAJobThatAnotherEntryHasStoredIsNotRefused() throws Exception {
        startWithShortage();
        store.failWaitingReads(JobPartitions.REQUESTS);
        append(JobPartitions.REQUESTS, JobTopics.jobKey("job-1"), JobRecords.encode(job("job-1")));
        assertInstanceOf(WriteOutcome.Stored.class, submit("job-1", true));
    }

    /** The first append at this entry has had no answer; it is repeated, and may be executed late. */
    @Test
    void repeatDuringAnAppendIsNotRefused() throws Exception {
        startWithShortage();
        path.set(CutStore.Path.SILENT);
        CompletableFuture<WriteOutcome> first = submitAsync("job-1", false);
        // The entry has begun the append once it answers this.
        describe();
        path.set(CutStore.Path.OPEN);
        assertFalse(submit("job-1", true) instanceof WriteOutcome.Overloaded, "the append is in flight");
        assertFalse(first.get(10, TimeUnit.SECONDS) instanceof WriteOutcome.Overloaded);
    }

    /** Whether the job is stored elsewhere cannot be told while the log cannot be read. */
    @Test
    void nothingIsRefusedWhileTheLogCannotBeRead() throws Exception {
        startWithShortage();
        store.silenceReads(JobPartitions.REQUESTS);
        assertInstanceOf(WriteOutcome.Stored.class, submit("job-1", true));
    }

    /** A record of an append without an answer may appear late, so its job is not refused for a while. */
    @Test
    void undecidedSubmissionIsOnTheWayForAWhile() {
        SubmissionsOnTheWay onTheWay = new SubmissionsOnTheWay();
        onTheWay.begin("a");
        onTheWay.begin("a");
        assertTrue(onTheWay.contains("a", 0));
        onTheWay.end("a", new WriteOutcome.Refused("status 503"), 0);
        assertTrue(onTheWay.contains("a", 0), "the second append is in flight");
        onTheWay.end("a", new WriteOutcome.Undecided("no answer"), 1_000);
        assertTrue(onTheWay.contains("a", 60_999));
        assertFalse(onTheWay.contains("b", 60_999));
        assertFalse(onTheWay.contains("a", 61_000));
        onTheWay.begin("b");
        onTheWay.end("b", new WriteOutcome.Refused("status 503"), 0);
        assertFalse(onTheWay.contains("b", 0));
        startIdle();
    }

    @Test
    void storedLoadIsReadAsWritten() {
        PoolLoadRecords.Stored stored = new PoolLoadRecords.Stored(TERM, 3, shortage());
        byte[] bytes = PoolLoadRecords.encode(stored);
        assertEquals(stored, PoolLoadRecords.decode(bytes));
        assertTrue(bytes.length < 300, bytes.length + " bytes");
        startIdle();
    }

    /*
     * Helpers
     */

    private void startIdle() {
        entry = ActorSystems.construct(Behaviors.empty(), "idle", 1);
    }

    private void startWithShortage() throws Exception {
        startLeader();
        start();
        Awaitility.await().atMost(TIMEOUT).until(() -> describe().contains("poolLoad=valid"));
    }

    /** Starts a leader that writes its record, or the load in its place. */
    private void startLeader() {
        appendLeader();
        leader.scheduleAtFixedRate(
                () -> {
                    if (writesLoad) {
                        appendLoad(shortage());
                    } else {
                        appendLeader();
                    }
                },
                0,
                INTERVAL_MS,
                TimeUnit.MILLISECONDS);
    }

    private void appendLeader() {
        append(JobPartitions.PROGRESS, JobTopics.LEADER_KEY, JobRecords.encodeLeader(TERM, "entry-1", "127.0.0.1:2"));
    }

    private void start() {
        String config = "{\"version\":7,\"routes\":[{\"name\":\"q\",\"host\":\"h\",\"path_prefix\":\"/q/\","
                + "\"service\":\"s\",\"max_attempts\":2}],\"services\":[],\"limits\":{}}";
        append(TopicPartition.OPERATOR, TopicPartition.CONFIG_KEY, config.getBytes(StandardCharsets.UTF_8));
        entry = ActorSystems.construct(
                JobsActor.create(
                        path,
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

    /** Returns a load by which work of higher priority takes an hour. */
    private static PoolLoad shortage() {
        PoolLoad.KindLoad full = new PoolLoad.KindLoad(
                16_000, 0, 15_000, List.of(new PoolLoad.Backlog(0, RankClass.ON_TIME, 16 * 3_600_000)));
        PoolLoad.KindLoad none = new PoolLoad.KindLoad(16_000, 0, 0, List.of());
        return new PoolLoad(List.of(new PoolLoad.ServiceLoad("s", 1, full, none)));
    }

    private void appendLoad(PoolLoad load) {
        append(
                JobPartitions.PROGRESS,
                JobTopics.POOL_LOAD_KEY,
                PoolLoadRecords.encode(new PoolLoadRecords.Stored(TERM, number.incrementAndGet(), load)));
    }

    private void append(TopicPartition partition, String key, byte[] value) {
        store.append(partition, List.of(new KeyedRecord(key, value)), new AppendCondition.None());
    }

    private boolean isStored(String id) {
        return store.newestKeys(JobPartitions.REQUESTS).contains(JobTopics.jobKey(id));
    }

    private WriteOutcome submit(String id, boolean refusable) throws Exception {
        return submitAsync(id, refusable).get(10, TimeUnit.SECONDS);
    }

    private CompletableFuture<WriteOutcome> submitAsync(String id, boolean refusable) {
        CompletableFuture<WriteOutcome> outcome = new CompletableFuture<>();
        long deadlineAtMs = MonotonicClock.system().nowMs() + 8_000;
        entry.tell(new JobsCommand.Submit(job(id), deadlineAtMs, refusable, outcome));
        return outcome;
    }

    private static JobSpec job(String id) {
        Resources small = new Resources(100, 100, 0);
        JobStep step =
                new JobStep(1, small, 100, List.of(), false, false, false, "", "", 0, false, false, "", 0, false, 0);
        return new JobSpec(id, "q", "text", List.of(step), 0, 0, 0, System.currentTimeMillis(), POLICY);
    }

    private String describe() throws Exception {
        CompletableFuture<String> described = new CompletableFuture<>();
        entry.tell(new JobsCommand.Describe(described));
        return described.get(5, TimeUnit.SECONDS);
    }
}
