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
import org.fulmarreach.core.model.Resources;
import org.fulmarreach.platform.store.AppendCondition;
import org.fulmarreach.platform.store.KeyedRecord;
import org.fulmarreach.platform.store.TopicPartition;
import org.fulmarreach.runtime.log.EventLog;
import org.fulmarreach.runtime.util.ActorSystems;
import org.fulmarreach.runtime.util.MonotonicClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** The metric of the longest wait of a standing task, at an entry that leads without any worker. */
class StandingWaitTest {
    private static final String NONE = "fulmarreach_jobs_standing_wait_seconds 0.0";

    private final FakeStore store = new FakeStore();
    private final AtomicReference<JobsCommand.View> view = new AtomicReference<>(JobsCommand.View.starting());
    private final PrometheusMeterRegistry meters = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private ActorSystem<JobsCommand> entry;

    @AfterEach
    void stop() {
        entry.terminate();
    }

    /** A standing task waited without a run, and no metric showed it. A former leader must not show it for ever. */
    @Test
    void waitIsServedWhileThisEntryLeads() throws Exception {
        String config = "{\"version\":7,\"routes\":[{\"name\":\"q\",\"host\":\"h\",\"path_prefix\":\"/q/\","
                + "\"service\":\"s\",\"max_attempts\":2}],\"services\":[],\"limits\":{}}";
        store.append(
                TopicPartition.OPERATOR,
                List.of(new KeyedRecord(TopicPartition.CONFIG_KEY, config.getBytes(StandardCharsets.UTF_8))),
                new AppendCondition.None());
        JobsNode.registerGauges(view, MonotonicClock.system(), meters);
        start();
        Awaitility.await()
                .atMost(Duration.ofSeconds(10))
                .until(() -> describe().contains("leads=true") && view.get().ready());
        assertTrue(meters.scrape().contains(NONE), meters::scrape);
        assertTrue(meters.scrape().contains("fulmarreach_jobs_headroom_cores 0.0"), meters::scrape);
        CompletableFuture<WriteOutcome> stored = new CompletableFuture<>();
        entry.tell(new JobsCommand.Submit(standingJob(), MonotonicClock.system().nowMs() + 3_000, stored));
        stored.get(5, TimeUnit.SECONDS);
        Awaitility.await().atMost(Duration.ofSeconds(10)).until(() -> view.get().standingWaitMs() > 1_000);
        assertFalse(meters.scrape().contains(NONE), meters::scrape);
        CompletableFuture<Void> resigned = new CompletableFuture<>();
        entry.tell(new JobsCommand.Drain(resigned));
        resigned.get(5, TimeUnit.SECONDS);
        Awaitility.await().atMost(Duration.ofSeconds(5)).until(() -> view.get().standingWaitMs() == 0);
        assertTrue(meters.scrape().contains(NONE), meters::scrape);
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
                        view,
                        new Random(1)),
                "entry-0",
                1);
    }

    private String describe() throws Exception {
        CompletableFuture<String> described = new CompletableFuture<>();
        entry.tell(new JobsCommand.Describe(described));
        return described.get(5, TimeUnit.SECONDS);
    }

    private static JobSpec standingJob() {
        JobStep step = new JobStep(
                1,
                new Resources(100, 100, 0),
                0,
                List.of(),
                false,
                false,
                false,
                "",
                "",
                0,
                false,
                true,
                "image",
                18,
                false,
                0);
        return new JobSpec("job-1", "q", "", List.of(step), 0, 0, 0, System.currentTimeMillis());
    }
}
