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
import org.awaitility.Awaitility;
import org.fulmarreach.core.jobs.JobSnapshot;
import org.fulmarreach.core.jobs.JobStatus;
import org.fulmarreach.core.jobs.JobTimeLimits;
import org.fulmarreach.platform.store.AppendCondition;
import org.fulmarreach.platform.store.KeyedRecord;
import org.fulmarreach.platform.store.TopicPartition;
import org.fulmarreach.protocol.io.JobRecords;
import org.fulmarreach.protocol.io.JobTopics;
import org.fulmarreach.protocol.io.ThriftBytes;
import org.fulmarreach.protocol.thrift.Body;
import org.fulmarreach.protocol.thrift.ForwardedRequest;
import org.fulmarreach.protocol.thrift.Frame;
import org.fulmarreach.protocol.thrift.JobProgress;
import org.fulmarreach.protocol.thrift.JobRequest;
import org.fulmarreach.protocol.thrift.JobState;
import org.fulmarreach.protocol.thrift.JobStep;
import org.fulmarreach.protocol.thrift.JobSubmitted;
import org.fulmarreach.protocol.thrift.Resources;
import org.fulmarreach.runtime.log.EventLog;
import org.fulmarreach.runtime.net.LinkEvent;
import org.fulmarreach.runtime.util.ActorSystems;
import org.fulmarreach.runtime.util.MonotonicClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

/**
 * Records of another writer among those of the jobs. An entry that read one ended, and ended again after each restart;
 * a configuration with one odd route hid the others.
 */
class OddJobRecordTest {
    private static final String ROUTE = """
            {"name":"q","host":"h","path_prefix":"/q/","service":"s"}""";

    private static final Duration TIMEOUT = Duration.ofSeconds(10);

    private final FakeStore store = new FakeStore();
    private final AtomicReference<JobsCommand.View> view = new AtomicReference<>(JobsCommand.View.starting());
    private ActorSystem<JobsCommand> entry;

