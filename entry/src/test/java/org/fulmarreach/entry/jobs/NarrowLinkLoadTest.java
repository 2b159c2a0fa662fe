package org.fulmarreach.entry.jobs;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicReference;

import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.awaitility.Awaitility;
import org.fulmarreach.core.jobs.JobSpec;
import org.fulmarreach.core.jobs.JobStep;
import org.fulmarreach.core.jobs.JobTimeLimits;
import org.fulmarreach.core.model.Resources;
import org.fulmarreach.platform.store.HttpStoreClient;
import org.fulmarreach.platform.store.TopicPartition;
import org.fulmarreach.protocol.io.JobRecords;
import org.fulmarreach.protocol.io.JobTopics;
import org.fulmarreach.runtime.log.EventLog;
import org.fulmarreach.runtime.util.ActorSystems;
import org.fulmarreach.runtime.util.MonotonicClock;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Start of an entry behind a narrow link, after a loss of power with a large configuration. Answers that took longer
 * than a second, and the pages read before them, were discarded and requested again, which kept the link busy for ever:
 * no entry had loaded its configuration 45 s after the loss.
 */
class NarrowLinkLoadTest {
    private static final int BYTES_PER_KB = 1_024;
    private static final int PAYLOAD_BYTES = 4_000;

    /** Base64 in JSON. */
    private static final double ENCODING_OVERHEAD = 1.4;

    /** Start of the processes, and the round trips of a dozen pages. */
    private static final long FIXED_MS = 2_000;

    /** Part of the rate of the link that the load must reach at least, as a divisor. */
    private static final double MAX_SLOWDOWN = 1.5;

    @ParameterizedTest(name = "{0} Mbit/s, configuration of {1} KB, {2} KB of jobs")
    @CsvSource({"7, 240, 1000", "7, 240, 4000", "2, 240, 1000", "100, 240, 8000"})
    void entryIsReadyAfterTheTimeThatTheLinkNeeds(int linkMbps, int configKb, int jobsKb) throws Exception {
        try (NarrowLinkStore store = new NarrowLinkStore(linkMbps)) {
            store.put(TopicPartition.OPERATOR, TopicPartition.CONFIG_KEY, config(configKb * BYTES_PER_KB));
            for (int i = 0; i * PAYLOAD_BYTES < jobsKb * BYTES_PER_KB; i++) {
                JobSpec job = job(i);
                store.put(JobPartitions.REQUESTS, JobTopics.jobKey(job.id()), JobRecords.encode(job));
            }
            AtomicReference<JobsCommand.View> view = new AtomicReference<>(JobsCommand.View.starting());
            ActorSystem<JobsCommand> entry = start(store.port(), view);
            try {
                Awaitility.await()
                        .atMost(Duration.ofMillis(boundMs(configKb, linkMbps)))
                        .until(() -> view.get().config() != null);
                Awaitility.await()
                        .atMost(Duration.ofMillis(boundMs(jobsKb, linkMbps)))
                        .until(() -> view.get().ready());
            } finally {
                entry.terminate();
            }
        }
    }

    private static long boundMs(int sizeKb, int linkMbps) {
        double bits = sizeKb * BYTES_PER_KB * ENCODING_OVERHEAD * Byte.SIZE;
        return FIXED_MS + (long) (MAX_SLOWDOWN * bits / (linkMbps * 1_000.0));
    }

    private static ActorSystem<JobsCommand> start(int port, AtomicReference<JobsCommand.View> view) {
        return ActorSystems.construct(
                Behaviors.setup(context -> JobsActor.create(
                        new HttpStoreClient(context.getSystem(), "127.0.0.1", port),
                        new FakeEntryLinks(),
                        new JobsActor.Identity("entry-0", "127.0.0.1:1"),
                        new JobTimeLimits(6_000, 120_000, 3_000, 900),
                        new ConfigReadBudget(2_500),
                        MonotonicClock.system(),
                        new EventLog("entry-0"),
                        view,
                        new Random(1))),
                "entry",
                2);
    }

    private static byte[] config(int bytes) {
        StringBuilder routes = new StringBuilder();
        for (int i = 0; routes.length() < bytes; i++) {
            routes.append(i == 0 ? "" : ",")
                    .append("{\"name\":\"q")
                    .append(i)
                    .append("\",\"host\":\"h\",\"path_prefix\":\"/q")
                    .append(i)
                    .append("/\",\"service\":\"s\",\"max_attempts\":2}");
        }
        return ("{\"version\":7,\"routes\":[" + routes + "],\"services\":[],\"limits\":{}}")
                .getBytes(StandardCharsets.UTF_8);
    }

    private static JobSpec job(int number) {
        JobStep step = new JobStep(
                1,
                new Resources(100, 100, 0),
                100,
                List.of(),
                false,
                false,
                false,
                "",
                "",
                0,
                false,
                false,
                "",
                0,
                false,
                0);
        return new JobSpec(String.format("%016x", number), "q1", "x".repeat(PAYLOAD_BYTES), List.of(step), 0, 0, 0, 1);
    }
}
