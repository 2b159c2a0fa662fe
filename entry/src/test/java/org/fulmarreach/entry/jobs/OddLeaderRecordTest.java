package org.fulmarreach.entry.jobs;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.Stream;

import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.awaitility.Awaitility;
import org.fulmarreach.core.jobs.JobSnapshot;
import org.fulmarreach.core.jobs.JobTimeLimits;
import org.fulmarreach.platform.store.AppendCondition;
import org.fulmarreach.platform.store.KeyedRecord;
import org.fulmarreach.platform.store.TopicPartition;
import org.fulmarreach.protocol.io.JobRecords;
import org.fulmarreach.protocol.io.JobTopics;
import org.fulmarreach.protocol.io.ThriftBytes;
import org.fulmarreach.protocol.thrift.JobLeader;
import org.fulmarreach.protocol.thrift.JobState;
import org.fulmarreach.runtime.log.EventLog;
import org.fulmarreach.runtime.net.FrameTransport;
import org.fulmarreach.runtime.net.LinkSettings;
import org.fulmarreach.runtime.util.ActorSystems;
import org.fulmarreach.runtime.util.MonotonicClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;

/**
 * A record of another writer under the key of the leader. An entry that read one ended, and ended again after each
 * restart because the record stays the newest of its key.
 */
class OddLeaderRecordTest {
    private static final String CONFIG = """
            {"version":7,"routes":[{"name":"q","host":"h","path_prefix":"/q/","service":"s"}]}""";

    /** The probe of a silent leader follows after 600 ms, and the election after 1.7 s at most. */
    private static final Duration TIMEOUT = Duration.ofSeconds(10);

    /** Below the 1.5 s without a record after which an entry stands for election. */
    private static final Duration RESIGNATION_TIMEOUT = Duration.ofMillis(1_300);

    private static final long MANY_ELECTIONS = 1_000_000_000;

    private final FakeStore store = new FakeStore();
    private ActorSystem<JobsCommand> entry;

    @AfterEach
    void stop() {
        entry.terminate();
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("oddRecords")
    void entryOutlastsTheRecordAndLeads(String name, byte[] record) throws Exception {
        append(TopicPartition.OPERATOR, TopicPartition.CONFIG_KEY, CONFIG.getBytes(StandardCharsets.UTF_8));
        append(JobPartitions.PROGRESS, JobTopics.LEADER_KEY, record);
        start();
        Awaitility.await().atMost(TIMEOUT).until(() -> describe().contains("leads=true"));
    }

    /** A leader that resigns leaves a record without a node, which is no odd one: the next leader must not wait. */
    @Test
    void resignedLeaderIsReplacedBeforeTheElectionTimeout() throws Exception {
        append(TopicPartition.OPERATOR, TopicPartition.CONFIG_KEY, CONFIG.getBytes(StandardCharsets.UTF_8));
        append(JobPartitions.PROGRESS, JobTopics.LEADER_KEY, JobRecords.encodeLeader(3, "entry-9", "10.0.0.1:80"));
        start();
        Awaitility.await().atMost(TIMEOUT).until(() -> describe().contains("leader=entry-9"));
        append(JobPartitions.PROGRESS, JobTopics.LEADER_KEY, JobRecords.encodeLeader(3, "", ""));
        Awaitility.await().atMost(RESIGNATION_TIMEOUT).until(() -> describe().contains("leads=true"));
    }

    /**
     * The term after the largest one that is read was won by an append whose record no process accepts, so no guard and
     * no other entry found the leader, and no later election could end that.
     */
    @ParameterizedTest
    @ValueSource(longs = {1L << 40, 1L << 42, 1_000_000_000_000_000L, (1L << 53) - 1, 1L << 53, 1L << 62})
    void termFarInTheFutureLeavesTermsThatAreRead(long term) throws Exception {
        append(TopicPartition.OPERATOR, TopicPartition.CONFIG_KEY, CONFIG.getBytes(StandardCharsets.UTF_8));
        append(JobPartitions.PROGRESS, JobTopics.LEADER_KEY, JobRecords.encodeLeader(term, "entry-9", "127.0.0.1:1"));
        start();
        Awaitility.await().atMost(TIMEOUT).until(() -> describe().contains("leads=true"));
        JobLeader leader = newestLeader();
        assertEquals("entry-0", leader.getNode());
        JobRecords.decodeLeader(JobRecords.encodeLeader(leader.getTerm() + MANY_ELECTIONS, "entry-8", "127.0.0.1:2"));
    }

    static Stream<Arguments> oddRecords() {
        return Stream.of(
                Arguments.of("port too large", JobRecords.encodeLeader(3, "entry-9", "10.0.0.1:70000")),
                Arguments.of("no port", JobRecords.encodeLeader(3, "entry-9", "10.0.0.1")),
                Arguments.of("port 0", JobRecords.encodeLeader(3, "entry-9", "10.0.0.1:0")),
                Arguments.of("no IP address", JobRecords.encodeLeader(3, "entry-9", "somewhere:80")),
                Arguments.of("empty address", JobRecords.encodeLeader(3, "entry-9", "")),
                Arguments.of("no fields", ThriftBytes.encode(JobState.leader(new JobLeader()))),
                Arguments.of("no node", ThriftBytes.encode(JobState.leader(new JobLeader().setAddress("10.0.0.1:80")))),
                Arguments.of("progress of a job", JobRecords.encode(new JobSnapshot(List.of(), 0, false))),
                Arguments.of("largest term", JobRecords.encodeLeader(Long.MAX_VALUE, "entry-9", "127.0.0.1:1")),
                Arguments.of("negative term", JobRecords.encodeLeader(-5, "entry-9", "127.0.0.1:1")),
                Arguments.of("no Thrift", "{\"leader\":1}".getBytes(StandardCharsets.UTF_8)),
                Arguments.of("empty union", new byte[] {0}));
    }

    private void start() {
        entry = ActorSystems.construct(
                Behaviors.setup(context -> JobsActor.create(
                        store,
                        new NetworkEntryLinks(
                                new FrameTransport(context.getSystem(), LinkSettings.DEFAULT, new EventLog("entry")),
                                List.of()),
                        new JobsActor.Identity("entry-0", "127.0.0.1:1"),
                        new JobTimeLimits(6_000, 120_000, 3_000, 900),
                        new ConfigReadBudget(2_500),
                        MonotonicClock.system(),
                        new EventLog("entry"),
                        new AtomicReference<>(JobsCommand.View.starting()),
                        new Random(1))),
                "entry",
                1);
    }

    private JobLeader newestLeader() {
        List<KeyedRecord> leaders = store.records(JobPartitions.PROGRESS).stream()
                .filter(each -> each.key().equals(JobTopics.LEADER_KEY))
                .toList();
        return JobRecords.decodeLeader(leaders.get(leaders.size() - 1).value());
    }

    private void append(TopicPartition partition, String key, byte[] value) {
        store.append(partition, List.of(new KeyedRecord(key, value)), new AppendCondition.None());
    }

    private String describe() throws Exception {
        CompletableFuture<String> described = new CompletableFuture<>();
        entry.tell(new JobsCommand.Describe(described));
        return described.get(5, TimeUnit.SECONDS);
    }
}
