package org.fulmarreach.entry.jobs;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Callable;
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
import org.fulmarreach.core.jobs.WorkerReport;
import org.fulmarreach.core.model.Resources;
import org.fulmarreach.platform.store.AppendCondition;
import org.fulmarreach.platform.store.KeyedRecord;
import org.fulmarreach.platform.store.TopicPartition;
import org.fulmarreach.protocol.io.GuardMessages;
import org.fulmarreach.protocol.io.JobRecords;
import org.fulmarreach.protocol.io.JobTopics;
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
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * An entry that reads the newest records again, because the store has forgotten records that the entry had not read.
 * Guards against jobs that are lost or run twice by what the entry infers from such a load.
 */
class LogReloadTest {
    private static final Resources SMALL = new Resources(100, 100, 0);
    private static final String CONFIG = "{\"version\":7,\"routes\":[{\"name\":\"q\",\"host\":\"h\","
            + "\"path_prefix\":\"/q/\",\"service\":\"s\",\"max_attempts\":2}],\"services\":[],\"limits\":{}}";

    private final FakeStore store = new FakeStore();
    private final FakeLink guard = new FakeLink();
    private final List<WorkerReport.Running> running = new ArrayList<>();
    private ActorSystem<JobsCommand> entry;

    @AfterEach
    void stop() {
        entry.terminate();
    }

    /** A job that was stored during the load is on no page; dropping it dropped its progress, and it ran again. */
    @Test
    void jobThatIsStoredDuringTheLoadIsKept() throws Exception {
        start();
        await(() -> describe().contains("leads=true"));
        submit("job-1");
        awaitStart("job-1.0.0.0");
        store.holdLoads(JobPartitions.REQUESTS);
        store.removeAndExpire(JobPartitions.REQUESTS, JobTopics.jobKey("other"));
        await(() -> store.heldAnswers() == 1);
        submit("job-2");
        awaitStart("job-2.0.0.0");

        store.releaseAnswers();
        await(() -> describe().contains("requestsLoaded=true"));
        reportForOneSecond();
        assertEquals(List.of("job-1.0.0.0", "job-2.0.0.0"), guard.starts());
        assertEquals(List.of(), guard.stops());
        assertEquals(new JobsCommand.StatusAnswer.Known(JobStatus.RUNNING), query("job-1"));
        assertEquals(new JobsCommand.StatusAnswer.Known(JobStatus.RUNNING), query("job-2"));
    }

    /**
     * An entry can be elected although it cannot read the requests. The load that shows the removal of a job then comes
     * during its term, in which the scheduler has taken the job up already.
     */
    @Test
    void leaderDropsAJobWhoseRemovalItMissedBeforeItsTerm() throws Exception {
        keepLeaderAlive();
        appendJob("job-1");
        start();
        await(() -> describe().contains("jobs=1"));
        store.failWaitingReads(JobPartitions.REQUESTS);
        store.removeAndExpire(JobPartitions.REQUESTS, JobTopics.jobKey("job-1"));
        await(() -> describe().contains("leads=true"));
        reportForOneSecond();

        store.failWaitingReads(null);
        await(() -> describe().contains("jobs=0"));
        reportForOneSecond();
        assertEquals(List.of(), guard.starts());
        // A leader that schedules the job on writes its progress again, and no leader would ever remove it.
        assertFalse(store.newestKeys(JobPartitions.PROGRESS).contains(JobTopics.progressKey("job-1")));
    }

    /** Progress without requests was kept when its removal was missed: a new job of the same id never ran. */
    @Test
    void progressWhoseRemovalWasMissedIsNotThatOfANewJob() throws Exception {
        keepLeaderAlive();
        appendCompletion("job-1");
        start();
        await(() -> describe().contains("progressLoaded=true"));
        store.removeAndExpire(JobPartitions.PROGRESS, JobTopics.progressKey("job-1"));
        await(() -> describe().contains("leads=true"));
        submit("job-1");
        assertEquals(new JobsCommand.StatusAnswer.Known(JobStatus.QUEUED), query("job-1"));
        awaitStart("job-1.0.0.0");
    }

    /** The same for a removal that was read. */
    @Test
    void removedProgressIsNotThatOfANewJob() throws Exception {
        keepLeaderAlive();
        appendCompletion("job-1");
        start();
        await(() -> describe().contains("progressLoaded=true"));
        store.append(
                JobPartitions.PROGRESS,
                List.of(KeyedRecord.removal(JobTopics.progressKey("job-1"))),
                new AppendCondition.None());
        await(() -> describe().contains("leads=true"));
        submit("job-1");
        awaitStart("job-1.0.0.0");
    }

