package org.fulmarreach.entry.jobs;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.apache.pekko.stream.SystemMaterializer;
import org.awaitility.Awaitility;
import org.fulmarreach.core.jobs.JobTimeLimits;
import org.fulmarreach.platform.store.AppendCondition;
import org.fulmarreach.platform.store.KeyedRecord;
import org.fulmarreach.platform.store.TopicPartition;
import org.fulmarreach.runtime.log.EventLog;
import org.fulmarreach.runtime.util.ActorSystems;
import org.fulmarreach.runtime.util.MonotonicClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against an entry that denies a queue although it knows that its configuration may be out of date, and reports
 * itself as ready meanwhile.
 */
class OutdatedConfigTest {
    private static final int APPLY_MS = 800;
    private static final Duration TIMEOUT = Duration.ofSeconds(10);

    private final FakeStore store = new FakeStore();
    private final AtomicReference<JobsCommand.View> view = new AtomicReference<>(JobsCommand.View.starting());
    private final SimpleMeterRegistry meters = new SimpleMeterRegistry();
    private final MonotonicClock clock = MonotonicClock.system();
    private ActorSystem<JobsCommand> entry;
    private JobsHttp http;

    @BeforeEach
    void start() {
        publish(7, "old");
        entry = ActorSystems.construct(
                JobsActor.create(
                        store,
                        new FakeEntryLinks(),
                        new JobsActor.Identity("entry-0", "127.0.0.1:1"),
                        new JobTimeLimits(6_000, 120_000, 3_000, 900),
                        new ConfigReadBudget(APPLY_MS),
                        clock,
                        new EventLog("entry-0"),
                        view,
                        new Random(1)),
                "entry-0",
                1);
        http = new JobsHttp(
                entry::tell,
                view,
                SystemMaterializer.get(entry).materializer(),
                clock,
                new EventLog("entry-0"),
                meters,
                true);
        JobsNode.registerGauges(view, clock, meters);
        Awaitility.await().atMost(TIMEOUT).until(() -> view.get().ready());
    }

    @AfterEach
    void stop() {
        entry.terminate();
    }

    @Test
    void queueIsNotDeniedByAnOutdatedConfiguration() throws Exception {
        assertEquals(404, count("new"));
        store.silenceReads(TopicPartition.OPERATOR);
        publish(8, "new");
        Awaitility.await().atMost(TIMEOUT).until(() -> count("new") == 503);
        // The active configuration is the best that is known, and a store that is away must not close the service.
        assertEquals(200, count("old"));
        store.silenceReads(null);
        Awaitility.await().atMost(TIMEOUT).until(() -> count("new") == 200);
        assertEquals(404, count("old"));
    }

    @Test
    void entryWithAnOutdatedConfigurationIsNotReady() {
        assertEquals(200, http.readiness().status().intValue());
        store.silenceReads(TopicPartition.OPERATOR);
        Awaitility.await().atMost(TIMEOUT).until(() -> http.readiness().status().intValue() == 503);
        assertTrue(view.get().unreadyReason().contains("configuration"), view.get()::unreadyReason);
        assertTrue(meters.get("fulmarreach.config.age").gauge().value() > APPLY_MS / 1_000.0);
        store.silenceReads(null);
        Awaitility.await().atMost(TIMEOUT).until(() -> http.readiness().status().intValue() == 200);
    }

    private int count(String queue) throws Exception {
        return http.handle(HttpRequest.GET("/" + queue + "/").addHeader(RawHeader.create("Host", "h")))
                .toCompletableFuture()
                .get(5, TimeUnit.SECONDS)
                .status()
                .intValue();
    }

    private void publish(int version, String queue) {
        String config = """
                {"version":%d,"routes":[{"name":"%s","host":"h","path_prefix":"/%s/","service":"s"}],
                 "services":[],"limits":{}}""".formatted(version, queue, queue);
        store.append(
                TopicPartition.OPERATOR,
                List.of(new KeyedRecord(TopicPartition.CONFIG_KEY, config.getBytes(StandardCharsets.UTF_8))),
                new AppendCondition.None());
    }
}
