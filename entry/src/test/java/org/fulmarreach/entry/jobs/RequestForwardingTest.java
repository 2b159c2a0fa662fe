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
import org.fulmarreach.core.jobs.JobStep;
import org.fulmarreach.core.jobs.JobTimeLimits;
import org.fulmarreach.core.model.Resources;
import org.fulmarreach.platform.store.AppendCondition;
import org.fulmarreach.platform.store.KeyedRecord;
import org.fulmarreach.platform.store.TopicPartition;
import org.fulmarreach.protocol.io.JobTopics;
import org.fulmarreach.runtime.log.EventLog;
import org.fulmarreach.runtime.util.ActorSystems;
import org.fulmarreach.runtime.util.MonotonicClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * A store that turns some entries away, or a link to it that is cut, while other entries reach it. The entries
 * concerned refused each request of their callers for the 9 s of the disturbance, or left it without an answer.
 */
class RequestForwardingTest {
    private static final int ENTRIES = 3;
    private static final long WAIT_MS = 2_750;

    /** Half of the time for which callers wait; the rest is left for a further attempt of theirs. */
    private static final long PROMPT_MS = 1_500;

    /** Silence of a leader after which the others stand for election in any case. */
    private static final long ELECTION_TIMEOUT_MS = 1_500;

    /** Shorter than one attempt at the store or at another entry. */
    private static final long AT_ONCE_MS = 150;

    private final FakeStore store = new FakeStore();
    private final FakeEntryLinks links = new FakeEntryLinks();
    private final List<CutStore> paths = new ArrayList<>();
    private final List<ActorSystem<JobsCommand>> entries = new ArrayList<>();

    @BeforeEach
    void startEntries() throws Exception {
        String config = "{\"version\":7,\"routes\":[{\"name\":\"q\",\"host\":\"h\",\"path_prefix\":\"/q/\","
                + "\"service\":\"s\",\"max_attempts\":2}],\"services\":[],\"limits\":{}}";
        store.append(
                TopicPartition.OPERATOR,
                List.of(new KeyedRecord(TopicPartition.CONFIG_KEY, config.getBytes(StandardCharsets.UTF_8))),
                new AppendCondition.None());
        for (int i = 0; i < ENTRIES; i++) {
            start(i, new CutStore(store));
        }
        for (ActorSystem<JobsCommand> entry : entries) {
            Awaitility.await()
                    .atMost(Duration.ofSeconds(10))
                    .until(() -> describe(entry).contains("config=7")
                            && !describe(entry).contains("leader= "));
        }
    }

    @AfterEach
    void stop() {
        entries.forEach(ActorSystem::terminate);
    }

    @Test
    void entryThatTheStoreTurnsAwayStillStoresJobs() throws Exception {
        for (int cut = 0; cut < ENTRIES; cut++) {
            paths.get(cut).set(CutStore.Path.REFUSED);
            assertInstanceOf(WriteOutcome.Stored.class, submit(cut, "refused-" + cut));
            assertStored("refused-" + cut);
            paths.get(cut).set(CutStore.Path.OPEN);
        }
    }

    @Test
    void entryWithoutAnswersOfTheStoreStillStoresJobs() throws Exception {
        for (int cut = 0; cut < ENTRIES; cut++) {
            paths.get(cut).set(CutStore.Path.SILENT);
            long startedAtMs = nowMs();
            assertInstanceOf(WriteOutcome.Stored.class, submit(cut, "silent-" + cut));
            assertTrue(nowMs() - startedAtMs < PROMPT_MS, "took " + (nowMs() - startedAtMs) + " ms");
            assertStored("silent-" + cut);
            paths.get(cut).set(CutStore.Path.OPEN);
        }
    }

    @Test
    void jobIsHandedToTheNextEntryWhenOneIsFrozen() throws Exception {
        links.silence(address(1));
        paths.get(0).set(CutStore.Path.REFUSED);
        assertInstanceOf(WriteOutcome.Stored.class, submit(0, "job"));
        assertStored("job");
    }

