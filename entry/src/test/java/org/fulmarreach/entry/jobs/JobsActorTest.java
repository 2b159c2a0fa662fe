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
import org.fulmarreach.core.jobs.JobSpec;
import org.fulmarreach.core.jobs.JobStatus;
import org.fulmarreach.core.jobs.JobStep;
import org.fulmarreach.core.jobs.JobTimes;
import org.fulmarreach.core.model.Resources;
import org.fulmarreach.platform.store.AppendCondition;
import org.fulmarreach.platform.store.KeyedRecord;
import org.fulmarreach.platform.store.TopicPartition;
import org.fulmarreach.runtime.log.EventLog;
import org.fulmarreach.runtime.util.ActorSystems;
import org.fulmarreach.runtime.util.MonotonicClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

/** Entries on a shared log in memory: who leads, and what callers are told. */
class JobsActorTest {
    private static final String CONFIG = """
            {"version":7,"routes":[{"name":"q","host":"h","path_prefix":"/q/","service":"s","max_attempts":2}],
             "services":[],"limits":{}}""";

    private final FakeStore store = new FakeStore();
    private final List<ActorSystem<JobsCommand>> entries = new ArrayList<>();

    @AfterEach
    void stop() {
        entries.forEach(ActorSystem::terminate);
    }

    /** The store answers a second append with the same producer and epoch as the first, so two candidates could win. */
    @Test
    void candidatesThatAskAtOnceDoNotBothLead() throws Exception {
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

    /** After a loss of all processes nobody's record is waited for; a read that waits must not delay the election. */
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
    void jobThatNobodySubmittedIsMissing() throws Exception {
        putConfig();
        start("entry-0", new Random(1));
        Awaitility.await().atMost(Duration.ofSeconds(10)).until(() -> countLeaders() == 1);
        assertEquals(new JobsCommand.StatusAnswer.Missing(), query(entries.get(0), "job-9"));
    }

    /** A refusal means that the job never runs, so it may only follow an append that was surely not carried out. */
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

    /** Operators were told that the newer version is in force, so it must not go back. */
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

    /*
     * Helpers
     */

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
        entries.add(ActorSystems.construct(
                JobsActor.create(
                        store,
                        new JobsActor.Identity(node, "127.0.0.1:1"),
                        new JobTimes(6_000, 120_000),
                        MonotonicClock.system(),
                        new EventLog(node),
                        new AtomicReference<>(new JobsCommand.View(null, false)),
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

    private static WriteOutcome submit(ActorSystem<JobsCommand> entry, String id) throws Exception {
        CompletableFuture<WriteOutcome> outcome = new CompletableFuture<>();
        entry.tell(new JobsCommand.Submit(job(id), nowMs() + 3_000, outcome));
        return outcome.get(5, TimeUnit.SECONDS);
    }

    private static JobsCommand.StatusAnswer query(ActorSystem<JobsCommand> entry, String id) throws Exception {
        CompletableFuture<JobsCommand.StatusAnswer> answer = new CompletableFuture<>();
        entry.tell(new JobsCommand.Query(id, answer));
        return answer.get(5, TimeUnit.SECONDS);
    }
}
