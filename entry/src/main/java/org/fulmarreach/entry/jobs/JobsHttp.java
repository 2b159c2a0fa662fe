package org.fulmarreach.entry.jobs;

import java.io.IOException;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;

import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpMethods;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.headers.Connection;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.apache.pekko.stream.Materializer;
import org.fulmarreach.core.jobs.JobConfig;
import org.fulmarreach.core.jobs.JobQueue;
import org.fulmarreach.core.jobs.JobSpec;
import org.fulmarreach.platform.JsonText;
import org.fulmarreach.platform.ingress.JobCodec;
import org.fulmarreach.runtime.log.EventLog;
import org.fulmarreach.runtime.util.MonotonicClock;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;

/**
 * Requests of callers about jobs: submission, state, cancellation, and the length of a queue. Thread-safe; it only
 * translates, {@link JobsActor} decides.
 */
final class JobsHttp {
    /** Part of a caller's time that is kept for the answer to travel. */
    private static final long ANSWER_MARGIN_MS = 250;

    /** Used when a caller does not say how long it waits. */
    private static final long DEFAULT_WAIT_MS = 3_000;

    /** Time after which another entry, or this one, can most likely serve: about one election. */
    private static final int RETRY_AFTER_S = 1;

    private static final long BODY_TIMEOUT_MS = 3_000;
    private static final int MAX_ID_CHARS = 64;

    private final Consumer<JobsCommand> jobs;
    private final AtomicReference<JobsCommand.View> view;
    private final Materializer materializer;
    private final MonotonicClock clock;
    private final EventLog log;
    private final MeterRegistry meters;
    private volatile boolean closing;

    /**
     * Constructs the endpoint.
     *
     * @param jobs takes commands for the actor
     * @param view what the actor publishes
     * @param materializer reads bodies
     * @param clock monotonic clock
     * @param log events
     * @param meters takes counts and latencies by queue
     */
    JobsHttp(
            Consumer<JobsCommand> jobs,
            AtomicReference<JobsCommand.View> view,
            Materializer materializer,
            MonotonicClock clock,
            EventLog log,
            MeterRegistry meters) {
        this.jobs = jobs;
        this.view = view;
        this.materializer = materializer;
        this.clock = clock;
        this.log = log;
        this.meters = meters;
    }

    /** Asks callers to close their connections after each answer from now on. */
    void close() {
        closing = true;
    }

    /** Answers whether this entry wants new connections. */
    HttpResponse readiness() {
        return HttpResponse.create().withStatus(view.get().ready() ? 200 : 503);
    }

    /** Answers a caller. */
    CompletionStage<HttpResponse> handle(HttpRequest request) {
        long startedAtMs = clock.nowMs();
        String path = request.getUri().path();
        JobConfig config = view.get().config();
        Optional<JobQueue> queue = config == null ? Optional.empty() : config.findByRequest(hostOf(request), path);
        CompletionStage<HttpResponse> answer;
        if (config == null) {
            answer = refuse(request, path, 503, "this entry has no configuration yet");
        } else if (queue.isEmpty()) {
            answer = refuse(request, path, 404, "no queue has this host and path");
        } else {
            answer = route(
                    request,
                    queue.get(),
                    path.substring(queue.get().pathPrefix().length()),
                    config);
        }
        String name = queue.map(JobQueue::name).orElse("none");
        return answer.thenApply(response -> finish(request, response, name, clock.nowMs() - startedAtMs));
    }

    /*
     * Kinds of requests
     */

    private CompletionStage<HttpResponse> route(HttpRequest request, JobQueue queue, String id, JobConfig config) {
        if (id.length() > MAX_ID_CHARS || id.indexOf('.') >= 0 || id.indexOf('/') >= 0) {
            return refuse(
                    request, id, 400, "the id of a job has up to " + MAX_ID_CHARS + " characters, no dot or slash");
        }
        if (request.method().equals(HttpMethods.GET)) {
            return id.isEmpty() ? countWaiting(queue) : query(request, id);
        }
        if (id.isEmpty()) {
            return refuse(request, queue.name(), 400, "the id of the job is missing after " + queue.pathPrefix());
        }
        if (request.method().equals(HttpMethods.POST)) {
            return submit(request, queue, id, config);
        }
        if (request.method().equals(HttpMethods.DELETE)) {
            return cancel(request, queue, id);
        }
        return refuse(request, id, 405, "a job takes POST, GET and DELETE");
    }

    private CompletionStage<HttpResponse> submit(HttpRequest request, JobQueue queue, String id, JobConfig config) {
        long giveUpAtMs = giveUpAtMs(request, queue);
        return request.entity()
                .toStrict(BODY_TIMEOUT_MS, config.maxBodyBytes(), materializer)
                .handle((strict, failure) -> {
                    if (failure != null) {
                        return refuse(
                                request, id, 413, "the body is over " + config.maxBodyBytes() + " bytes or broken");
                    }
                    try {
                        JobSpec job = JobCodec.decodeJob(
                                id, queue.name(), strict.getData().toArrayUnsafe(), System.currentTimeMillis());
                        return store(request, job, giveUpAtMs, config.version());
                    } catch (IOException e) {
                        return refuse(request, id, 400, e.getMessage());
                    }
                })
                .thenCompose(answer -> answer);
    }

