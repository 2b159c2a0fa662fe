package org.fulmarreach.entry.jobs;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

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
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against an evacuation of a zone that entries do not notice, notice late, or do not see taken back, so that
 * leaders start runs in a zone that is being emptied, or in none of its workers ever again.
 */
class EvacuationTest {
    private static final Resources SMALL = new Resources(1_000, 100, 0);
    private static final JobTimeLimits LIMITS = new JobTimeLimits(6_000, 120_000, 4_000, 900, 5_000);
    private static final int CONFIG_APPLY_MS = 4_000;
    private static final int SLOW_ANSWER_MS = 240;

    private final FakeStore store = new FakeStore();
    private final FakeLink guard = new FakeLink();
    private ActorSystem<JobsCommand> entry;

    @BeforeEach
    void configure() {
        String config = "{\"version\":7,\"routes\":[{\"name\":\"q\",\"host\":\"h\",\"path_prefix\":\"/q/\","
                + "\"service\":\"s\",\"max_attempts\":2}],\"services\":[],\"limits\":{}}";
        put(TopicPartition.CONFIG_KEY, config);
    }

    @AfterEach
    void stop() {
        if (entry != null) {
            entry.terminate();
        }
    }

    @Test
    void evacuationOfBeforeTheTermHolds() throws Exception {
        put("evacuate/z", "{}");
        start();
        await(() -> describe().contains("leads=true"));
        assertTrue(describe().contains("evacuatedZones=[z]"), describe());
        submit();
        reportForOneSecond();
        assertEquals(List.of(), guard.starts());
    }

    @Test
    void evacuationIsNoticedAndTakenBackDuringTheTerm() throws Exception {
        start();
        await(() -> describe().contains("leads=true"));
        put("evacuate/z", "{}");
        await(() -> describe().contains("evacuatedZones=[z]"));
        submit();
        reportForOneSecond();
        assertEquals(List.of(), guard.starts());
        put("evacuate/z", "");
        await(() -> {
            report();
            return guard.starts().contains("job-1.0.0.0");
        });
    }

    /** The records of jobs are read and written meanwhile, so all else that starts depend on works. */
    @Test
    void startsAreHeldWhileTheOperatorsRecordsGetNoAnswer() throws Exception {
        start();
        await(() -> describe().contains("leads=true"));
        store.silenceReads(TopicPartition.OPERATOR);
        await(() -> configAgeMs() > LIMITS.maxEvacuationViewAgeMs());
        put("evacuate/z", "{}");
        submit();
        reportForOneSecond();
        assertEquals(List.of(), guard.starts());
        store.silenceReads(null);
        await(() -> describe().contains("evacuatedZones=[z]"));
        reportForOneSecond();
        assertEquals(List.of(), guard.starts());
    }

    /** The store may have deleted the record that took the evacuation back before it was read. */
    @Test
    void removalThatWasMissedIsNoticed() throws Exception {
        put("evacuate/y", "{}");
        put("evacuate/z", "{}");
        start();
        await(() -> describe().contains("evacuatedZones=[y, z]"));
        store.removeAndExpire(TopicPartition.OPERATOR, "evacuate/z");
        await(() -> describe().contains("evacuatedZones=[y] "));
    }

    /** One record that names nothing hid those after it. */
    @Test
    void recordWithoutAZoneIsSkipped() throws Exception {
        put("evacuate/", "{}");
        put("evacuate/ ", "{}");
        put("evacuated", "{}");
        put("evacuate/z", "\u0000 not an object");
        start();
        await(() -> describe().contains("evacuatedZones=[z]"));
    }

    /**
     * The start that is sent just before the leader's view of evacuations becomes too old, and that the guard then
     * holds as long as it may, must reach the worker within the bound.
     */
    @ParameterizedTest
    @CsvSource({"5000, 4000", "5000, 3000", "5000, 12000", "2000, 4000", "800, 3000"})
    void delaysOfAStartAddUpToLessThanTheBound(long evacuationMs, long cancelMs) {
        JobTimeLimits limits = new JobTimeLimits(6_000, 120_000, cancelMs, 900, evacuationMs);
        assertTrue(limits.maxEvacuationViewAgeMs() > 0);
        assertTrue(limits.startValidMs() <= cancelMs / 2);
        assertTrue(limits.maxEvacuationViewAgeMs() + limits.startValidMs() < evacuationMs);
    }

