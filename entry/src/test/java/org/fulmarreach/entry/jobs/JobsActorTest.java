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
import org.fulmarreach.core.jobs.RunEnd;
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
import org.fulmarreach.protocol.thrift.ForwardOutcome;
import org.fulmarreach.protocol.thrift.ForwardedRequest;
import org.fulmarreach.protocol.thrift.Frame;
import org.fulmarreach.protocol.thrift.GuardReport;
import org.fulmarreach.protocol.thrift.WorkerStatus;
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

/** Leader election and answers to callers with several entries on a shared in-memory store. */
class JobsActorTest {
    private static final String CONFIG = """
            {"version":7,"routes":[{"name":"q","host":"h","path_prefix":"/q/","service":"s","max_attempts":2}],
             "services":[],"limits":{}}""";

    private static final Resources SMALL = new Resources(100, 100, 0);
    private static final Resources LARGE = new Resources(1_000, 1_000, 0);
    private static final Resources ROOM_FOR_BOTH = new Resources(1_100, 1_100, 0);

    /** Time after an acknowledged cancellation by which no task of the job may start any more. */
    private static final long CANCEL_BOUND_MS = 3_000;

    private static final long RETENTION_MS = 120_000;
    private static final long SHORT_RETENTION_MS = 200;

    /** Age of the leader's view of cancellations above which it starts nothing. */
    private static final long MAX_VIEW_AGE_MS =
            new JobTimeLimits(6_000, RETENTION_MS, CANCEL_BOUND_MS, 900).maxCancellationViewAgeMs();

    /** Longer than the maximum age of the view, shorter than the timeout of a read. */
    private static final int SLOW_ANSWER_MS = 1_400;

    /** Longer than two keep-alive intervals of a leader, shorter than the election timeout. */
    private static final int FAILED_LEADER_SILENCE_MS = 1_000;

    private final FakeStore store = new FakeStore();
    private final List<ActorSystem<JobsCommand>> entries = new ArrayList<>();

    @AfterEach
    void stop() {
        entries.forEach(ActorSystem::terminate);
    }

    /** The store answers a repeated append of a producer and epoch like the first, so two candidates could both win. */
    @Test
    void simultaneousCandidatesDoNotBothLead() throws Exception {
        putConfig();
        for (int i = 0; i < 4; i++) {
            start("entry-" + i, new Random(1));
        }
        Awaitility.await().atMost(Duration.ofSeconds(10)).until(() -> countLeaders() > 0);
        submit(entries.get(0), "job-1");
        Awaitility.await()
                .during(Duration.ofMillis(500))
                .atMost(Duration.ofSeconds(10))
                .until(() -> countLeaders() == 1);
    }

    @Test
    void leaderThatStopsIsReplacedAtOnce() throws Exception {
        putConfig();
        start("entry-0", new Random(1));
        Awaitility.await().atMost(Duration.ofSeconds(10)).until(() -> countLeaders() == 1);
        start("entry-1", new Random(2));
        CompletableFuture<Void> drained = new CompletableFuture<>();
        entries.get(0).tell(new JobsCommand.Drain(drained));
        drained.get(5, TimeUnit.SECONDS);
        Awaitility.await().atMost(Duration.ofSeconds(5)).until(() -> leads(entries.get(1)));
    }

    /** After the loss of all processes there is no leader, so a pending read must not delay the election. */
    @Test
    void loneEntryLeadsBeforeItsFirstReadEnds() throws Exception {
        putConfig();
        store.holdReads();
        start("entry-0", new Random(1));
        Awaitility.await().atMost(Duration.ofSeconds(10)).until(() -> countLeaders() == 1);
    }

    @Test
    void acceptedJobIsKnownAtEveryEntry() throws Exception {
        putConfig();
        start("entry-0", new Random(1));
        start("entry-1", new Random(2));
        Awaitility.await().atMost(Duration.ofSeconds(10)).until(() -> countLeaders() == 1);
        assertInstanceOf(WriteOutcome.Stored.class, submit(entries.get(0), "job-1"));
        assertEquals(new JobsCommand.StatusAnswer.Known(JobStatus.QUEUED), query(entries.get(1), "job-1"));
    }

    @Test
    void unknownJobIsMissing() throws Exception {
        putConfig();
        start("entry-0", new Random(1));
        Awaitility.await().atMost(Duration.ofSeconds(10)).until(() -> countLeaders() == 1);
        assertEquals(new JobsCommand.StatusAnswer.Missing(), query(entries.get(0), "job-9"));
    }