    private CompletionStage<HttpResponse> store(HttpRequest request, JobSpec job, long giveUpAtMs, long version) {
        CompletableFuture<WriteOutcome> outcome = new CompletableFuture<>();
        jobs.accept(new JobsCommand.Submit(job, giveUpAtMs, outcome));
        return outcome.thenCompose(result -> {
            logSubmission(job, result, version);
            return answerWrite(request, job.id(), result);
        });
    }

    private void logSubmission(JobSpec job, WriteOutcome result, long version) {
        JobEvent event = switch (result) {
            case WriteOutcome.Stored stored -> JobEvent.JOB_ACCEPTED;
            case WriteOutcome.Undecided undecided -> JobEvent.JOB_UNDECIDED;
            case WriteOutcome.Refused refused -> JobEvent.JOB_REFUSED;
            case WriteOutcome.Missing missing -> JobEvent.JOB_REFUSED;
        };
        log.emit(event, "id", job.id(), "queue", job.queue(), "config", version, "outcome", result);
    }

    private CompletionStage<HttpResponse> cancel(HttpRequest request, JobQueue queue, String id) {
        CompletableFuture<WriteOutcome> outcome = new CompletableFuture<>();
        jobs.accept(new JobsCommand.Cancel(id, giveUpAtMs(request, queue), outcome));
        return outcome.thenCompose(result -> {
            log.emit(JobEvent.JOB_CANCELLED, "id", id, "queue", queue.name(), "outcome", result);
            return answerWrite(request, id, result);
        });
    }

    private CompletionStage<HttpResponse> answerWrite(HttpRequest request, String id, WriteOutcome outcome) {
        return switch (outcome) {
            case WriteOutcome.Stored stored -> CompletableFuture.completedFuture(HttpResponse.create());
            case WriteOutcome.Refused refused -> refuse(request, id, 503, refused.reason());
            case WriteOutcome.Undecided undecided -> refuse(request, id, 504, undecided.reason());
            case WriteOutcome.Missing missing -> refuse(request, id, 410, "no such job");
        };
    }

    private CompletionStage<HttpResponse> query(HttpRequest request, String id) {
        CompletableFuture<JobsCommand.StatusAnswer> answer = new CompletableFuture<>();
        jobs.accept(new JobsCommand.Query(id, answer));
        return answer.thenCompose(result -> switch (result) {
            case JobsCommand.StatusAnswer.Known known ->
                CompletableFuture.completedFuture(json(200, JobCodec.encodeStatus(known.status())));
            case JobsCommand.StatusAnswer.Missing missing -> refuse(request, id, 410, "no such job");
            case JobsCommand.StatusAnswer.Unavailable unavailable -> refuse(request, id, 503, unavailable.reason());
        });
    }

    private CompletionStage<HttpResponse> countWaiting(JobQueue queue) {
        CompletableFuture<Integer> answer = new CompletableFuture<>();
        jobs.accept(new JobsCommand.CountWaiting(queue.name(), answer));
        return answer.thenApply(waiting -> json(200, JobCodec.encodeWaiting(waiting)));
    }

    /*
     * Answers
     */

    private CompletionStage<HttpResponse> refuse(HttpRequest request, String id, int status, String reason) {
        request.discardEntityBytes(materializer);
        log.emit(
                JobEvent.REQUEST_REFUSED,
                "id",
                id,
                "method",
                request.method().name(),
                "status",
                status,
                "reason",
                reason);
        HttpResponse response = json(status, JsonText.writeObject(Map.of("error", reason)));
        if (status == 503) {
            response = response.addHeader(RawHeader.create("Retry-After", Integer.toString(RETRY_AFTER_S)));
        }
        return CompletableFuture.completedFuture(response);
    }

    private HttpResponse finish(HttpRequest request, HttpResponse response, String queue, long elapsedMs) {
        Timer.builder("fulmarreach.jobs.requests")
                .tags(
                        "queue",
                        queue,
                        "method",
                        request.method().name(),
                        "status",
                        Integer.toString(response.status().intValue()))
                .publishPercentileHistogram()
                .register(meters)
                .record(elapsedMs, TimeUnit.MILLISECONDS);
        return closing ? response.addHeader(Connection.create("close")) : response;
    }

    private static HttpResponse json(int status, byte[] body) {
        return HttpResponse.create().withStatus(status).withEntity(ContentTypes.APPLICATION_JSON, body);
    }

    private static String hostOf(HttpRequest request) {
        String host = request.getHeader("Host").map(header -> header.value()).orElse("");
        int colon = host.lastIndexOf(':');
        return colon > 0 ? host.substring(0, colon) : host;
    }

    private long giveUpAtMs(HttpRequest request, JobQueue queue) {
        long waitMs = DEFAULT_WAIT_MS;
        try {
            waitMs = request.getHeader(JobCodec.DEADLINE_HEADER)
                    .map(header -> Long.parseLong(header.value().trim()))
                    .orElse(DEFAULT_WAIT_MS);
        } catch (NumberFormatException e) {
            log.emit(
                    JobEvent.REQUEST_REFUSED,
                    "id",
                    "none",
                    "status",
                    0,
                    "reason",
                    "deadline is no number; using " + DEFAULT_WAIT_MS + " ms");
        }
        if (queue.timeoutMs() > 0) {
            waitMs = Math.min(waitMs, queue.timeoutMs());
        }
        return clock.nowMs() + Math.max(1, waitMs - ANSWER_MARGIN_MS);
    }
}
