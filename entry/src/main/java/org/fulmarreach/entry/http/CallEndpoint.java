package org.fulmarreach.entry.http;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpMethods;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.fulmarreach.core.exc.ErrorCode;
import org.fulmarreach.core.exc.Problem;
import org.fulmarreach.core.exc.Result;
import org.fulmarreach.core.request.RequestId;
import org.fulmarreach.entry.calls.CallAnswer;
import org.fulmarreach.entry.calls.CallInput;
import org.fulmarreach.entry.calls.CallResults;
import org.fulmarreach.entry.calls.CallService;
import org.fulmarreach.entry.calls.RequestState;
import org.fulmarreach.entry.guards.DirectoryCommand;
import org.fulmarreach.protocol.thrift.CallResult;
import org.fulmarreach.protocol.thrift.Header;

/** HTTP endpoints for callers. Thread-safe. */
final class CallEndpoint {
    /** Time after minting within which a request id may be used first, in milliseconds; the guard enforces it. */
    static final long ID_VALID_MS = 900_000;

    private static final int MAX_URI_CHARACTERS = 2_048;
    private static final int MAX_HEADER_CHARACTERS = 16_384;
    private static final long MAX_DEADLINE_MS = 60_000;
    private static final int GONE = 410;
    private static final String REQUEST_ID = "Request-Id";
    private static final String DEADLINE = "Deadline-Ms";
    private static final String SERVICES = "/v1/services/";
    /** Index of the first path segment of the target, after v1, services and the name of the service. */
    private static final int TARGET_PATH_INDEX = 3;

    private static final String REQUESTS = "/v1/requests/";

    /** Headers that apply only between caller and entry, such as hop-by-hop headers; not passed to the target. */
    private static final Set<String> NOT_FORWARDED = Set.of(
            "request-id",
            "deadline-ms",
            "connection",
            "keep-alive",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "expect",
            "host",
            "content-length",
            "timeout-access",
            "raw-request-uri",
            "remote-address");

    private final CallService calls;
    private final ActorRef<DirectoryCommand> directory;
    private final BodyReader bodies;

    CallEndpoint(CallService calls, ActorRef<DirectoryCommand> directory, BodyReader bodies) {
        this.calls = calls;
        this.directory = directory;
        this.bodies = bodies;
    }

    CompletionStage<HttpResponse> handle(HttpRequest request) {
        HttpResponse limitError = checkSizeLimits(request);
        if (limitError != null) {
            return bodies.read(request, body -> CompletableFuture.completedFuture(limitError));
        }
        String path = request.getUri().path();
        if (path.startsWith(SERVICES)) {
            return bodies.read(request, body -> call(request, body));
        }
        if (path.equals("/v1/request-ids") && request.method().equals(HttpMethods.POST)) {
            return bodies.read(request, this::mint);
        }
        if (path.startsWith(REQUESTS) && request.method().equals(HttpMethods.GET)) {
            return bodies.read(request, body -> query(path.substring(REQUESTS.length())));
        }
        return bodies.read(
                request,
                body -> error(404, null, Problem.of(ErrorCode.NOT_FOUND, "there is no endpoint at this path")));
    }

    private static HttpResponse checkSizeLimits(HttpRequest request) {
        String uri = request.getUri().toString();
        if (uri.length() > MAX_URI_CHARACTERS) {
            return JsonBodies.toError(
                    414,
                    null,
                    Problem.of(ErrorCode.TOO_LARGE, "the URI exceeds " + MAX_URI_CHARACTERS + " characters"));
        }
        int characters = 0;
        for (HttpHeader header : request.getHeaders()) {
            characters += header.name().length() + header.value().length();
        }
        if (characters > MAX_HEADER_CHARACTERS) {
            return JsonBodies.toError(
                    431,
                    null,
                    Problem.of(ErrorCode.TOO_LARGE, "the headers exceed " + MAX_HEADER_CHARACTERS + " characters"));
        }
        return null;
    }

