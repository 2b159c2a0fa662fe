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

import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against a leader that takes its last write for more recent than it is. */
class LeaderWriteAgeTest {
    private static final int SLOW_ANSWER_MS = 1_200;

    private final FakeStore store = new FakeStore();
    private ActorSystem<JobsCommand> entry;

    @AfterEach
    void stop() {
        entry.terminate();
    }

    /**
     * The age of the last write counted from the time at which its answer was handled, so a leader that was delayed for
     * seconds granted leases for as much longer than another entry allows for.
     */
    @Test
    void ageOfTheLastWriteIncludesTheTransitTimeOfItsAnswer() throws Exception {
        String config = "{\"version\":7,\"routes\":[],\"services\":[],\"limits\":{}}";
        store.append(
                TopicPartition.OPERATOR,
                List.of(new KeyedRecord(TopicPartition.CONFIG_KEY, config.getBytes(StandardCharsets.UTF_8))),
                new AppendCondition.None());
        start();
        Awaitility.await().atMost(Duration.ofSeconds(10)).until(() -> describe().contains("leads=true"));
        store.delayAppends(SLOW_ANSWER_MS);
        Thread.sleep(2 * SLOW_ANSWER_MS);
        FakeLink guard = new FakeLink();
        for (int i = 0; i < 2 * SLOW_ANSWER_MS / 100; i++) {
            report(guard);
            Thread.sleep(100);
        }
        assertTrue(guard.grants() > 0);
        assertTrue(guard.minWriteAgeMs() >= SLOW_ANSWER_MS, guard.minWriteAgeMs() + " ms");
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
                new Resources(100, 100, 0),
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
}