    /** The requests of a job are removed before its progress. Until that is read, a job without progress looks new. */
    @Test
    void jobWhoseProgressWasRemovedIsNotTakenForANewOne() throws Exception {
        keepLeaderAlive();
        appendJob("job-1");
        appendCompletion("job-1");
        start();
        JobsCommand.StatusAnswer completed = new JobsCommand.StatusAnswer.Known(JobStatus.COMPLETED);
        await(() -> query("job-1").equals(completed));
        store.failWaitingReads(JobPartitions.REQUESTS);
        store.removeAndExpire(JobPartitions.PROGRESS, JobTopics.progressKey("job-1"));
        await(() -> describe().contains("leads=true"));
        assertEquals(completed, query("job-1"));
        store.failWaitingReads(null);
        reportForOneSecond();
        assertEquals(List.of(), guard.starts());
    }

    /** The answer to a read for a query may be older than a load that ended before it arrived. */
    @Test
    void lateAnswerToAQueryDoesNotBringARemovedJobBack() throws Exception {
        keepLeaderAlive();
        start();
        await(() -> describe().contains("requestsLoaded=true"));
        store.failWaitingReads(JobPartitions.REQUESTS);
        // The read that is in flight may still contain a record.
        Thread.sleep(100);
        appendJob("job-1");
        store.holdReadsWithoutWait(JobPartitions.REQUESTS);
        CompletableFuture<JobsCommand.StatusAnswer> answer = new CompletableFuture<>();
        entry.tell(new JobsCommand.Query("job-2", answer));
        await(() -> store.heldAnswers() == 1);
        int loads = store.loads(JobPartitions.REQUESTS);
        store.removeAndExpire(JobPartitions.REQUESTS, JobTopics.jobKey("job-1"));
        store.failWaitingReads(null);
        await(() -> store.loads(JobPartitions.REQUESTS) > loads && describe().contains("requestsLoaded=true"));

        store.releaseAnswers();
        assertEquals(new JobsCommand.StatusAnswer.Missing(), answer.get(5, TimeUnit.SECONDS));
        assertTrue(describe().contains("jobs=0"), describe());
    }

    /*
     * Helpers
     */

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

    private static void await(Callable<Boolean> condition) {
        Awaitility.await()
                .pollInterval(Duration.ofMillis(5))
                .atMost(Duration.ofSeconds(10))
                .until(condition);
    }

    /** Lets the worker report until the leader starts a task on it, which the worker lists from then on. */
    private void awaitStart(String task) {
        await(() -> {
            report();
            return guard.starts().contains(task);
        });
        running.add(new WorkerReport.Running(task, 1, "", 1, 50));
        report();
    }

    private void reportForOneSecond() throws Exception {
        for (int i = 0; i < 10; i++) {
            report();
            Thread.sleep(100);
        }
    }

    private void report() {
        WorkerReport worker = new WorkerReport(
                new WorkerRef("guard", "worker", 1),
                "s",
                "z",
                new Resources(1_000, 1_000, 0),
                List.of("kind", "rack"),
                false,
                true,
                false,
                List.copyOf(running),
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

    private void keepLeaderAlive() {
        append(JobPartitions.PROGRESS, JobTopics.LEADER_KEY, JobRecords.encodeLeader(1, "leader", "127.0.0.1:9"));
    }

    private void appendJob(String id) {
        append(JobPartitions.REQUESTS, JobTopics.jobKey(id), JobRecords.encode(job(id)));
    }

    private void appendCompletion(String id) {
        TaskState done = new TaskState(TaskPhase.DONE, 1, new WorkerRef("guard", "worker", 1), 0, "");
        JobSnapshot snapshot = new JobSnapshot(List.of(done), System.currentTimeMillis(), true);
        append(JobPartitions.PROGRESS, JobTopics.progressKey(id), JobRecords.encode(snapshot));
    }

    private void append(TopicPartition partition, String key, byte[] value) {
        store.append(partition, List.of(new KeyedRecord(key, value)), new AppendCondition.None());
    }

    private void submit(String id) throws Exception {
        CompletableFuture<WriteOutcome> outcome = new CompletableFuture<>();
        entry.tell(new JobsCommand.Submit(job(id), MonotonicClock.system().nowMs() + 5_000, outcome));
        assertInstanceOf(WriteOutcome.Stored.class, outcome.get(10, TimeUnit.SECONDS));
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

    private static JobSpec job(String id) {
        JobStep step =
                new JobStep(1, SMALL, 100, List.of(), false, false, false, "", "", 0, false, false, "", 0, false, 0);
        return new JobSpec(id, "q", "text", List.of(step), 0, 0, 0, System.currentTimeMillis());
    }
}
