package org.fulmarreach.entry.jobs;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

import org.apache.pekko.actor.typed.ActorSystem;
import org.awaitility.Awaitility;
import org.fulmarreach.core.jobs.JobSpec;
import org.fulmarreach.core.jobs.JobStep;
import org.fulmarreach.core.jobs.JobTimeLimits;
import org.fulmarreach.core.jobs.WorkerRef;
import org.fulmarreach.core.jobs.WorkerReport;
import org.fulmarreach.core.model.Resources;
import org.fulmarreach.platform.store.AppendCondition;
import org.fulmarreach.platform.store.KeyedRecord;
import org.fulmarreach.platform.store.TopicPartition;
import org.fulmarreach.protocol.io.GuardMessages;
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
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Starts that a leader has sent to a guard whose worker never lists their runs. */
class LeaderStartsTest {
    private static final Resources SMALL = new Resources(100, 100, 0);

    private final FakeStore store = new FakeStore();
    private ActorSystem<JobsCommand> entry;

    @AfterEach
    void stop() {
        entry.terminate();
    }

    /**
     * A leader that did not record which starts it has sent would place their tasks again on other workers. A start
     * whose run is not listed must be repeated with the same run instead, and then be withdrawn by a stop.
     */
    @Test
    void startThatWasSentIsRepeatedAndThenWithdrawn() throws Exception {
        String config = "{\"version\":7,\"routes\":[{\"name\":\"q\",\"host\":\"h\",\"path_prefix\":\"/q/\","
                + "\"service\":\"s\",\"max_attempts\":2}],\"services\":[],\"limits\":{}}";
        append(TopicPartition.OPERATOR, TopicPartition.CONFIG_KEY, config.getBytes(StandardCharsets.UTF_8));
        start();
        Awaitility.await().atMost(Duration.ofSeconds(10)).until(() -> describe().contains("leads=true"));
        FakeLink guard = new FakeLink();
        report(guard);
        CompletableFuture<WriteOutcome> stored = new CompletableFuture<>();
        entry.tell(new JobsCommand.Submit(job(), MonotonicClock.system().nowMs() + 3_000, stored));
        stored.get(5, TimeUnit.SECONDS);
        Awaitility.await().atMost(Duration.ofSeconds(10)).until(() -> {
            report(guard);
            return guard.stops().contains("job-1.0.0.0");
        });
        assertTrue(guard.starts().size() > 1, "the start was not repeated");
        assertEquals(Set.of(1), Set.copyOf(guard.startedRuns()), "another run was started before the stop");
    }

    private void start() {
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

    private void append(TopicPartition partition, String key, byte[] value) {
        store.append(partition, List.of(new KeyedRecord(key, value)), new AppendCondition.None());
    }

    private String describe() throws Exception {
        CompletableFuture<String> described = new CompletableFuture<>();
        entry.tell(new JobsCommand.Describe(described));
        return described.get(5, TimeUnit.SECONDS);
    }

    private void report(FakeLink link) {
        WorkerReport worker = new WorkerReport(
                new WorkerRef("guard", "worker", 1),
                "s",
                "z",
                SMALL,
                List.of("kind", "rack"),
                false,
                true,
                false,
                List.of(),
                List.of(),
                1);
        GuardReport report = new GuardReport();
        report.setGuard("guard");
        report.setTickMs(MonotonicClock.system().nowMs());
        report.setTerm(0);
        report.setOutcomes(List.of());
        report.setWorker(GuardMessages.toThrift(worker));
        entry.tell(new JobsCommand.GuardLink(new LinkEvent.Received(link, new Frame(0, Body.guardReport(report)))));
    }

    private static JobSpec job() {
        JobStep step =
                new JobStep(1, SMALL, 100, List.of(), false, false, false, "", "", 0, false, false, "", 0, false, 0);
        return new JobSpec("job-1", "q", "text", List.of(step), 0, 0, 0, System.currentTimeMillis());
    }
}
