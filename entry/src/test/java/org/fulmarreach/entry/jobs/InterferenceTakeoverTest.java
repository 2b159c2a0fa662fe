package org.fulmarreach.entry.jobs;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

import org.apache.pekko.actor.typed.ActorSystem;
import org.awaitility.Awaitility;
import org.fulmarreach.core.jobs.JobTimeLimits;
import org.fulmarreach.core.jobs.LearnedInterference;
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

/** Guards against a leader that learns anew what its predecessor has learned of the interference between tasks. */
class InterferenceTakeoverTest {
    private static final LearnedInterference LEARNED = new LearnedInterference(Map.of(
            "serve",
            new LearnedInterference.Serving(1.25, 0.5, Map.of("batch", new LearnedInterference.Factor(2.5, 0.1)))));

    private final FakeStore store = new FakeStore();
    private ActorSystem<JobsCommand> entry;

    @AfterEach
    void stop() {
        entry.terminate();
    }

    @Test
    void newLeaderTakesOverWhatIsStoredAndStoresItAgain() {
        append(JobPartitions.PROGRESS, JobTopics.INTERFERENCE_KEY, JobRecords.encode(LEARNED));
        start();
        Awaitility.await().atMost(Duration.ofSeconds(20)).until(() -> storedByLeader() != null);
        LearnedInterference.Serving stored =
                JobRecords.decodeInterference(storedByLeader()).servingByImage().get("serve");
        assertEquals(2.5, stored.factors().get("batch").mean());
        assertEquals(0.5, stored.load());
        assertEquals(1.25, stored.baseMs());
    }

    @Test
    void entryIsElectedDespiteAnOddRecord() {
        append(JobPartitions.PROGRESS, JobTopics.INTERFERENCE_KEY, new byte[] {1, 2, 3});
        start();
        Awaitility.await().atMost(Duration.ofSeconds(20)).until(() -> describe().contains("leads=true"));
    }

    /** Returns the last record of what was learned, if the leader has written one after the first. */
    private byte[] storedByLeader() {
        List<KeyedRecord> stored = store.records(JobPartitions.PROGRESS).stream()
                .filter(entry -> entry.key().equals(JobTopics.INTERFERENCE_KEY))
                .toList();
        return stored.size() < 2 ? null : stored.getLast().value();
    }

    private void start() {
        append(TopicPartition.OPERATOR, TopicPartition.CONFIG_KEY, """
                {"version":7,"routes":[],"services":[],"limits":{}}""".getBytes(StandardCharsets.UTF_8));
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

    private String describe() throws Exception {
        CompletableFuture<String> described = new CompletableFuture<>();
        entry.tell(new JobsCommand.Describe(described));
        return described.get(5, TimeUnit.SECONDS);
    }

    private void append(TopicPartition partition, String key, byte[] value) {
        store.append(partition, List.of(new KeyedRecord(key, value)), new AppendCondition.None());
    }
}
