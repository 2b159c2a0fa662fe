package org.fulmarreach.entry.jobs;

import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.apache.pekko.stream.SystemMaterializer;
import org.fulmarreach.core.jobs.JobConfig;
import org.fulmarreach.core.jobs.JobQueue;
import org.fulmarreach.platform.ingress.JobCodec;
import org.fulmarreach.runtime.log.EventLog;
import org.fulmarreach.runtime.util.ActorSystems;
import org.fulmarreach.runtime.util.MonotonicClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;

import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Deadlines that callers name: the largest ones overflowed, so that the request had expired when it arrived. */
class JobsHttpDeadlineTest {
    private static final JobConfig CONFIG =
            new JobConfig(1, List.of(new JobQueue("build", "build.test", "/jobs/", "builder", 0, 3, 0, 0, 2)), 10_000);

    private final MonotonicClock clock = MonotonicClock.system();
    private final ActorSystem<Void> system = ActorSystems.construct(Behaviors.empty(), "test", 1);
    private final BlockingQueue<JobsCommand> commands = new LinkedBlockingQueue<>();
    private final JobsHttp http = new JobsHttp(
            commands::add,
            new AtomicReference<>(new JobsCommand.View(CONFIG, Long.MAX_VALUE, 0, "")),
            SystemMaterializer.get(system).materializer(),
            clock,
            new EventLog("test"),
            new SimpleMeterRegistry(),
            true);

    @AfterEach
    void stop() {
        system.terminate();
    }

    /** A caller without a usable deadline waits some seconds at least and is not served for ever. */
    @ParameterizedTest
    @CsvSource({
        "9223372036854775807, 2000, 600000",
        "9223372036854775000, 2000, 600000",
        "9223372036854775808, 2000, 600000",
        "99999999999, 2000, 600000",
        "soon, 2000, 600000",
        "20000, 19000, 20000",
        "0, 0, 1000",
        "-9223372036854775808, 0, 1000"
    })
    void deadlineIsWithinABound(String header, long minMs, long maxMs) throws Exception {
        long sentAtMs = clock.nowMs();
        http.handle(HttpRequest.DELETE("/jobs/0123456789abcdef")
                .addHeader(RawHeader.create("Host", "build.test"))
                .addHeader(RawHeader.create(JobCodec.DEADLINE_HEADER, header)));
        JobsCommand.Cancel cancel = assertInstanceOf(JobsCommand.Cancel.class, commands.poll(2, TimeUnit.SECONDS));
        long receivedAtMs = clock.nowMs();
        assertTrue(cancel.deadlineAtMs() >= sentAtMs + minMs, cancel::toString);
        assertTrue(cancel.deadlineAtMs() <= receivedAtMs + maxMs, cancel::toString);
    }
}
