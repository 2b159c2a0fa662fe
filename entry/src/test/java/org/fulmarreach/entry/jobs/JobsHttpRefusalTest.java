package org.fulmarreach.entry.jobs;

import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletionStage;
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
import org.fulmarreach.core.overload.AdmissionDecision;
import org.fulmarreach.core.overload.RankClass;
import org.fulmarreach.runtime.log.EventLog;
import org.fulmarreach.runtime.util.ActorSystems;
import org.fulmarreach.runtime.util.MonotonicClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Refusals as callers get them: when to return, and why. All 503 answers asked callers to return after 1 s. */
class JobsHttpRefusalTest {
    private static final String ID = "5c0e7a21d94b36f8";
    private static final JobConfig CONFIG =
            new JobConfig(1, List.of(new JobQueue("build", "build.test", "/jobs/", "builder", 0, 3, 0, 0, 2)), 10_000);

    private final ActorSystem<Void> system = ActorSystems.construct(Behaviors.empty(), "test", 1);
    private final BlockingQueue<JobsCommand> commands = new LinkedBlockingQueue<>();
    private final SimpleMeterRegistry meters = new SimpleMeterRegistry();
    private final AtomicReference<JobsCommand.View> view =
            new AtomicReference<>(new JobsCommand.View(CONFIG, Long.MAX_VALUE, 0, ""));

    @AfterEach
    void stop() {
        system.terminate();
    }

    @Test
    void overloadedPoolIsAnsweredWithTheReasonAndTheTimeToReturn() throws Exception {
        AdmissionDecision.Refuse decision = new AdmissionDecision.Refuse(7_200, RankClass.LATE, 42_000, 9_000, 300);
        HttpResponse response = submit(true, new WriteOutcome.Overloaded(decision));
        assertEquals(429, response.status().intValue());
        assertEquals("7", retryAfter(response));
        String body = response.entity()
                .toStrict(1_000, system)
                .toCompletableFuture()
                .get(5, TimeUnit.SECONDS)
                .getData()
                .utf8String();
        assertTrue(body.contains("\"error\":\"the pool has too little room: the job would start in about 42000"), body);
        assertEquals(
                1,
                meters.get("fulmarreach.jobs.overloaded")
                        .tags("queue", "build", "reason", "LATE")
                        .counter()
                        .count());
    }

    @Test
    void jobForWhichThereIsTooLittleMemoryIsAnsweredWithTheTimeToReturn() throws Exception {
        HttpResponse response = submit(false, new WriteOutcome.TooManyJobs(31_000));
        assertEquals(429, response.status().intValue());
        assertEquals("31", retryAfter(response));
    }

    /** The operator turns refusals off with a setting of the process, which each submission carries. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void submissionTellsWhetherItMayBeRefused(boolean refusesUseless) throws Exception {
        assertEquals(
                200, submit(refusesUseless, new WriteOutcome.Stored()).status().intValue());
    }

    @Test
    void retryTimeFitsTheReason() throws Exception {
        HttpResponse away = submit(true, new WriteOutcome.Refused("status 503"));
        assertEquals(503, away.status().intValue());
        assertTrue(List.of("1", "2").contains(retryAfter(away)), retryAfter(away));
        // A store that is away for a moment must not cost callers more, and they must not all return together.
        assertEquals(
                List.of(1, 2),
                List.of(RetryTimes.whileStoreIsAway("a"), RetryTimes.whileStoreIsAway("b")).stream()
                        .sorted()
                        .toList());
        JobsHttp http = http(true);
        http.close(0, Long.MAX_VALUE);
        assertEquals("1", retryAfter(get(http.handle(request()))));
        view.set(JobsCommand.View.starting());
        assertTrue(List.of("1", "2").contains(retryAfter(get(http(true).handle(request())))));
    }

    /*
     * Helpers
     */

    private JobsHttp http(boolean refusesUseless) {
        return new JobsHttp(
                commands::add,
                view,
                SystemMaterializer.get(system).materializer(),
                MonotonicClock.system(),
                new EventLog("test"),
                meters,
                refusesUseless);
    }

    private HttpResponse submit(boolean refusesUseless, WriteOutcome outcome) throws Exception {
        CompletionStage<HttpResponse> answer = http(refusesUseless).handle(request());
        JobsCommand.Submit submit = assertInstanceOf(JobsCommand.Submit.class, commands.poll(5, TimeUnit.SECONDS));
        assertEquals(refusesUseless, submit.refusable());
        submit.reply().complete(outcome);
        return get(answer);
    }

    private static HttpRequest request() {
        return HttpRequest.POST("/jobs/" + ID)
                .addHeader(RawHeader.create("Host", "build.test"))
                .withEntity(
                        ContentTypes.APPLICATION_JSON,
                        "{\"specification\":\"text\",\"steps\":[{\"count\":1,\"cpu\":100,\"mem_mb\":100}]}");
    }

    private static HttpResponse get(CompletionStage<HttpResponse> answer) throws Exception {
        return answer.toCompletableFuture().get(5, TimeUnit.SECONDS);
    }

    private static String retryAfter(HttpResponse response) {
        return response.getHeader("Retry-After").orElseThrow().value();
    }
}