    /**
     * An answer of the store holds a limited amount of records. A job behind the first answer was reported as missing,
     * which callers take as proof that it never runs.
     */
    @Test
    void jobBehindTheFirstAnswerOfTheStoreIsNotMissing() throws Exception {
        putConfig();
        start("entry-0", new Random(1));
        Awaitility.await().atMost(Duration.ofSeconds(10)).until(() -> countLeaders() == 1);
        store.delayReads(JobPartitions.REQUESTS, SLOW_ANSWER_MS);
        store.limitAnswers(1);
        Thread.sleep(100);
        for (String id : List.of("job-1", "job-2", "job-3")) {
            store.append(
                    JobPartitions.REQUESTS,
                    List.of(new KeyedRecord(JobTopics.jobKey(id), JobRecords.encode(job(id)))),
                    new AppendCondition.None());
        }
        CompletableFuture<JobsCommand.StatusAnswer> answer = new CompletableFuture<>();
        entries.get(0).tell(new JobsCommand.Query("job-3", answer));
        assertEquals(new JobsCommand.StatusAnswer.Known(JobStatus.QUEUED), answer.get(10, TimeUnit.SECONDS));
    }

    /** A refusal means that the job never runs, so it requires that no append of the job can have been executed. */
    @Test
    void appendWithoutAnswerIsNeverARefusal() throws Exception {
        putConfig();
        start("entry-0", new Random(1));
        Awaitility.await().atMost(Duration.ofSeconds(10)).until(() -> countLeaders() == 1);
        store.loseAnswers(true);
        CompletableFuture<WriteOutcome> outcome = new CompletableFuture<>();
        entries.get(0).tell(new JobsCommand.Submit(job("job-2"), nowMs() + 600, outcome));
        Thread.sleep(150);
        store.refuse(true);
        store.loseAnswers(false);
        assertInstanceOf(WriteOutcome.Undecided.class, outcome.get(5, TimeUnit.SECONDS));
    }

    @Test
    void refusedAppendIsARefusalAtOnce() throws Exception {
        putConfig();
        start("entry-0", new Random(1));
        Awaitility.await().atMost(Duration.ofSeconds(10)).until(() -> countLeaders() == 1);
        store.refuse(true);
        assertInstanceOf(WriteOutcome.Refused.class, submit(entries.get(0), "job-3"));
    }

    /** Operators were informed that the newer version is active, so an older one must not replace it. */
    @Test
    void olderConfigurationDoesNotReplaceANewerOne() throws Exception {
        putConfig();
        start("entry-0", new Random(1));
        Awaitility.await()
                .atMost(Duration.ofSeconds(10))
                .until(() -> describe(entries.get(0)).contains("config=7"));
        putConfig(CONFIG.replace("\"version\":7", "\"version\":5"));
        Awaitility.await()
                .during(Duration.ofMillis(400))
                .atMost(Duration.ofSeconds(10))
                .until(() -> describe(entries.get(0)).contains("config=7"));
    }

    /**
     * A leader whose reads of requests got no answer while its appends still worked started jobs that another entry had
     * acknowledged as cancelled seconds before.
     */
    @Test
    void leaderThatCannotReadCancellationsStartsNothing() throws Exception {
        putConfig();
        start("entry-0", new Random(1));
        Awaitility.await().atMost(Duration.ofSeconds(10)).until(() -> countLeaders() == 1);
        FakeLink guard = new FakeLink();
        report(entries.get(0), guard);
        submit(entries.get(0), "job-1");
        Awaitility.await()
                .atMost(Duration.ofSeconds(10))
                .until(() -> guard.starts().contains("job-1.0.0.0"));

        store.silenceReads(JobPartitions.REQUESTS);
        submit(entries.get(0), "job-2", LARGE);
        store.append(
                JobPartitions.REQUESTS,
                List.of(new KeyedRecord(JobTopics.cancelKey("job-2"), JobRecords.encodeCancellation(1))),
                new AppendCondition.None());
        Thread.sleep(CANCEL_BOUND_MS);
        reportCapacity(entries.get(0), guard, ROOM_FOR_BOTH);
        Awaitility.await()
                .during(Duration.ofMillis(1_500))
                .atMost(Duration.ofSeconds(10))
                .until(() -> !guard.starts().contains("job-2.0.0.0"));
    }

