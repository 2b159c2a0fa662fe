package org.fulmarreach.entry.jobs;

import java.io.IOException;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
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
import org.fulmarreach.core.jobs.JobStatus;
import org.fulmarreach.core.overload.AdmissionDecision;
import org.fulmarreach.platform.JsonText;
import org.fulmarreach.platform.ingress.JobCodec;
import org.fulmarreach.runtime.log.EventLog;
import org.fulmarreach.runtime.util.MonotonicClock;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;

/**
 * HTTP endpoint for callers: submission, status and cancellation of jobs, and the length of a queue. Translates
 * requests to messages of {@link JobsActor}. Thread-safe.
 */
final class JobsHttp {
    /** Part of a caller's deadline that is reserved for sending the response. */
    private static final long ANSWER_MARGIN_MS = 250;

    /** Deadline of a request without a deadline header. */
    private static final long DEFAULT_WAIT_MS = 3_000;

    /** Longest deadline that is taken from a header; the request is kept in memory for that long. */
    private static final long MAX_WAIT_MS = 600_000;

    private static final long BODY_TIMEOUT_MS = 3_000;
    private static final int MAX_ID_CHARS = 64;

    private static final int TOO_MANY_REQUESTS = 429;
    private static final int UNAVAILABLE = 503;

    private final Consumer<JobsCommand> jobs;
    private final AtomicReference<JobsCommand.View> view;
    private final Materializer materializer;
    private final MonotonicClock clock;
    private final EventLog log;
    private final MeterRegistry meters;
    private final boolean refusesUseless;
    private final Map<CompletableFuture<HttpResponse>, HttpRequest> pending = new ConcurrentHashMap<>();
    private volatile boolean closing;
    private volatile long refuseFromMs = Long.MAX_VALUE;
    private volatile long answerByMs = Long.MAX_VALUE;

    /**
     * Constructs the endpoint.
     *
     * @param jobs sends commands to the actor
     * @param view state published by the actor
     * @param materializer materializer for reading request bodies
     * @param clock monotonic clock
     * @param log event log
     * @param meters registry for the count and latency of requests by queue
     * @param refusesUseless whether jobs are refused whose results would come too late to be of any use
     */
    JobsHttp(
            Consumer<JobsCommand> jobs,
            AtomicReference<JobsCommand.View> view,
            Materializer materializer,
            MonotonicClock clock,
            EventLog log,
            MeterRegistry meters,
            boolean refusesUseless) {
        this.jobs = jobs;
        this.view = view;
        this.materializer = materializer;
        this.clock = clock;
        this.log = log;
        this.meters = meters;
        this.refusesUseless = refusesUseless;
    }

    /**
     * Prepares for the end of the process. All further responses carry {@code Connection: close}.
     *
     * @param refuseFromMs time from which new requests are refused
     * @param answerByMs time by which all requests are answered; what is undecided then is answered as such
     */
    void close(long refuseFromMs, long answerByMs) {
        this.refuseFromMs = refuseFromMs;
        this.answerByMs = answerByMs;
        closing = true;
        CompletableFuture.delayedExecutor(Math.max(0, answerByMs - clock.nowMs()), TimeUnit.MILLISECONDS)
                .execute(() -> pending.forEach((answer, request) -> answer.complete(answerUndecided(request))));
    }

    /** Returns status 200 if this entry is ready for requests, otherwise 503 and the reason. */
    HttpResponse readiness() {
        JobsCommand.View current = view.get();
        return json(
                current.ready() ? 200 : 503,
                JsonText.writeObject(Map.of(
                        "ready",
                        current.ready(),
                        "reason",
                        current.unreadyReason(),
                        "configVersion",
                        current.config() == null ? 0L : current.config().version(),
                        "configAgeMs",
                        current.configAgeMs(clock.nowMs()))));
    }