    /**
     * An address counted as tried only once a connection to it was open. While a leader that had ended was still named,
     * its address was dialled again without a pause until the deadline, and the other entries never.
     */
    @Test
    void jobIsHandedToAnotherEntryWhenTheLeaderHasEnded() throws Exception {
        int leader = 0;
        while (!describe(entries.get(leader)).contains("leads=true")) {
            leader++;
        }
        int cut = (leader + 1) % ENTRIES;
        links.remove(address(leader));
        paths.get(cut).set(CutStore.Path.REFUSED);
        long startedAtMs = nowMs();
        assertInstanceOf(WriteOutcome.Stored.class, submit(cut, "job"));
        assertTrue(nowMs() - startedAtMs < PROMPT_MS, "took " + (nowMs() - startedAtMs) + " ms");
        assertStored("job");
    }

    @Test
    void cancellationIsForwarded() throws Exception {
        assertInstanceOf(WriteOutcome.Stored.class, submit(0, "job"));
        paths.get(0).set(CutStore.Path.REFUSED);
        CompletableFuture<WriteOutcome> outcome = new CompletableFuture<>();
        entries.get(0).tell(new JobsCommand.Cancel("job", nowMs() + WAIT_MS, outcome));
        assertInstanceOf(WriteOutcome.Stored.class, outcome.get(5, TimeUnit.SECONDS));
        assertEquals(1, countRecords(JobTopics.cancelKey("job")));
    }

    /** A request that cannot be stored anywhere must be refused at once, so that its caller knows when to return. */
    @Test
    void jobIsRefusedAtOnceWhenTheStoreTurnsAllEntriesAway() throws Exception {
        paths.forEach(path -> path.set(CutStore.Path.REFUSED));
        long startedAtMs = nowMs();
        assertInstanceOf(WriteOutcome.Refused.class, submit(0, "job"));
        assertTrue(nowMs() - startedAtMs < PROMPT_MS, "took " + (nowMs() - startedAtMs) + " ms");
        assertEquals(0, countRecords(JobTopics.jobKey("job")));
    }

    /**
     * An append that was in flight at a tick of the timer counted as undecided for good, so a job that the store then
     * refused was tried until its deadline and answered as undecided. In the second case the refusal comes after the
     * job was handed to other entries.
     */
    @ParameterizedTest
    @ValueSource(ints = {250, 700})
    void jobThatTheStoreRefusesSlowlyIsRefusedToo(int refusalDelayMs) throws Exception {
        paths.forEach(path -> path.set(CutStore.Path.REFUSED));
        paths.get(0).delayRefusals(refusalDelayMs);
        long startedAtMs = nowMs();
        assertInstanceOf(WriteOutcome.Refused.class, submit(0, "job"));
        assertTrue(nowMs() - startedAtMs < PROMPT_MS, "took " + (nowMs() - startedAtMs) + " ms");
        assertEquals(0, countRecords(JobTopics.jobKey("job")));
    }