    /** The transit time of answers was not counted, so jobs started on a view twice as old as allowed. */
    @Test
    void ageOfTheViewIncludesTheTransitTimeOfAnswers() throws Exception {
        putConfig();
        start("entry-0", new Random(1));
        Awaitility.await().atMost(Duration.ofSeconds(10)).until(() -> countLeaders() == 1);
        FakeLink guard = new FakeLink();
        report(entries.get(0), guard);
        submit(entries.get(0), "job-1");
        Awaitility.await()
                .atMost(Duration.ofSeconds(10))
                .until(() -> guard.starts().contains("job-1.0.0.0"));

        submit(entries.get(0), "job-2", LARGE);
        store.delayReads(JobPartitions.REQUESTS, SLOW_ANSWER_MS);
        // By now a read is in flight whose answer does not contain the cancellation.
        Thread.sleep(100);
        store.append(
                JobPartitions.REQUESTS,
                List.of(new KeyedRecord(JobTopics.cancelKey("job-2"), JobRecords.encodeCancellation(1))),
                new AppendCondition.None());
        Thread.sleep(2 * MAX_VIEW_AGE_MS);
        reportCapacity(entries.get(0), guard, ROOM_FOR_BOTH);
        Awaitility.await()
                .during(Duration.ofMillis(1_500))
                .atMost(Duration.ofSeconds(10))
                .until(() -> !guard.starts().contains("job-2.0.0.0"));
    }

    /** Starts that are held back while the store does not answer must not be lost, since guards do not request them. */
    @Test
    void heldStartIsSentAfterTheNextAnswer() throws Exception {
        putConfig();
        start("entry-0", new Random(1));
        Awaitility.await().atMost(Duration.ofSeconds(10)).until(() -> countLeaders() == 1);
        FakeLink guard = new FakeLink();
        report(entries.get(0), guard);
        submit(entries.get(0), "job-1");
        Awaitility.await()
                .atMost(Duration.ofSeconds(10))
                .until(() -> guard.starts().contains("job-1.0.0.0"));

        submit(entries.get(0), "job-2", LARGE);
        store.delayReads(JobPartitions.REQUESTS, 2 * SLOW_ANSWER_MS);
        Thread.sleep(100 + MAX_VIEW_AGE_MS + 100);
        reportCapacity(entries.get(0), guard, ROOM_FOR_BOTH);
        Thread.sleep(100);
        assertFalse(guard.starts().contains("job-2.0.0.0"));
        store.delayReads(JobPartitions.REQUESTS, 0);
        Awaitility.await().atMost(Duration.ofSeconds(10)).until(() -> {
            // Guards report regularly; a worker without a report for 1.6 s gets no work.
            reportCapacity(entries.get(0), guard, ROOM_FOR_BOTH);
            return guard.starts().contains("job-2.0.0.0");
        });
    }

    /**
     * A new leader whose reads of requests lagged took the listed end of a job that it did not know yet as handled. The
     * guard then let the worker forget the end, and the task was started again once the job was read.
     */
    @Test
    void newLeaderAcknowledgesNoEndsBeforeItHasReadAllRequests() throws Exception {
        putConfig();
        start("entry-0", new Random(1));
        Awaitility.await().atMost(Duration.ofSeconds(10)).until(() -> countLeaders() == 1);
        start("entry-1", new Random(2));
        Awaitility.await()
                .atMost(Duration.ofSeconds(10))
                .until(() -> describe(entries.get(1)).contains("leader=entry-0"));
        store.delayReads(JobPartitions.REQUESTS, SLOW_ANSWER_MS);
        // By now a read is in flight whose answer does not contain the job.
        Thread.sleep(100);
        store.append(
                JobPartitions.REQUESTS,
                List.of(new KeyedRecord(JobTopics.jobKey("job-1"), JobRecords.encode(job("job-1")))),
                new AppendCondition.None());
        entries.get(0).tell(new JobsCommand.Drain(new CompletableFuture<>()));
        Awaitility.await().atMost(Duration.ofSeconds(10)).until(() -> leads(entries.get(1)));
        FakeLink guard = new FakeLink();
        WorkerReport.Ended end = new WorkerReport.Ended(1, "job-1.0.0.0", 1, RunEnd.DONE, "");
        Awaitility.await()
                .during(Duration.ofMillis(600))
                .atMost(Duration.ofSeconds(10))
                .until(() -> {
                    report(entries.get(1), guard, SMALL, List.of(end));
                    return guard.acknowledgedEnd() == 0;
                });
        assertTrue(guard.grants() > 0, "the lease of the worker is not extended meanwhile");
        Awaitility.await().atMost(Duration.ofSeconds(10)).until(() -> {
            report(entries.get(1), guard, SMALL, List.of(end));
            return guard.acknowledgedEnd() == 1;
        });
        assertEquals(new JobsCommand.StatusAnswer.Known(JobStatus.COMPLETED), query(entries.get(1), "job-1"));
    }