    /** Handles a request of a caller. */
    CompletionStage<HttpResponse> handle(HttpRequest request) {
        long startedAtMs = clock.nowMs();
        String path = request.getUri().path();
        JobsCommand.View current = view.get();
        JobConfig config = current.config();
        Optional<JobQueue> queue = config == null ? Optional.empty() : config.findByRequest(hostOf(request), path);
        CompletionStage<HttpResponse> answer;
        if (startedAtMs >= refuseFromMs) {
            answer = refuse(request, path, 503, "this entry is stopping");
        } else if (config == null) {
            int retryAfterS = RetryTimes.whileLoading(path);
            answer = refuse(request, path, UNAVAILABLE, "this entry has not loaded its configuration yet", retryAfterS);
        } else if (queue.isEmpty()) {
            answer = refuseUnknownQueue(request, path, current, startedAtMs);
        } else {
            answer = route(
                    request,
                    queue.get(),
                    path.substring(queue.get().pathPrefix().length()),
                    config);
        }
        String name = queue.map(JobQueue::name).orElse("none");
        return untilClosed(request, answer)
                .thenApply(response -> finish(request, response, name, clock.nowMs() - startedAtMs));
    }

    private CompletionStage<HttpResponse> untilClosed(HttpRequest request, CompletionStage<HttpResponse> answer) {
        CompletableFuture<HttpResponse> result = answer.toCompletableFuture().copy();
        if (!result.isDone()) {
            pending.put(result, request);
            result.whenComplete((response, failure) -> pending.remove(result));
        }
        return result;
    }

    /** A write may still be executed, so its answer must not say that it was refused. */
    private HttpResponse answerUndecided(HttpRequest request) {
        boolean isRead = request.method().equals(HttpMethods.GET);
        int status = isRead ? 503 : 504;
        String reason = "this entry stopped before the request was decided";
        logRefusal(request, request.getUri().path(), status, reason);
        return refusal(status, reason, RetryTimes.SOON_S);
    }

    /*
     * Routing
     */

    /** Status 404 means that there is no such queue, which an outdated configuration cannot tell. */
    private CompletionStage<HttpResponse> refuseUnknownQueue(
            HttpRequest request, String path, JobsCommand.View current, long nowMs) {
        if (!current.isConfigOutdated(nowMs)) {
            return refuse(request, path, 404, "no queue is configured for this host and path");
        }
        return refuse(
                request,
                path,
                UNAVAILABLE,
                "no queue is known for this host and path; version "
                        + current.config().version() + " of the configuration may be out of date for "
                        + current.configAgeMs(nowMs) + " ms",
                RetryTimes.whileLoading(path));
    }

    private CompletionStage<HttpResponse> route(HttpRequest request, JobQueue queue, String id, JobConfig config) {
        if (id.length() > MAX_ID_CHARS || id.indexOf('.') >= 0 || id.indexOf('/') >= 0) {
            return refuse(
                    request,
                    id,
                    400,
                    "a job id has at most " + MAX_ID_CHARS + " characters and contains no dot or slash");
        }
        if (request.method().equals(HttpMethods.GET)) {
            return id.isEmpty() ? countWaiting(request, queue) : query(request, id);
        }
        if (id.isEmpty()) {
            return refuse(request, queue.name(), 400, "the job id is missing after " + queue.pathPrefix());
        }
        if (request.method().equals(HttpMethods.POST)) {
            return submit(request, queue, id, config);
        }
        if (request.method().equals(HttpMethods.DELETE)) {
            return cancel(request, queue, id);
        }
        return refuse(request, id, 405, "a job supports POST, GET and DELETE");
    }

    private CompletionStage<HttpResponse> submit(HttpRequest request, JobQueue queue, String id, JobConfig config) {
        long deadlineAtMs = deadlineAtMs(request, queue);
        return request.entity()
                .toStrict(BODY_TIMEOUT_MS, config.maxBodyBytes(), materializer)
                .handle((strict, failure) -> {
                    if (failure != null) {
                        return refuse(
                                request,
                                id,
                                413,
                                "the body exceeds " + config.maxBodyBytes() + " bytes or could not be read");
                    }
                    try {
                        JobSpec job = JobCodec.decodeJob(
                                id, queue, strict.getData().toArrayUnsafe(), System.currentTimeMillis());
                        return store(request, job, deadlineAtMs, config.version());
                    } catch (IOException e) {
                        return refuse(request, id, 400, e.getMessage());
                    }
                })
                .thenCompose(answer -> answer);
    }

