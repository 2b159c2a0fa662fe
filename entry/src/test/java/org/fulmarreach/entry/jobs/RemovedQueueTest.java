package org.fulmarreach.entry.jobs;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.apache.pekko.stream.SystemMaterializer;
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

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;

import static org.junit.jupiter.api.Assertions.assertEquals;

/**
 * Accepted jobs whose queue is removed from the configuration, or changed in it, before all entries are restarted.
 * Guards against jobs that never start, or start on workers of a former service, under the next leader.
 */
class RemovedQueueTest {
    private static final String JOB = "0123456789abcdef";
    private static final String TASK = JOB + ".0.0.0";

    private final FakeStore store = new FakeStore();
    private final FakeLink guard = new FakeLink();
    private final AtomicReference<JobsCommand.View> view = new AtomicReference<>(JobsCommand.View.starting());
    private ActorSystem<JobsCommand> entry;

    @AfterEach
    void stop() {
        entry.terminate();
    }

    /** The next leader knew queues only by the newest configuration, so the accepted job waited for ever. */
    @Test
    void jobOfARemovedQueueStartsUnderTheNextLeader() throws Exception {
        putConfig(1, route("q", "old"));
        startEntry("entry-0");
        submit();
        putConfig(2, route("other", "old"));
        await(() -> describe().contains("config=2"));
        restartEntry();
        await(() -> {
            report("old");
            return guard.starts().contains(TASK);
        });
    }

    /** The service at acceptance must not outweigh the one to which a newer configuration sends the queue. */
    @Test
    void newerConfigurationOfTheQueueCountsFirst() throws Exception {
        putConfig(1, route("q", "old"));
        startEntry("entry-0");
        submit();
        putConfig(2, route("q", "new"));
        await(() -> describe().contains("config=2"));
        restartEntry();
        for (int i = 0; i < 10; i++) {
            report("old");
            Thread.sleep(100);
        }
        assertEquals(List.of(), guard.starts());
        await(() -> {
            report("new");
            return guard.starts().contains(TASK);
        });
    }

    /*
     * Helpers
     */

    private static String route(String name, String service) {
        return "{\"name\":\"" + name + "\",\"host\":\"h\",\"path_prefix\":\"/" + name + "/\",\"service\":\"" + service
                + "\",\"priority\":1,\"max_attempts\":2,\"stretch\":2.0,\"target_latency_ms\":1000}";
    }

    private void putConfig(int version, String route) {
        String config = "{\"version\":" + version + ",\"routes\":[" + route + "],\"services\":[],\"limits\":{}}";
        store.append(
                TopicPartition.OPERATOR,
                List.of(new KeyedRecord(TopicPartition.CONFIG_KEY, config.getBytes(StandardCharsets.UTF_8))),
                new AppendCondition.None());
    }

    private void startEntry(String node) {
        entry = ActorSystems.construct(
                JobsActor.create(
                        store,
                        new FakeEntryLinks(),
                        new JobsActor.Identity(node, "127.0.0.1:1"),
                        new JobTimeLimits(6_000, 120_000, 3_000, 900),
                        new ConfigReadBudget(2_500),
                        MonotonicClock.system(),
                        new EventLog(node),
                        view,
                        new Random(1)),
                node,
                1);
        await(() -> describe().contains("leads=true"));
    }

    /** Ends the only entry without a hand-over, and starts one that knows only what is stored. */
    private void restartEntry() throws Exception {
        entry.terminate();
        entry.getWhenTerminated().toCompletableFuture().get(10, TimeUnit.SECONDS);
        startEntry("entry-1");
    }

    /** Submits the job over HTTP; no worker is known yet, so it waits. */
    private void submit() throws Exception {
        JobsHttp http = new JobsHttp(
                entry::tell,
                view,
                SystemMaterializer.get(entry).materializer(),
                MonotonicClock.system(),
                new EventLog("entry-0"),
                new SimpleMeterRegistry(),
                true);
        HttpRequest request = HttpRequest.POST("/q/" + JOB)
                .addHeader(RawHeader.create("Host", "h"))
                .withEntity(
                        ContentTypes.APPLICATION_JSON,
                        "{\"specification\":\"text\",\"steps\":[{\"count\":1,\"cpu\":100,\"mem_mb\":100}]}");
        assertEquals(
                200,
                http.handle(request)
                        .toCompletableFuture()
                        .get(10, TimeUnit.SECONDS)
                        .status()
                        .intValue());
    }

    private void report(String service) {
        WorkerReport worker = new WorkerReport(
                new WorkerRef("guard-" + service, "worker-" + service, 1),
                service,
                "z",
                new Resources(1_000, 1_000, 0),
                List.of("kind", "rack"),
                false,
                true,
                false,
                List.of(),
                List.of(),
                1);
        GuardReport report = new GuardReport();
        report.setGuard("guard-" + service);
        report.setTickMs(MonotonicClock.system().nowMs());
        report.setTerm(0);
        report.setOutcomes(List.of());
        report.setWorker(GuardMessages.toThrift(worker));
        entry.tell(new JobsCommand.GuardLink(new LinkEvent.Received(guard, new Frame(0, Body.guardReport(report)))));
    }

    private String describe() throws Exception {
        CompletableFuture<String> described = new CompletableFuture<>();
        entry.tell(new JobsCommand.Describe(described));
        return described.get(5, TimeUnit.SECONDS);
    }

    private static void await(Callable<Boolean> condition) {
        Awaitility.await()
                .pollInterval(Duration.ofMillis(20))
                .atMost(Duration.ofSeconds(10))
                .until(condition);
    }
}