    /**
     * An entry that did not lead left the reports of guards unanswered, so a guard that dialed it noticed only by the
     * silence of the connection; with two of three entries not leading, a hand-over took up to 12 s.
     */
    @Test
    void guardAtAnEntryThatDoesNotLeadIsToldTheLeader() throws Exception {
        putConfig();
        start("entry-0", new Random(1));
        Awaitility.await().atMost(Duration.ofSeconds(10)).until(() -> countLeaders() == 1);
        start("entry-1", new Random(2));
        Awaitility.await()
                .atMost(Duration.ofSeconds(10))
                .until(() -> describe(entries.get(1)).contains("leader=entry-0"));
        FakeLink guard = new FakeLink();
        report(entries.get(1), guard);
        Awaitility.await()
                .atMost(Duration.ofSeconds(2))
                .until(() -> guard.leaderHints().equals(List.of("127.0.0.1:1")));
    }

    /** A guard that lost its leader must not have to search for the next one while the election is under way. */
    @Test
    void guardThatReportsBeforeTheElectionIsToldTheNewLeader() throws Exception {
        putConfig();
        start("entry-0", new Random(1));
        Awaitility.await().atMost(Duration.ofSeconds(10)).until(() -> countLeaders() == 1);
        start("entry-1", new Random(2));
        start("entry-2", new Random(3));
        Awaitility.await()
                .atMost(Duration.ofSeconds(10))
                .until(() -> describe(entries.get(1)).contains("leader=entry-0")
                        && describe(entries.get(2)).contains("leader=entry-0"));
        entries.remove(0).terminate();
        Thread.sleep(FAILED_LEADER_SILENCE_MS);
        List<FakeLink> guards = List.of(new FakeLink(), new FakeLink());
        report(entries.get(0), guards.get(0));
        report(entries.get(1), guards.get(1));
        Awaitility.await().atMost(Duration.ofSeconds(10)).until(() -> countLeaders() == 1);
        FakeLink atFollower = guards.get(leads(entries.get(0)) ? 1 : 0);
        Awaitility.await()
                .atMost(Duration.ofSeconds(2))
                .until(() -> atFollower.leaderHints().size() == 1);
    }

    /** A report that came before all requests were read was lost, and nothing was placed there until the next one. */
    @Test
    void reportBeforeAllRequestsAreReadCountsOnceTheyAre() throws Exception {
        putConfig();
        start("entry-0", new Random(1));
        Awaitility.await().atMost(Duration.ofSeconds(10)).until(() -> countLeaders() == 1);
        submit(entries.get(0), "job-1");
        start("entry-1", new Random(2));
        Awaitility.await()
                .atMost(Duration.ofSeconds(10))
                .until(() -> describe(entries.get(1)).contains("leader=entry-0"));
        store.delayReads(JobPartitions.REQUESTS, SLOW_ANSWER_MS / 2);
        entries.get(0).tell(new JobsCommand.Drain(new CompletableFuture<>()));
        Awaitility.await()
                .pollInterval(Duration.ofMillis(10))
                .atMost(Duration.ofSeconds(10))
                .until(() -> leads(entries.get(1)));
        FakeLink guard = new FakeLink();
        report(entries.get(1), guard);
        Awaitility.await()
                .atMost(Duration.ofSeconds(10))
                .until(() -> guard.starts().contains("job-1.0.0.0"));
    }