    @AfterEach
    void stop() {
        entry.terminate();
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("oddRecords")
    void entryOutlastsTheRecordAndLeads(String name, TopicPartition partition, String key, byte[] record) {
        append(partition, key, record);
        append(JobPartitions.REQUESTS, JobTopics.jobKey("job"), encode(new JobSubmitted(usual())));
        start("{\"version\":7,\"routes\":[" + ROUTE + "]}");
        Awaitility.await().atMost(TIMEOUT).until(() -> describe().contains("leads=true"));
        Awaitility.await().atMost(TIMEOUT).until(() -> describe().contains("jobs=1"));
    }

    static Stream<Arguments> oddRecords() {
        TopicPartition requests = JobPartitions.REQUESTS;
        TopicPartition progress = JobPartitions.PROGRESS;
        String job = JobTopics.jobKey("odd");
        String state = JobTopics.progressKey("odd");
        return Stream.of(
                Arguments.of("job without fields", requests, job, encode(new JobSubmitted())),
                Arguments.of("job without steps", requests, job, encode(usual().setSteps(List.of()))),
                Arguments.of("step without fields", requests, job, encode(usual().setSteps(List.of(new JobStep())))),
                Arguments.of("step that waits for a later one", requests, job, encode(waitingForItself())),
                Arguments.of("text", requests, job, "{}".getBytes(StandardCharsets.UTF_8)),
                Arguments.of("key without an id", requests, "j", new byte[] {1}),
                Arguments.of(
                        "progress without fields",
                        progress,
                        state,
                        ThriftBytes.encode(JobState.progress(new JobProgress()))),
                Arguments.of("leader as progress", progress, state, JobRecords.encodeLeader(1, "n", "10.0.0.1:80")),
                Arguments.of("progress of a job without tasks", progress, state, JobRecords.encode(emptySnapshot())),
                Arguments.of("empty union", progress, state, new byte[] {0}));
    }

    /** The key alone cancelled the job, whatever its value was. */
    @ParameterizedTest(name = "{0}")
    @MethodSource("oddCancellations")
    void jobIsNotCancelled(String name, byte[] record) throws Exception {
        append(JobPartitions.REQUESTS, JobTopics.jobKey("job"), encode(usual()));
        append(JobPartitions.REQUESTS, JobTopics.cancelKey("job"), record);
        append(JobPartitions.REQUESTS, JobTopics.jobKey("cancelled"), encode(usual()));
        append(JobPartitions.REQUESTS, JobTopics.cancelKey("cancelled"), JobRecords.encodeCancellation(1));
        start("{\"version\":7,\"routes\":[" + ROUTE + "]}");
        Awaitility.await().atMost(TIMEOUT).until(() -> describe().contains("jobs=2"));
        Awaitility.await().atMost(TIMEOUT).until(() -> describe().contains("leads=true"));
        assertEquals(JobStatus.QUEUED, query("job"));
        assertEquals(JobStatus.CANCELLED, query("cancelled"));
    }

    static Stream<Arguments> oddCancellations() {
        return Stream.of(
                Arguments.of("text", "{}".getBytes(StandardCharsets.UTF_8)),
                Arguments.of("empty union", new byte[] {0}),
                Arguments.of("submission", encode(usual())),
                Arguments.of("negative time", JobRecords.encodeCancellation(-1)));
    }

    /** A route that lacks a field made the whole configuration unreadable, so no queue was served. */
    @ParameterizedTest
    @MethodSource("oddRoutes")
    void otherRoutesAreServed(String route) {
        start("{\"version\":7,\"routes\":[" + route + "," + ROUTE + "]}");
        Awaitility.await().atMost(TIMEOUT).until(() -> view.get().ready());
        Awaitility.await()
                .atMost(TIMEOUT)
                .until(() -> view.get().config().findByRequest("h", "/q/x").isPresent());
    }

    static Stream<String> oddRoutes() {
        return Stream.of(
                "{\"name\":\"r\",\"host\":\"h\",\"path_prefix\":\"/r/\"}",
                "{\"name\":7,\"host\":\"h\",\"path_prefix\":\"/r/\",\"service\":\"s\"}",
                "[]",
                "\"r\"",
                "null");
    }

    /** A frame without a key stopped the writer of requests, so that no later submission was stored. */
    @ParameterizedTest(name = "{0}")
    @MethodSource("oddRequests")
    void submissionsAreStoredAfterAForwardedRequest(String name, ForwardedRequest request) throws Exception {
        start("{\"version\":7,\"routes\":[" + ROUTE + "]}");
        Awaitility.await().atMost(TIMEOUT).until(() -> describe().contains("leads=true"));
        entry.tell(new JobsCommand.GuardLink(
                new LinkEvent.Received(new FakeLink(), new Frame(1, Body.forwardedRequest(request)))));
        CompletableFuture<WriteOutcome> outcome = new CompletableFuture<>();
        byte[] record = encode(usual());
        entry.tell(new JobsCommand.Submit(
                JobRecords.decodeJob("job", record), MonotonicClock.system().nowMs() + 3_000, outcome));
        assertInstanceOf(WriteOutcome.Stored.class, outcome.get(5, TimeUnit.SECONDS));
        assertEquals(List.of(JobTopics.jobKey("job")), store.newestKeys(JobPartitions.REQUESTS));
    }

    static Stream<Arguments> oddRequests() {
        byte[] record = encode(usual());
        String key = JobTopics.jobKey("odd");
        return Stream.of(
                Arguments.of("no fields", new ForwardedRequest()),
                Arguments.of("no key", new ForwardedRequest().setValue(record)),
                Arguments.of("no value", new ForwardedRequest().setKey(key)),
                Arguments.of("key of something else", request("leader", record)),
                Arguments.of("key too long", request(key.repeat(100), record)),
                Arguments.of("value that is no job", request(key, new byte[] {1, 2, 3})),
                Arguments.of("submission as cancellation", request(JobTopics.cancelKey("odd"), record)));
    }

    private static ForwardedRequest request(String key, byte[] value) {
        return new ForwardedRequest().setKey(key).setValue(value).setTimeoutMs(1_000);
    }

    private static JobSubmitted usual() {
        return new JobSubmitted("q", "text", List.of(step()), 0, 0, 0, System.currentTimeMillis());
    }

    private static JobSubmitted waitingForItself() {
        return usual().setSteps(List.of(step().setAfter(List.of(3))));
    }

    private static JobStep step() {
        return new JobStep(
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
    }

    private static JobSnapshot emptySnapshot() {
        return new JobSnapshot(List.of(), 0, false);
    }

    private static byte[] encode(JobSubmitted submission) {
        return ThriftBytes.encode(JobRequest.submitted(submission));
    }

    private void start(String config) {
        append(TopicPartition.OPERATOR, TopicPartition.CONFIG_KEY, config.getBytes(StandardCharsets.UTF_8));
        entry = ActorSystems.construct(
                JobsActor.create(
                        store,
                        new FakeEntryLinks(),
                        new JobsActor.Identity("entry-0", "127.0.0.1:1"),
                        new JobTimeLimits(6_000, 120_000, 3_000, 900),
                        new ConfigReadBudget(2_500),
                        MonotonicClock.system(),
                        new EventLog("entry"),
                        view,
                        new Random(1)),
                "entry",
                1);
    }

    private void append(TopicPartition partition, String key, byte[] value) {
        store.append(partition, List.of(new KeyedRecord(key, value)), new AppendCondition.None());
    }

    private JobStatus query(String id) throws Exception {
        CompletableFuture<JobsCommand.StatusAnswer> answer = new CompletableFuture<>();
        entry.tell(new JobsCommand.Query(id, answer));
        return assertInstanceOf(JobsCommand.StatusAnswer.Known.class, answer.get(5, TimeUnit.SECONDS))
                .status();
    }

    private String describe() throws Exception {
        CompletableFuture<String> described = new CompletableFuture<>();
        entry.tell(new JobsCommand.Describe(described));
        return described.get(5, TimeUnit.SECONDS);
    }
}