    /*
     * Helpers: calls
     */

    private CompletionStage<HttpResponse> call(HttpRequest request, byte[] body) {
        Result<CallInput> input = toInput(request, body);
        return switch (input) {
            case Result.Err<CallInput> err ->
                error(JsonBodies.toStatus(err.problem().code()), null, err.problem());
            case Result.Ok<CallInput> ok -> calls.call(ok.value()).thenApply(CallEndpoint::toResponse);
        };
    }

    private static Result<CallInput> toInput(HttpRequest request, byte[] body) {
        String requestId = findHeader(request, REQUEST_ID).orElse("");
        if (!requestId.isEmpty() && RequestId.parse(requestId) instanceof Result.Err<RequestId> err) {
            return Result.err(err.problem());
        }
        Result<Long> deadline = parseDeadline(findHeader(request, DEADLINE).orElse(""));
        if (deadline instanceof Result.Err<Long> err) {
            return Result.err(err.problem());
        }
        List<String> segments = new ArrayList<>();
        request.getUri().pathSegments().forEach(segments::add);
        String raw = request.getUri().asScala().path().toString().substring(SERVICES.length());
        if (segments.size() < TARGET_PATH_INDEX || !isNormalized(raw, segments)) {
            return Result.err(
                    ErrorCode.BAD_REQUEST,
                    "expected " + SERVICES + "SERVICE/PATH without empty or dot segments and"
                            + " without encoded slashes, found " + raw);
        }
        int slash = raw.indexOf('/');
        String targetPath = slash < 0 ? "/" : raw.substring(slash);
        String rulePath = String.join("/", segments.subList(TARGET_PATH_INDEX, segments.size()));
        String query = request.getUri().rawQueryString().map(text -> "?" + text).orElse("");
        return Result.ok(new CallInput(
                requestId,
                segments.get(TARGET_PATH_INDEX - 1),
                rulePath,
                request.method().value(),
                targetPath + query,
                toHeaders(request),
                body,
                ((Result.Ok<Long>) deadline).value()));
    }

    /**
     * Returns whether the path has no empty segments, dot segments, or encoded slashes or backslashes. A target may
     * normalize these, and then serve another path than the one whose rule was applied.
     */
    private static boolean isNormalized(String raw, List<String> decodedSegments) {
        if (raw.contains("//") || raw.startsWith("/")) {
            return false;
        }
        for (String segment : decodedSegments) {
            boolean isDots = segment.equals(".") || segment.equals("..");
            if (isDots || segment.contains("/") || segment.contains("\\")) {
                return false;
            }
        }
        return true;
    }

    private static Result<Long> parseDeadline(String text) {
        if (text.isEmpty()) {
            return Result.ok(0L);
        }
        if (text.matches("\\d{1,6}")) {
            long deadlineMs = Long.parseLong(text);
            if (deadlineMs >= 1 && deadlineMs <= MAX_DEADLINE_MS) {
                return Result.ok(deadlineMs);
            }
        }
        return Result.err(
                ErrorCode.BAD_REQUEST,
                DEADLINE + " must be a number from 1 to " + MAX_DEADLINE_MS + ", found '" + text + "'");
    }

    private static List<Header> toHeaders(HttpRequest request) {
        List<Header> headers = new ArrayList<>();
        for (HttpHeader header : request.getHeaders()) {
            if (!NOT_FORWARDED.contains(header.lowercaseName())) {
                headers.add(new Header(header.name(), header.value()));
            }
        }
        boolean hasBody = request.entity().getContentLengthOption().orElse(1) > 0;
        if (hasBody) {
            headers.add(
                    new Header("Content-Type", request.entity().getContentType().toString()));
        }
        return headers;
    }