    /** A frame without required fields stopped the actor, and with it the process. */
    @Test
    void frameWithoutFieldsDoesNotStopTheEntry() throws Exception {
        putConfig();
        start("entry-0", new Random(1));
        Awaitility.await().atMost(Duration.ofSeconds(10)).until(() -> countLeaders() == 1);
        GuardReport withoutWorkerFields = new GuardReport();
        withoutWorkerFields.setGuard("guard");
        withoutWorkerFields.setWorker(new WorkerStatus());
        for (Body body : List.of(
                Body.guardReport(new GuardReport()),
                Body.guardReport(withoutWorkerFields),
                Body.forwardedRequest(new ForwardedRequest()),
                Body.forwardOutcome(new ForwardOutcome()))) {
            entries.get(0).tell(new JobsCommand.GuardLink(new LinkEvent.Received(new FakeLink(), new Frame(0, body))));
        }
        assertInstanceOf(WriteOutcome.Stored.class, submit(entries.get(0), "job-1"));
    }

    /**
     * The request of a settled job stayed in the log when its progress was removed, so an entry that started later took
     * the job for a new one and ran it again.
     */
    @Test
    void jobIsNotRunAgainByAnEntryThatStartsAfterItsRetention() throws Exception {
        putConfig();
        start("entry-0", new Random(1), SHORT_RETENTION_MS);
        Awaitility.await().atMost(Duration.ofSeconds(10)).until(() -> countLeaders() == 1);
        FakeLink guard = new FakeLink();
        report(entries.get(0), guard);
        submit(entries.get(0), "job-1");
        Awaitility.await()
                .atMost(Duration.ofSeconds(10))
                .until(() -> guard.starts().contains("job-1.0.0.0"));
        report(entries.get(0), guard, SMALL, List.of(new WorkerReport.Ended(1, "job-1.0.0.0", 1, RunEnd.DONE, "")));
        Awaitility.await()
                .atMost(Duration.ofSeconds(10))
                .until(() -> query(entries.get(0), "job-1").equals(new JobsCommand.StatusAnswer.Missing())
                        && store.newestKeys(JobPartitions.PROGRESS).equals(List.of(JobTopics.LEADER_KEY)));

        start("entry-1", new Random(2));
        entries.get(0).tell(new JobsCommand.Drain(new CompletableFuture<>()));
        Awaitility.await().atMost(Duration.ofSeconds(10)).until(() -> leads(entries.get(1)));
        FakeLink guardOfNewLeader = new FakeLink();
        Awaitility.await()
                .during(Duration.ofMillis(600))
                .atMost(Duration.ofSeconds(10))
                .until(() -> {
                    report(entries.get(1), guardOfNewLeader);
                    return guardOfNewLeader.starts().isEmpty();
                });
        assertEquals(new JobsCommand.StatusAnswer.Missing(), query(entries.get(1), "job-1"));
        assertEquals(List.of(), store.newestKeys(JobPartitions.REQUESTS));
    }

    /** A leader whose removals were refused repeated them as fast as the store answered, each at the cost of a call. */
    @Test
    void removalsThatTheStoreRefusesAreRepeatedWithPauses() throws Exception {
        putConfig();
        start("entry-0", new Random(1), SHORT_RETENTION_MS);
        Awaitility.await().atMost(Duration.ofSeconds(10)).until(() -> countLeaders() == 1);
        FakeLink guard = new FakeLink();
        report(entries.get(0), guard);
        submit(entries.get(0), "job-1");
        Awaitility.await()
                .atMost(Duration.ofSeconds(10))
                .until(() -> guard.starts().contains("job-1.0.0.0"));
        store.refuseAppends(JobPartitions.REQUESTS);
        report(entries.get(0), guard, SMALL, List.of(new WorkerReport.Ended(1, "job-1.0.0.0", 1, RunEnd.DONE, "")));
        Awaitility.await().atMost(Duration.ofSeconds(10)).until(() -> store.refusals() > 0);
        Thread.sleep(2_000);
        assertTrue(store.refusals() <= 40, store.refusals() + " appends in 2 s");
    }

    /** A leader that failed between the two removals left a progress record that no later leader removed. */
    @Test
    void progressWithoutARequestIsRemovedAfterItsRetention() throws Exception {
        putConfig();
        TaskState done = new TaskState(TaskPhase.DONE, 1, new WorkerRef("guard", "worker", 1), 0, "");
        JobSnapshot completed = new JobSnapshot(List.of(done), System.currentTimeMillis() - RETENTION_MS, true);
        store.append(
                JobPartitions.PROGRESS,
                List.of(new KeyedRecord(JobTopics.progressKey("job-1"), JobRecords.encode(completed))),
                new AppendCondition.None());
        start("entry-0", new Random(1), SHORT_RETENTION_MS);
        Awaitility.await().atMost(Duration.ofSeconds(10)).until(() -> countLeaders() == 1);
        Awaitility.await()
                .atMost(Duration.ofSeconds(3))
                .until(() -> store.newestKeys(JobPartitions.PROGRESS).equals(List.of(JobTopics.LEADER_KEY)));
    }

