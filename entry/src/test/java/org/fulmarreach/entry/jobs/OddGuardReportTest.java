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

/** Reports of guards that do not say, or contradict themselves on, which guard sends them. */
class OddGuardReportTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(10);

    private final FakeStore store = new FakeStore();
    private final FakeLink link = new FakeLink();
    private ActorSystem<JobsCommand> entry;

    @AfterEach
    void stop() {
        entry.terminate();
    }

    /** The end of the connection of a report without a name ended the leader. */
    @Test
    void leaderOutlastsAConnectionWhoseReportNamesNoGuard() throws Exception {
        lead();
        send(new GuardReport().setOutcomes(List.of()));
        entry.tell(new JobsCommand.GuardLink(new LinkEvent.Closed(link, "closed by peer")));
        send(report("guard", "guard"));
        Awaitility.await().atMost(TIMEOUT).until(() -> describes("guards=1") && link.grants() > 0);
    }

    /** The leader sends orders for a worker to the guard that the worker's reference names, so another one got none. */
    @Test
    void reportOnTheWorkerOfAnotherGuardIsRefused() throws Exception {
        lead();
        send(report("guard", "other"));
        assertTrue(describes("guards=0"), "the report counts");
    }

    private void lead() {
        byte[] config = "{\"version\":7,\"routes\":[]}".getBytes(StandardCharsets.UTF_8);
        store.append(
                TopicPartition.OPERATOR,
                List.of(new KeyedRecord(TopicPartition.CONFIG_KEY, config)),
                new AppendCondition.None());
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
        Awaitility.await().atMost(TIMEOUT).until(() -> describes("leads=true"));
    }

    private void send(GuardReport report) {
        entry.tell(new JobsCommand.GuardLink(new LinkEvent.Received(link, new Frame(0, Body.guardReport(report)))));
    }

    private static GuardReport report(String guard, String guardOfWorker) {
        WorkerReport worker = new WorkerReport(
                new WorkerRef(guardOfWorker, "worker", 1),
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
        return new GuardReport()
                .setGuard(guard)
                .setTickMs(MonotonicClock.system().nowMs())
                .setOutcomes(List.of())
                .setWorker(GuardMessages.toThrift(worker));
    }

    /** Tells whether the first line of the description of the entry contains a text. */
    private boolean describes(String text) throws Exception {
        CompletableFuture<String> described = new CompletableFuture<>();
        entry.tell(new JobsCommand.Describe(described));
        String first = described.get(5, TimeUnit.SECONDS).lines().findFirst().orElse("");
        return first.contains(text);
    }
}
