package org.fulmarreach.entry.jobs;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
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

/** An entry that could not read the log for so long that the removal of a job expired before it was read. */
class RemovalMissedTest {
    private static final Resources SMALL = new Resources(100, 100, 0);

    private final FakeStore store = new FakeStore();
    private ActorSystem<JobsCommand> entry;

    @AfterEach
    void stop() {
        entry.terminate();
    }

    /** A job that another leader had completed and removed was run again, because a reload kept it in the registry. */
    @Test
    void jobThatWasRemovedMeanwhileIsNotRunAgain() throws Exception {
        String config = "{\"version\":7,\"routes\":[{\"name\":\"q\",\"host\":\"h\",\"path_prefix\":\"/q/\","
                + "\"service\":\"s\",\"max_attempts\":2}],\"services\":[],\"limits\":{}}";
        append(TopicPartition.OPERATOR, TopicPartition.CONFIG_KEY, config.getBytes(StandardCharsets.UTF_8));
        append(
                JobPartitions.PROGRESS,
                JobTopics.LEADER_KEY,
                JobRecords.encodeLeader(1, "former-leader", "127.0.0.1:9"));
        append(JobPartitions.REQUESTS, JobTopics.jobKey("job-1"), JobRecords.encode(job()));
        start();
        Awaitility.await()
                .pollInterval(Duration.ofMillis(10))
                .atMost(Duration.ofSeconds(10))
                .until(() -> describe().contains("jobs=1"));
        store.removeAndExpire(JobPartitions.REQUESTS, JobTopics.jobKey("job-1"));

        Awaitility.await().atMost(Duration.ofSeconds(10)).until(() -> describe().contains("leads=true"));
        FakeLink guard = new FakeLink();
        for (int i = 0; i < 10; i++) {
            report(guard);
            Thread.sleep(100);
        }
        assertEquals(List.of(), guard.starts());
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