    /*
     * Helpers
     */

    private static void report(ActorSystem<JobsCommand> entry, FakeLink link) {
        reportCapacity(entry, link, SMALL);
    }

    private static void reportCapacity(ActorSystem<JobsCommand> entry, FakeLink link, Resources capacity) {
        report(entry, link, capacity, List.of());
    }

    private static void report(
            ActorSystem<JobsCommand> entry, FakeLink link, Resources capacity, List<WorkerReport.Ended> ended) {
        WorkerReport worker = new WorkerReport(
                new WorkerRef("guard", "worker", 1),
                "s",
                "z",
                capacity,
                List.of("kind", "rack"),
                false,
                true,
                false,
                List.of(),
                ended,
                1);
        GuardReport report = new GuardReport();
        report.setGuard("guard");
        report.setTickMs(nowMs());
        report.setTerm(0);
        report.setOutcomes(List.of());
        report.setWorker(GuardMessages.toThrift(worker));
        new GuardConnection(entry::tell).accept(new LinkEvent.Received(link, new Frame(0, Body.guardReport(report))));
    }

    private void putConfig() {
        putConfig(CONFIG);
    }

    private void putConfig(String text) {
        store.append(
                TopicPartition.OPERATOR,
                List.of(new KeyedRecord(TopicPartition.CONFIG_KEY, text.getBytes(StandardCharsets.UTF_8))),
                new AppendCondition.None());
    }

    private void start(String node, Random random) {
        start(node, random, RETENTION_MS);
    }

    private void start(String node, Random random, long retentionMs) {
        entries.add(ActorSystems.construct(
                JobsActor.create(
                        store,
                        new FakeEntryLinks(),
                        new JobsActor.Identity(node, "127.0.0.1:1"),
                        new JobTimeLimits(6_000, retentionMs, CANCEL_BOUND_MS, 900),
                        new ConfigReadBudget(2_500),
                        MonotonicClock.system(),
                        new EventLog(node),
                        new AtomicReference<>(JobsCommand.View.starting()),
                        random),
                node,
                1));
    }

    private static long nowMs() {
        return MonotonicClock.system().nowMs();
    }

    private long countLeaders() throws Exception {
        long leaders = 0;
        for (ActorSystem<JobsCommand> entry : entries) {
            leaders += leads(entry) ? 1 : 0;
        }
        return leaders;
    }

    private static boolean leads(ActorSystem<JobsCommand> entry) throws Exception {
        return describe(entry).contains("leads=true");
    }

    private static String describe(ActorSystem<JobsCommand> entry) throws Exception {
        CompletableFuture<String> described = new CompletableFuture<>();
        entry.tell(new JobsCommand.Describe(described));
        return described.get(5, TimeUnit.SECONDS);
    }

    private static JobSpec job(String id) {
        return job(id, SMALL);
    }

    private static JobSpec job(String id, Resources demand) {
        JobStep step =
                new JobStep(1, demand, 100, List.of(), false, false, false, "", "", 0, false, false, "", 0, false, 0);
        return new JobSpec(id, "q", "text", List.of(step), 0, 0, 0, System.currentTimeMillis());
    }

    private static WriteOutcome submit(ActorSystem<JobsCommand> entry, String id) throws Exception {
        return submit(entry, id, SMALL);
    }

    private static WriteOutcome submit(ActorSystem<JobsCommand> entry, String id, Resources demand) throws Exception {
        CompletableFuture<WriteOutcome> outcome = new CompletableFuture<>();
        entry.tell(new JobsCommand.Submit(job(id, demand), nowMs() + 3_000, outcome));
        return outcome.get(5, TimeUnit.SECONDS);
    }

    private static JobsCommand.StatusAnswer query(ActorSystem<JobsCommand> entry, String id) throws Exception {
        CompletableFuture<JobsCommand.StatusAnswer> answer = new CompletableFuture<>();
        entry.tell(new JobsCommand.Query(id, answer));
        return answer.get(5, TimeUnit.SECONDS);
    }
}
