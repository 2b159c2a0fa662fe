package org.fulmarreach.entry.jobs;

import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.apache.pekko.stream.SystemMaterializer;
import org.fulmarreach.core.jobs.JobConfig;
import org.fulmarreach.core.jobs.JobQueue;
import org.fulmarreach.runtime.log.EventLog;
import org.fulmarreach.runtime.util.ActorSystems;
import org.fulmarreach.runtime.util.MonotonicClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against requests that an entry leaves without an answer, or answers untruly, when it stops. */
class JobsHttpCloseTest {
    private static final JobConfig CONFIG = new JobConfig(
            1, List.of(new JobQueue("build", "build.test", "/jobs/", "builder", 0, 3, 0, 1_000, 2)), 10_000);

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

    /** A cancellation whose append has no answer may be executed, so 503 (not accepted) would be untrue. */
    @Test
    void writeThatIsUndecidedAtTheEndIsAnsweredAsUndecided() throws Exception {
        CompletableFuture<HttpResponse> answer = handle(HttpRequest.DELETE("/jobs/0123456789abcdef"));
        assertInstanceOf(JobsCommand.Cancel.class, nextCommand());
        http.close(clock.nowMs() + 100, clock.nowMs() + 200);
        HttpResponse response = answer.get(2, TimeUnit.SECONDS);
        assertEquals(504, response.status().intValue());
        assertEquals("close", response.getHeader("Connection").orElseThrow().value());
    }

    /** A query has no effect, so the caller may repeat it elsewhere. */
    @Test
    void queryThatIsPendingAtTheEndIsAnsweredAsUnavailable() throws Exception {
        CompletableFuture<HttpResponse> answer = handle(HttpRequest.GET("/jobs/0123456789abcdef"));
        http.close(clock.nowMs() + 100, clock.nowMs() + 200);
        assertUnavailable(answer.get(2, TimeUnit.SECONDS));
    }

    /** A submission accepted shortly before the end could not be decided any more. */
    @Test
    void requestShortlyBeforeTheEndIsRefusedAtOnce() throws Exception {
        http.close(clock.nowMs(), clock.nowMs() + 60_000);
        assertUnavailable(
                handle(HttpRequest.POST("/jobs/0123456789abcdef").withEntity(ContentTypes.APPLICATION_JSON, "{}"))
                        .get(2, TimeUnit.SECONDS));
        assertNull(commands.poll(), "a request that is refused must not be stored");
    }

    /** The append must be given up in time for an answer, also if the caller would wait longer. */
    @Test
    void deadlineOfARequestIsBeforeTheEnd() throws Exception {
        long answerByMs = clock.nowMs() + 1_000;
        http.close(clock.nowMs() + 900, answerByMs);
        handle(HttpRequest.DELETE("/jobs/0123456789abcdef"));
        JobsCommand.Cancel cancel = assertInstanceOf(JobsCommand.Cancel.class, nextCommand());
        assertTrue(cancel.deadlineAtMs() <= answerByMs, cancel::toString);
    }

    private CompletableFuture<HttpResponse> handle(HttpRequest request) {
        return http.handle(request.addHeader(RawHeader.create("Host", "build.test")))
                .toCompletableFuture();
    }

    private JobsCommand nextCommand() throws InterruptedException {
        return commands.poll(2, TimeUnit.SECONDS);
    }

    private static void assertUnavailable(HttpResponse response) {
        assertEquals(503, response.status().intValue());
        assertEquals("1", response.getHeader("Retry-After").orElseThrow().value());
    }
}