    private CompletionStage<HttpResponse> store(HttpRequest request, JobSpec job, long deadlineAtMs, long version) {
        CompletableFuture<WriteOutcome> outcome = new CompletableFuture<>();
        jobs.accept(new JobsCommand.Submit(job, deadlineAtMs, refusesUseless, outcome));
        return outcome.thenCompose(result -> {
            logSubmission(job, result, version);
            if (result instanceof WriteOutcome.Overloaded overloaded) {
                return refuseOverloaded(request, job, overloaded.decision());
            }
            return answerWrite(request, job.id(), result);
        });
    }

    private void logSubmission(JobSpec job, WriteOutcome result, long version) {
        JobEvent event = switch (result) {
            case WriteOutcome.Stored stored -> JobEvent.JOB_ACCEPTED;
            case WriteOutcome.Undecided undecided -> JobEvent.JOB_UNDECIDED;
            case WriteOutcome.Refused refused -> JobEvent.JOB_REFUSED;
            case WriteOutcome.Overloaded overloaded -> JobEvent.JOB_OVERLOADED;
            case WriteOutcome.TooLarge tooLarge -> JobEvent.JOB_REFUSED;
            case WriteOutcome.TooManyJobs tooMany -> JobEvent.JOB_REFUSED;
            case WriteOutcome.Missing missing -> JobEvent.JOB_REFUSED;
        };
        log.emit(event, "id", job.id(), "queue", job.queue(), "config", version, "outcome", result);
    }

    private CompletionStage<HttpResponse> refuseOverloaded(
            HttpRequest request, JobSpec job, AdmissionDecision.Refuse decision) {
        Counter.builder("fulmarreach.jobs.overloaded")
                .description("Submissions refused since their results would come too late to be of any use")
                .tags("queue", job.queue(), "reason", decision.rankClass().name())
                .register(meters)
                .increment();
        return refuse(
                request, job.id(), TOO_MANY_REQUESTS, decision.reason(), RetryTimes.ofMs(decision.retryAfterMs()));
    }

    private CompletionStage<HttpResponse> cancel(HttpRequest request, JobQueue queue, String id) {
        CompletableFuture<WriteOutcome> outcome = new CompletableFuture<>();
        jobs.accept(new JobsCommand.Cancel(id, deadlineAtMs(request, queue), outcome));
        return outcome.thenCompose(result -> {
            log.emit(JobEvent.JOB_CANCELLED, "id", id, "queue", queue.name(), "outcome", result);
            return answerWrite(request, id, result);
        });
    }

    private CompletionStage<HttpResponse> answerWrite(HttpRequest request, String id, WriteOutcome outcome) {
        return switch (outcome) {
            case WriteOutcome.Stored stored -> CompletableFuture.completedFuture(HttpResponse.create());
            case WriteOutcome.Refused refused ->
                refuse(request, id, UNAVAILABLE, refused.reason(), RetryTimes.whileStoreIsAway(id));
            case WriteOutcome.Overloaded overloaded ->
                refuse(request, id, UNAVAILABLE, overloaded.decision().reason());
            case WriteOutcome.TooLarge tooLarge -> refuse(request, id, 413, tooLarge.reason());
            case WriteOutcome.TooManyJobs tooMany ->
                refuse(request, id, TOO_MANY_REQUESTS, tooMany.reason(), RetryTimes.ofMs(tooMany.retryAfterMs()));
            case WriteOutcome.Undecided undecided -> refuse(request, id, 504, undecided.reason());
            case WriteOutcome.Missing missing -> refuse(request, id, 410, "no such job");
        };
    }