    /**
     * The refusal of the first of several forwarded jobs closed the connection, so the answers for the others were lost
     * and these were answered as undecided at their deadline, although the store refused all of them.
     */
    @Test
    void jobsThatArriveTogetherAreAllRefusedAtOnce() throws Exception {
        paths.forEach(path -> path.set(CutStore.Path.REFUSED));
        long startedAtMs = nowMs();
        List<CompletableFuture<WriteOutcome>> outcomes = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            outcomes.add(submitAsync(0, "job-" + i));
        }
        List<String> results = new ArrayList<>();
        for (CompletableFuture<WriteOutcome> outcome : outcomes) {
            results.add(outcome.get(5, TimeUnit.SECONDS).getClass().getSimpleName());
        }
        assertEquals(List.of("Refused", "Refused", "Refused", "Refused", "Refused"), results);
        assertTrue(nowMs() - startedAtMs < PROMPT_MS, "took " + (nowMs() - startedAtMs) + " ms");
    }

    /** The refusal of an entry's own append must not answer a job that another entry may store at that moment. */
    @Test
    void jobIsNotRefusedWhileAnotherEntryMayStoreIt() throws Exception {
        paths.get(0).set(CutStore.Path.REFUSED);
        paths.get(0).delayRefusals(700);
        links.silence(address(1));
        links.silence(address(2));
        assertInstanceOf(WriteOutcome.Undecided.class, submit(0, "job"));
    }

    /**
     * While no entry got an answer of the store, each request went from entry to entry and was refused seconds late,
     * when its caller had given up.
     */
    @Test
    void jobsAreRefusedAtOnceWhileTheStoreAnswersNoEntry() throws Exception {
        paths.forEach(path -> path.set(CutStore.Path.SILENT));
        submit(0, "first");
        for (int i = 0; i < 3; i++) {
            long startedAtMs = nowMs();
            assertInstanceOf(WriteOutcome.Refused.class, submit(0, "next-" + i));
            assertTrue(nowMs() - startedAtMs < AT_ONCE_MS, "took " + (nowMs() - startedAtMs) + " ms");
            Thread.sleep(AT_ONCE_MS);
        }
    }

    /** A refusal means that the job never runs; an entry that does not answer may still store it. */
    @Test
    void jobThatAFrozenEntryMayStoreIsNotRefused() throws Exception {
        paths.get(0).set(CutStore.Path.REFUSED);
        links.silence(address(1));
        links.silence(address(2));
        assertInstanceOf(WriteOutcome.Undecided.class, submit(0, "job"));
    }

    /** Followers waited for 1.5 s of silence before an election, although the leader's port refused connections. */
    @Test
    void leaderWhoseProcessHasEndedIsReplacedBeforeTheElectionTimeout() throws Exception {
        int leader = 0;
        while (!describe(entries.get(leader)).contains("leads=true")) {
            leader = (leader + 1) % ENTRIES;
        }
        ActorSystem<JobsCommand> ended = entries.remove(leader);
        links.remove(address(leader));
        ended.terminate();
        ended.getWhenTerminated().toCompletableFuture().get(5, TimeUnit.SECONDS);
        long startedAtMs = nowMs();
        Awaitility.await()
                .pollInterval(Duration.ofMillis(20))
                .atMost(Duration.ofSeconds(10))
                .until(() -> describe(entries.get(0)).contains("leads=true")
                        || describe(entries.get(1)).contains("leads=true"));
        assertTrue(nowMs() - startedAtMs < ELECTION_TIMEOUT_MS, "took " + (nowMs() - startedAtMs) + " ms");
    }

    /** Entries that could store requests reported themselves as not ready until all jobs were loaded. */
    @Test
    void entryIsReadyBeforeItHasLoadedTheJobs() {
        CutStore path = new CutStore(store);
        path.silenceLoadsOf(JobPartitions.REQUESTS);
        AtomicReference<JobsCommand.View> view = start(ENTRIES, path);
        Awaitility.await().atMost(Duration.ofSeconds(2)).until(() -> view.get().ready());
    }

    /*
     * Helpers
     */

    private static String address(int index) {
        return "10.0.0." + index + ":1";
    }

    private AtomicReference<JobsCommand.View> start(int index, CutStore path) {
        paths.add(path);
        AtomicReference<JobsCommand.View> view = new AtomicReference<>(JobsCommand.View.starting());
        ActorSystem<JobsCommand> entry = ActorSystems.construct(
                JobsActor.create(
                        path,
                        links,
                        new JobsActor.Identity("entry-" + index, address(index)),
                        new JobTimeLimits(6_000, 120_000, 3_000, 900),
                        new ConfigReadBudget(2_500),
                        MonotonicClock.system(),
                        new EventLog("entry-" + index),
                        view,
                        new Random(index)),
                "entry-" + index,
                1);
        entries.add(entry);
        links.add(address(index), entry);
        return view;
    }

    private void assertStored(String id) {
        assertTrue(countRecords(JobTopics.jobKey(id)) >= 1, id + " is not stored");
    }

    private long countRecords(String key) {
        return store.records(JobPartitions.REQUESTS).stream()
                .filter(entry -> entry.key().equals(key))
                .count();
    }

    private WriteOutcome submit(int entry, String id) throws Exception {
        return submitAsync(entry, id).get(5, TimeUnit.SECONDS);
    }

    private CompletableFuture<WriteOutcome> submitAsync(int entry, String id) {
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
        CompletableFuture<WriteOutcome> outcome = new CompletableFuture<>();
        entries.get(entry).tell(new JobsCommand.Submit(job, nowMs() + WAIT_MS, outcome));
        return outcome;
    }

    private static String describe(ActorSystem<JobsCommand> entry) throws Exception {
        CompletableFuture<String> described = new CompletableFuture<>();
        entry.tell(new JobsCommand.Describe(described));
        return described.get(5, TimeUnit.SECONDS);
    }

    private static long nowMs() {
        return MonotonicClock.system().nowMs();
    }
}
