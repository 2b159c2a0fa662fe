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
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** What a leader stores about leases, and whether it keeps to it. */
class LeaseWithholdingTest {
    private static final Resources SMALL = new Resources(100, 100, 0);
    private static final Duration TIMEOUT = Duration.ofSeconds(10);

    private final FakeStore store = new FakeStore();
    private final ActorSystem<JobsCommand> entry = ActorSystems.construct(
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

    @BeforeEach
    void awaitLeader() {
        String config = "{\"version\":7,\"routes\":[{\"name\":\"q\",\"host\":\"h\",\"path_prefix\":\"/q/\","
                + "\"service\":\"s\",\"max_attempts\":2}],\"services\":[],\"limits\":{}}";
        store.append(
                TopicPartition.OPERATOR,
                List.of(new KeyedRecord(TopicPartition.CONFIG_KEY, config.getBytes(StandardCharsets.UTF_8))),
                new AppendCondition.None());
        Awaitility.await().atMost(TIMEOUT).until(() -> describe().contains("leads=true"));
    }

    @AfterEach
    void stop() {
        entry.terminate();
    }

    /** A lease that is granted before the record is replaced would outlast the bound that the next leader has read. */
    @Test
    void guardThatReturnsGetsALeaseOnceTheRecordIsReplaced() throws Exception {
        FakeLink left = new FakeLink();
        startRun(left);
        entry.tell(new JobsCommand.GuardLink(new LinkEvent.Closed(left, "gone")));
        Awaitility.await().atMost(TIMEOUT).until(() -> withheldGuards().equals(Set.of("guard")));
        store.refuseAppends(JobPartitions.PROGRESS);
        FakeLink back = new FakeLink();
        Awaitility.await().atMost(TIMEOUT).until(() -> {
            report(back);
            return back.orders().size() > 3;
        });
        assertEquals(0, grants(back), "leases while the record names the guard");
        store.refuseAppends(null);
        Awaitility.await().atMost(TIMEOUT).until(() -> {
            report(back);
            return grants(back) > 0;
        });
        assertEquals(Set.of(), withheldGuards());
    }

    /** The acknowledgement of an append that was under way counted as that of the resignation, which was not stored. */
    @Test
    void resignationIsStoredAlsoWhileAnAppendIsUnderWay() throws Exception {
        FakeLink guard = new FakeLink();
        store.delayAppends(300);
        submit();
        report(guard);
        Awaitility.await().atMost(TIMEOUT).until(() -> newest(JobTopics.progressKey("job-1")) != null);
        CompletableFuture<Void> drained = new CompletableFuture<>();
        entry.tell(new JobsCommand.Drain(drained));
        drained.get(5, TimeUnit.SECONDS);
        assertTrue(
                JobRecords.decodeLeader(newest(JobTopics.LEADER_KEY)).getNode().isEmpty());
    }

    /** The successor of a leader that had resigned waited for grants that it could not give any more. */
    @Test
    void resignationBoundsTheLeasesOfAllGuards() throws Exception {
        startRun(new FakeLink());
        CompletableFuture<Void> drained = new CompletableFuture<>();
        entry.tell(new JobsCommand.Drain(drained));
        drained.get(5, TimeUnit.SECONDS);
        assertEquals(Set.of("guard"), withheldGuards());
    }

    private void startRun(FakeLink guard) throws Exception {
        report(guard);
        submit();
        Awaitility.await().atMost(TIMEOUT).until(() -> {
            report(guard);
            return !guard.starts().isEmpty();
        });
    }

    private void submit() throws Exception {
        JobStep step =
                new JobStep(1, SMALL, 100, List.of(), false, false, false, "", "", 0, false, false, "", 0, false, 0);
        JobSpec job = new JobSpec("job-1", "q", "text", List.of(step), 0, 0, 0, System.currentTimeMillis());
        CompletableFuture<WriteOutcome> stored = new CompletableFuture<>();
        entry.tell(new JobsCommand.Submit(job, MonotonicClock.system().nowMs() + 3_000, stored));
        stored.get(5, TimeUnit.SECONDS);
    }

    private Set<String> withheldGuards() {
        byte[] record = newest(JobTopics.WITHHELD_KEY);
        return record == null
                ? Set.of()
                : JobRecords.decodeWithheld(record).remainingMs().keySet();
    }

    private byte[] newest(String key) {
        byte[] newest = null;
        for (KeyedRecord each : store.records(JobPartitions.PROGRESS)) {
            newest = each.key().equals(key) ? each.value() : newest;
        }
        return newest;
    }

    private static long grants(FakeLink link) {
        return link.orders().stream()
                .filter(orders -> !orders.getWorker().getId().isEmpty())
                .count();
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
}
