package org.fulmarreach.entry.jobs;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

import org.apache.pekko.actor.typed.ActorSystem;
import org.awaitility.Awaitility;
import org.fulmarreach.core.jobs.JobSpec;
import org.fulmarreach.core.jobs.JobStep;
import org.fulmarreach.core.jobs.JobTimeLimits;
import org.fulmarreach.core.jobs.WorkerRef;
import org.fulmarreach.core.jobs.WorkerReport;
import org.fulmarreach.core.model.Resources;
import org.fulmarreach.platform.store.AppendCondition;
import org.fulmarreach.platform.store.AppendResult;
import org.fulmarreach.platform.store.KeyedRecord;
import org.fulmarreach.platform.store.ReadLimits;
import org.fulmarreach.platform.store.ReadResult;
import org.fulmarreach.platform.store.StoreClient;
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
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against a leader that is replaced while it works, since it has written nothing for the election timeout. */
class LeaderKeepAliveTest {
    private static final int ELECTION_TIMEOUT_MS = 1_500;

    /** With a pass longer than the election timeout; each alone is shorter by more than a keep-alive interval. */
    private static final int REPORT_MS = 600;

    private static final int TASKS = 40;
    private static final int TASK_MS = 24;

    private static final Resources DEMAND = new Resources(100, 100, 0);

    private final FakeStore store = new FakeStore();

    /** Processor time that events stand for, as on a VM with a small share of a core. */
    private final AtomicLong spentMs = new AtomicLong();

    private final MonotonicClock clock = () -> MonotonicClock.system().nowMs() + spentMs.get();
    private final AtomicLong appendedAtMs = new AtomicLong();
    private final AtomicLong longestSilenceMs = new AtomicLong();
    private final AtomicLong assigned = new AtomicLong();
    private final Logger events = Logger.getLogger("");
    private final Handler slowProcess = new Handler() {
        @Override
        public void publish(LogRecord line) {
            if (line.getMessage().contains("name=WORKER_SEEN ")) {
                spentMs.addAndGet(REPORT_MS);
            } else if (line.getMessage().contains("name=RUN_ASSIGNED ")) {
                spentMs.addAndGet(TASK_MS);
                assigned.incrementAndGet();
            }
        }

        @Override
        public void flush() {}

        @Override
        public void close() {}
    };
    private ActorSystem<JobsCommand> entry;

    @BeforeEach
    void slowDown() {
        events.addHandler(slowProcess);
    }

    @AfterEach
    void stop() {
        events.removeHandler(slowProcess);
        entry.terminate();
    }

    /** A leader wrote only at the end of a pass, so reports and a long pass added up to more than the timeout. */
    @Test
    void leaderWritesBeforeALongPassThatFollowsLongReports() throws Exception {
        String config = "{\"version\":7,\"routes\":[{\"name\":\"q\",\"host\":\"h\",\"path_prefix\":\"/q/\","
                + "\"service\":\"s\",\"max_attempts\":2}],\"services\":[],\"limits\":{}}";
        store.append(
                TopicPartition.OPERATOR,
                List.of(new KeyedRecord(TopicPartition.CONFIG_KEY, config.getBytes(StandardCharsets.UTF_8))),
                new AppendCondition.None());
        start();
        Awaitility.await().atMost(Duration.ofSeconds(10)).until(() -> describe().contains("leads=true"));
        CompletableFuture<WriteOutcome> stored = new CompletableFuture<>();
        entry.tell(new JobsCommand.Submit(job(), clock.nowMs() + 3_000, stored));
        stored.get(5, TimeUnit.SECONDS);
        longestSilenceMs.set(0);
        FakeLink guard = new FakeLink();
        Awaitility.await().atMost(Duration.ofSeconds(10)).until(() -> {
            report(guard);
            return guard.starts().size() >= TASKS;
        });
        assertTrue(assigned.get() >= TASKS);
        assertTrue(longestSilenceMs.get() < ELECTION_TIMEOUT_MS, longestSilenceMs + " ms");
    }

    private void start() {
        entry = ActorSystems.construct(
                JobsActor.create(
                        new TimedStore(),
                        new FakeEntryLinks(),
                        new JobsActor.Identity("entry-0", "127.0.0.1:1"),
                        new JobTimeLimits(6_000, 120_000, 3_000, 900),
                        new ConfigReadBudget(2_500),
                        clock,
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

    private void report(FakeLink link) {
        WorkerReport worker = new WorkerReport(
                new WorkerRef("guard", "worker", 1),
                "s",
                "z",
                new Resources(TASKS * 100, TASKS * 100, 0),
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
        JobStep step = new JobStep(
                TASKS, DEMAND, 10_000, List.of(), false, false, false, "", "", 0, false, false, "", 0, false, 0);
        return new JobSpec("job-1", "q", "text", List.of(step), 0, 0, 0, System.currentTimeMillis());
    }

    /** Measures the time between appends to the log that other entries watch. */
    private final class TimedStore implements StoreClient {
        @Override
        public CompletionStage<AppendResult> append(
                TopicPartition partition, List<KeyedRecord> records, AppendCondition condition) {
            if (partition.equals(JobPartitions.PROGRESS)) {
                long nowMs = clock.nowMs();
                long silenceMs = nowMs - appendedAtMs.getAndSet(nowMs);
                longestSilenceMs.accumulateAndGet(silenceMs, Math::max);
            }
            return store.append(partition, records, condition);
        }

        @Override
        public CompletionStage<ReadResult> read(TopicPartition partition, long fromOffset, ReadLimits limits) {
            return store.read(partition, fromOffset, limits);
        }

        @Override
        public CompletionStage<ReadResult> readNewest(TopicPartition partition, String afterKey, ReadLimits limits) {
            return store.readNewest(partition, afterKey, limits);
        }
    }
}
