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
import org.fulmarreach.core.jobs.WorkerRef;
import org.fulmarreach.core.jobs.WorkerReport;
import org.fulmarreach.core.model.Resources;
import org.fulmarreach.platform.store.AppendCondition;
import org.fulmarreach.platform.store.KeyedRecord;
import org.fulmarreach.platform.store.TopicPartition;
import org.fulmarreach.protocol.io.GuardMessages;
import org.fulmarreach.protocol.io.JobRecords;
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

/** A guard whose connection was reset for a moment, and from which leases are withheld when it is back. */
class WithheldGuardTest {
    private static final Resources SMALL = new Resources(300, 100, 0);
    private static final int TARGET_MS = 20;

    private final FakeStore store = new FakeStore();
    private final List<WorkerReport.Running> running = new ArrayList<>();
    private ActorSystem<JobsCommand> entry;
    private long pollNumber;

    @AfterEach
    void stop() {
        entry.terminate();
    }

    /** The record without the guard is not written while the last write is older than a second. */
    @Test
    void guardGetsItsLeaseAgainWhileTheStoreIsSlow() throws Exception {
        FakeLink guard = startWithRun();
        reset(guard);
        store.delayAppends(1_200);
        // The lease of the worker has 3.5 s left then.
        Thread.sleep(2_500);
        assertGranted(3_500);
    }

    /** Runs outlast an outage of the store, unless the connection of their guard was reset just before it. */
    @Test
    void guardGetsItsLeaseAgainWhileTheStoreIsAway() throws Exception {
        FakeLink guard = startWithRun();
        reset(guard);
        store.refuse(true);
        assertGranted(4_500);
    }

    /** A CPU share that is decided while leases are withheld is never sent, so the task is never throttled. */
    @Test
    void throttleThatIsDecidedMeanwhileIsSentAfterwards() throws Exception {
        FakeLink guard = startWithRun();
        submit("fill", false, true);
        Awaitility.await().atMost(Duration.ofSeconds(10)).until(() -> {
            report(guard);
            return guard.starts().contains("fill.0.0.0");
        });
        running.add(new WorkerReport.Running("fill.0.0.0", 1, "", 10, 250));
        for (int i = 0; i < 8; i++) {
            report(guard);
            Thread.sleep(100);
        }
        assertTrue(paces(guard) == 0, "throttled too early");
        reset(guard);
        store.delayAppends(300);
        running.set(0, new WorkerReport.Running("job-1.0.0.0", 1, "", 100, 20 * TARGET_MS));
        FakeLink again = new FakeLink();
        for (int i = 0; i < 50 && paces(again) == 0; i++) {
            report(again);
            Thread.sleep(100);
        }
        assertTrue(leases(again) > 0, "no lease");
        assertTrue(paces(again) > 0, "the best-effort task was not throttled in 5 s");
    }

    /** A leader that cannot store its resignation has no successor, and its guards get no lease from anybody. */
    @Test
    void leaderThatCannotStoreItsResignationGrantsLeases() throws Exception {
        FakeLink guard = startWithRun();
        store.refuse(true);
        entry.tell(new JobsCommand.Drain(new CompletableFuture<>()));
        Thread.sleep(100);
        long before = leases(guard);
        for (int i = 0; i < 30; i++) {
            report(guard);
            Thread.sleep(100);
        }
        assertTrue(leases(guard) > before, "no lease in 3 s");
    }

    /** Leases that were granted after a refused attempt would outlast the bounds of that attempt. */
    @Test
    void resignationThatIsRepeatedBoundsTheLeasesGrantedSince() throws Exception {
        FakeLink guard = startWithRun();
        Thread.sleep(1_500);
        store.refuse(true);
        entry.tell(new JobsCommand.Drain(new CompletableFuture<>()));
        Thread.sleep(100);
        long before = leases(guard);
        while (leases(guard) == before) {
            report(guard);
            Thread.sleep(20);
        }
        store.refuse(false);
        Awaitility.await().atMost(Duration.ofSeconds(10)).until(() -> lastBoundMs() > 0);
        assertTrue(lastBoundMs() > 6_000, "bound of " + lastBoundMs() + " ms");
    }