    private CompletionStage<HttpResponse> query(HttpRequest request, String id) {
        Optional<JobStatus> status = view.get().reads().findStatus(id);
        countRead(status.isPresent());
        if (status.isPresent()) {
            return CompletableFuture.completedFuture(json(200, JobCodec.encodeStatus(status.get())));
        }
        CompletableFuture<JobsCommand.StatusAnswer> answer = new CompletableFuture<>();
        jobs.accept(new JobsCommand.Query(id, answer));
        return answer.thenCompose(result -> switch (result) {
            case JobsCommand.StatusAnswer.Known known ->
                CompletableFuture.completedFuture(json(200, JobCodec.encodeStatus(known.status())));
            case JobsCommand.StatusAnswer.Missing missing -> refuse(request, id, 410, "no such job");
            case JobsCommand.StatusAnswer.Unavailable unavailable -> refuse(request, id, 503, unavailable.reason());
        });
    }

    private CompletionStage<HttpResponse> countWaiting(HttpRequest request, JobQueue queue) {
        JobReads reads = view.get().reads();
        long nowMs = clock.nowMs();
        OptionalInt waiting = reads.countWaiting(queue.name(), nowMs);
        countRead(waiting.isPresent());
        if (waiting.isPresent()) {
            log.emit(
                    JobEvent.QUEUE_COUNTED,
                    "queue",
                    queue.name(),
                    "answer",
                    new JobsCommand.CountAnswer.Counted(waiting.getAsInt()),
                    "ageMs",
                    nowMs - reads.knownUpToMs());
            return CompletableFuture.completedFuture(json(200, JobCodec.encodeWaiting(waiting.getAsInt())));
        }
        CompletableFuture<JobsCommand.CountAnswer> answer = new CompletableFuture<>();
        jobs.accept(new JobsCommand.CountWaiting(queue.name(), answer));
        return answer.thenCompose(result -> switch (result) {
            case JobsCommand.CountAnswer.Counted counted ->
                CompletableFuture.completedFuture(json(200, JobCodec.encodeWaiting(counted.waiting())));
            case JobsCommand.CountAnswer.Unavailable unavailable ->
                refuse(request, queue.name(), 503, unavailable.reason());
        });
    }

    private void countRead(boolean withoutActor) {
        meters.counter("fulmarreach.jobs.reads", "actor", withoutActor ? "no" : "yes")
                .increment();
    }

    /*
     * Responses
     */

    private CompletionStage<HttpResponse> refuse(HttpRequest request, String id, int status, String reason) {
        return refuse(request, id, status, reason, RetryTimes.SOON_S);
    }

    private CompletionStage<HttpResponse> refuse(
            HttpRequest request, String id, int status, String reason, int retryAfterS) {
        request.discardEntityBytes(materializer);
        logRefusal(request, id, status, reason);
        return CompletableFuture.completedFuture(refusal(status, reason, retryAfterS));
    }

    private void logRefusal(HttpRequest request, String id, int status, String reason) {
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
    }

    private static HttpResponse refusal(int status, String reason, int retryAfterS) {
        HttpResponse response = json(status, JsonText.writeObject(Map.of("error", reason)));
        return status == UNAVAILABLE || status == TOO_MANY_REQUESTS
                ? response.addHeader(RawHeader.create("Retry-After", Integer.toString(retryAfterS)))
                : response;
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

    private long deadlineAtMs(HttpRequest request, JobQueue queue) {
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
                    "the deadline is not a number; using " + DEFAULT_WAIT_MS + " ms");
        }
        if (queue.timeoutMs() > 0) {
            waitMs = Math.min(waitMs, queue.timeoutMs());
        }
        long boundedWaitMs = Math.clamp(waitMs, 0, MAX_WAIT_MS);
        return Math.min(answerByMs, clock.nowMs() + Math.max(1, boundedWaitMs - ANSWER_MARGIN_MS));
    }
}
