package org.fulmarreach.entry.http;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;

import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.fulmarreach.core.exc.ErrorCode;
import org.fulmarreach.core.exc.FulmarreachException;
import org.fulmarreach.core.exc.Problem;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/** Reads and writes the JSON bodies of requests and responses. Stateless and thread-safe. */
final class JsonBodies {
    private static final ObjectMapper MAPPER =
            new ObjectMapper().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);
    private static final long MS_PER_SECOND = 1_000;

    private JsonBodies() {}

    static HttpResponse toResponse(int status, Object body) {
        try {
            return HttpResponse.create()
                    .withStatus(status)
                    .withEntity(ContentTypes.APPLICATION_JSON, MAPPER.writeValueAsBytes(body));
        } catch (JsonProcessingException e) {
            throw new FulmarreachException(
                    Problem.of(ErrorCode.INVARIANT_VIOLATED, "the response body cannot be written as JSON"), e);
        }
    }

    static JsonNode parse(byte[] bytes) throws IOException {
        JsonNode node = MAPPER.readTree(bytes);
        if (node == null || !node.isObject()) {
            throw new IOException("expected a JSON object");
        }
        return node;
    }

    /** Returns the response for a problem; {@code outcome} is {@code not_run}, {@code unknown} or null. */
    static HttpResponse toError(int status, String outcome, Problem problem) {
        return toError(status, outcome, problem, Map.of());
    }

    static HttpResponse toError(int status, String outcome, Problem problem, Map<String, ?> extraFields) {
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("outcome", outcome);
        body.put("code", problem.code().name());
        body.put("message", problem.message());
        body.put("remedy", problem.remedy());
        body.put("retryAfterMs", problem.retryAfterMs());
        body.putAll(extraFields);
        HttpResponse response = toResponse(status, body);
        if (problem.retryAfterMs() <= 0) {
            return response;
        }
        long seconds = (problem.retryAfterMs() + MS_PER_SECOND - 1) / MS_PER_SECOND;
        return response.addHeader(RawHeader.create("Retry-After", Long.toString(seconds)));
    }

    /** Returns the HTTP status for an error code. */
    static int toStatus(ErrorCode code) {
        return switch (code) {
            case BAD_REQUEST, BAD_FRAME, BAD_SETTING, REGION_BOUND -> 400;
            case UNAUTHORIZED -> 401;
            case NO_SUCH_SERVICE, NOT_FOUND -> 404;
            case CONFLICT -> 409;
            case TOO_LARGE -> 413;
            case REQUEST_ID_REQUIRED -> 428;
            case REQUEST_ID_EXPIRED, GUARD_RESTARTED, GUARD_UNREACHABLE, TARGET_FAILED, DEADLINE_EXCEEDED -> 504;
            case NO_CAPACITY,
                    NO_TARGET,
                    LEAVING,
                    BUDGET_EXHAUSTED,
                    STORE_UNAVAILABLE,
                    RULES_NOT_LOADED,
                    SHUTTING_DOWN -> 503;
            case WORKER_FAILED, INVARIANT_VIOLATED -> 500;
        };
    }
}