    /** A grant that no session could carry counts as sent, so the task waits for a lease that nobody has. */
    @Test
    void grantWithoutASessionDoesNotProlongTheBound() throws Exception {
        FakeLink guard = startWithRun();
        reset(guard);
        Thread.sleep(1_500);
        store.delayAppends(400);
        FakeLink again = new FakeLink();
        report(again);
        Thread.sleep(50);
        entry.tell(new JobsCommand.GuardLink(new LinkEvent.Closed(again, "reset")));
        Thread.sleep(2_000);
        assertTrue(leases(again) == 0, "granted before it left");
        assertTrue(lastBoundMs() < 5_500, "bound of " + lastBoundMs() + " ms, over 1.8 s after the last grant");
    }

    /** Returns the bound on the guard's lease in the last record that has one; 0 without any. */
    private long lastBoundMs() {
        return store.records(JobPartitions.PROGRESS).stream()
                .filter(entry -> entry.key().equals("withheld"))
                .map(entry -> JobRecords.decodeWithheld(entry.value()).remainingMs())
                .filter(bounds -> bounds.containsKey("guard"))
                .mapToLong(bounds -> bounds.get("guard"))
                .reduce((first, last) -> last)
                .orElse(0);
    }

    private FakeLink startWithRun() throws Exception {
        String config = "{\"version\":7,\"routes\":[{\"name\":\"q\",\"host\":\"h\",\"path_prefix\":\"/q/\","
                + "\"service\":\"s\",\"max_attempts\":2}],\"services\":[],\"limits\":{}}";
        append(TopicPartition.OPERATOR, TopicPartition.CONFIG_KEY, config.getBytes(StandardCharsets.UTF_8));
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
        Awaitility.await().atMost(Duration.ofSeconds(10)).until(() -> describe().contains("leads=true"));
        FakeLink guard = new FakeLink();
        report(guard);
        submit("job-1", true, false);
        Awaitility.await().atMost(Duration.ofSeconds(10)).until(() -> {
            report(guard);
            return guard.starts().contains("job-1.0.0.0");
        });
        running.add(new WorkerReport.Running("job-1.0.0.0", 1, "", 100, TARGET_MS / 4));
        report(guard);
        return guard;
    }

    /** Ends the guard's connection; the leader looks for guards that have left every 100 ms. */
    private void reset(FakeLink guard) throws Exception {
        entry.tell(new JobsCommand.GuardLink(new LinkEvent.Closed(guard, "reset")));
        Thread.sleep(300);
    }

    private void assertGranted(int withinMs) throws Exception {
        FakeLink again = new FakeLink();
        for (int i = 0; i < withinMs / 100 && leases(again) == 0; i++) {
            report(again);
            Thread.sleep(100);
        }
        assertTrue(leases(again) > 0, "no lease within " + withinMs + " ms, but " + again.grants() + " terms alone");
    }

    private static long leases(FakeLink link) {
        return link.orders().stream()
                .filter(orders -> !orders.getWorker().getId().isEmpty())
                .count();
    }

    private static long paces(FakeLink link) {
        return link.orders().stream().mapToLong(orders -> orders.getPacesSize()).sum();
    }

    private void submit(String id, boolean standing, boolean fills) throws Exception {
        JobStep step = new JobStep(
                1,
                SMALL,
                60_000,
                List.of(),
                false,
                false,
                false,
                "",
                "",
                0,
                false,
                standing,
                standing ? "serve" : "fill",
                standing ? TARGET_MS : 0,
                fills,
                0);
        CompletableFuture<WriteOutcome> stored = new CompletableFuture<>();
        JobSpec spec = new JobSpec(id, "q", "text", List.of(step), 0, 0, 0, System.currentTimeMillis());
        entry.tell(new JobsCommand.Submit(spec, MonotonicClock.system().nowMs() + 3_000, stored));
        stored.get(5, TimeUnit.SECONDS);
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
                new Resources(1_000, 1_000, 0),
                List.of("kind", "rack"),
                false,
                true,
                false,
                List.copyOf(running),
                List.of(),
                ++pollNumber);
        GuardReport report = new GuardReport();
        report.setGuard("guard");
        report.setTickMs(MonotonicClock.system().nowMs());
        report.setTerm(1);
        report.setOutcomes(List.of());
        report.setWorker(GuardMessages.toThrift(worker));
        entry.tell(new JobsCommand.GuardLink(new LinkEvent.Received(link, new Frame(0, Body.guardReport(report)))));
    }
}