    /** Otherwise starts would be held in calm, or by one answer that is lost. */
    @Test
    void leaderReadsOftenEnoughForStartsNotToBeHeld() {
        VirtualTime time = new VirtualTime();
        VirtualStore slow = new VirtualStore(time, SLOW_ANSWER_MS, 0);
        slow.append(new KeyedRecord("evacuate/z", new byte[] {1}));
        LogTail tail = new LogTail(
                TopicPartition.OPERATOR,
                slow,
                time.mailbox(),
                new EventLog("entry"),
                time::nowMs,
                new ConfigReadBudget(CONFIG_APPLY_MS).times().withMaxWaitMs((int) LIMITS.evacuationReadWaitMs()),
                new Random(1),
                Set::of,
                update -> {});
        tail.reload();
        time.runUntil(5_000);
        List<Long> tooOldMs = new ArrayList<>();
        long endMs = time.nowMs() + 30_000;
        for (long atMs = time.nowMs(); atMs < endMs; atMs += 10) {
            if (atMs % 7_000 == 0) {
                slow.fail(VirtualStore.Failure.SILENT);
                slow.fail(VirtualStore.Failure.NONE);
            }
            time.runUntil(atMs);
            if (tail.ageMs() > LIMITS.maxEvacuationViewAgeMs()) {
                tooOldMs.add(tail.ageMs());
            }
        }
        assertEquals(List.of(), tooOldMs);
    }

    private void start() {
        entry = ActorSystems.construct(
                JobsActor.create(
                        store,
                        new FakeEntryLinks(),
                        new JobsActor.Identity("entry-0", "127.0.0.1:1"),
                        LIMITS,
                        new ConfigReadBudget(CONFIG_APPLY_MS),
                        MonotonicClock.system(),
                        new EventLog("entry-0"),
                        new AtomicReference<>(JobsCommand.View.starting()),
                        new Random(1)),
                "entry-0",
                1);
    }

    private void put(String key, String value) {
        store.append(
                TopicPartition.OPERATOR,
                List.of(new KeyedRecord(key, value.getBytes(StandardCharsets.UTF_8))),
                new AppendCondition.None());
    }

    private static void await(Callable<Boolean> condition) {
        Awaitility.await().atMost(Duration.ofSeconds(10)).until(condition);
    }

    private String describe() throws Exception {
        CompletableFuture<String> described = new CompletableFuture<>();
        entry.tell(new JobsCommand.Describe(described));
        return described.get(5, TimeUnit.SECONDS);
    }

    private long configAgeMs() throws Exception {
        Matcher matcher = Pattern.compile("configAgeMs=(\\d+)").matcher(describe());
        assertTrue(matcher.find(), "no age of the configuration");
        return Long.parseLong(matcher.group(1));
    }

    private void submit() throws Exception {
        JobStep step =
                new JobStep(1, SMALL, 100, List.of(), false, false, false, "", "", 0, false, false, "", 0, false, 0);
        JobSpec job = new JobSpec("job-1", "q", "text", List.of(step), 0, 0, 0, System.currentTimeMillis());
        CompletableFuture<WriteOutcome> stored = new CompletableFuture<>();
        entry.tell(new JobsCommand.Submit(job, MonotonicClock.system().nowMs() + 3_000, stored));
        stored.get(5, TimeUnit.SECONDS);
    }

    /** Reports as a guard does while the leader could start the task, which it does in some 100 ms elsewhere. */
    private void reportForOneSecond() {
        long untilMs = MonotonicClock.system().nowMs() + 1_000;
        await(() -> {
            report();
            return MonotonicClock.system().nowMs() > untilMs;
        });
    }

    private void report() {
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
        entry.tell(new JobsCommand.GuardLink(new LinkEvent.Received(guard, new Frame(0, Body.guardReport(report)))));
    }
}