    private static HttpResponse toResponse(CallAnswer answer) {
        return switch (answer) {
            case CallAnswer.Answered answered -> toResponse(answered);
            case CallAnswer.NotRun notRun ->
                withId(JsonBodies.toError(503, "not_run", withDefaultRetryAfter(notRun.problem())), notRun.requestId());
            case CallAnswer.Unknown unknown ->
                withId(JsonBodies.toError(504, "unknown", unknown.problem()), unknown.requestId());
            case CallAnswer.NotRoutable notRoutable ->
                JsonBodies.toError(503, null, withDefaultRetryAfter(notRoutable.problem()));
            case CallAnswer.Rejected rejected ->
                JsonBodies.toError(JsonBodies.toStatus(rejected.problem().code()), null, rejected.problem());
        };
    }

    private static HttpResponse toResponse(CallAnswer.Answered answered) {
        CallResult result = answered.result();
        if (result.getCode() == null) {
            return TargetResponses.toResponse(answered.requestId(), result);
        }
        // The guard has a record that the call ran, but has discarded the answer to stay within its memory limit.
        return withId(JsonBodies.toError(GONE, null, CallResults.toProblem(result)), answered.requestId());
    }

    /** Adds a default retry time to a problem without one, so that the caller always learns when to retry. */
    private static Problem withDefaultRetryAfter(Problem problem) {
        return problem.retryAfterMs() > 0 ? problem : problem.withRetryAfterMs(1_000);
    }

    private static HttpResponse withId(HttpResponse response, String requestId) {
        return requestId.isEmpty() ? response : response.addHeader(TargetResponses.rawHeader(REQUEST_ID, requestId));
    }

    /*
     * Helpers: ids
     */

    private CompletionStage<HttpResponse> mint(byte[] body) {
        Problem refusal = calls.findRefusal();
        if (refusal != null) {
            return error(503, null, refusal);
        }
        String service;
        try {
            service = JsonBodies.parse(body).path("service").asText("");
        } catch (IOException e) {
            return error(400, null, Problem.of(ErrorCode.BAD_REQUEST, "expected {\"service\":\"...\"}"));
        }
        if (service.isEmpty()) {
            return error(400, null, Problem.of(ErrorCode.BAD_REQUEST, "the field service is missing"));
        }
        CompletableFuture<HttpResponse> response = new CompletableFuture<>();
        calls.mintId(service, result -> response.complete(toResponse(result)));
        return response;
    }

    private static HttpResponse toResponse(Result<String> minted) {
        return switch (minted) {
            case Result.Ok<String> ok -> JsonBodies.toResponse(200, Map.of("id", ok.value(), "validMs", ID_VALID_MS));
            case Result.Err<String> err -> JsonBodies.toError(503, null, withDefaultRetryAfter(err.problem()));
        };
    }

    private CompletionStage<HttpResponse> query(String text) {
        return switch (RequestId.parse(text)) {
            case Result.Err<RequestId> err -> error(400, null, err.problem());
            case Result.Ok<RequestId> ok -> {
                CompletableFuture<HttpResponse> response = new CompletableFuture<>();
                directory.tell(new DirectoryCommand.QueryRequest(
                        ok.value(), state -> response.complete(toResponse(text, state))));
                yield response;
            }
        };
    }

    private static HttpResponse toResponse(String id, RequestState state) {
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("id", id);
        body.put("state", state.state());
        if (state.status() > 0) {
            body.put("status", state.status());
        }
        if (state.problem() != null) {
            body.put("code", state.problem().code().name());
            body.put("message", state.problem().message());
            body.put("remedy", state.problem().remedy());
            body.put("retryAfterMs", state.problem().retryAfterMs());
        }
        return JsonBodies.toResponse(200, body);
    }

    private static Optional<String> findHeader(HttpRequest request, String name) {
        return request.getHeader(name).map(HttpHeader::value).map(String::trim);
    }

    private static CompletionStage<HttpResponse> error(int status, String outcome, Problem problem) {
        return CompletableFuture.completedFuture(JsonBodies.toError(status, outcome, problem));
    }
}
