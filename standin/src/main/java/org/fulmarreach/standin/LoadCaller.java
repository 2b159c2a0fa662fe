package org.fulmarreach.standin;

import java.io.IOException;
import java.net.http.HttpRequest;
import java.net.http.HttpTimeoutException;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

import com.fasterxml.jackson.databind.JsonNode;

/** Sends the calls of the load tool and classifies the responses. Thread-safe. */
final class LoadCaller {
    private final LoadOptions options;
    private final LoadTool.Sender sender;
    private final AtomicInteger retried = new AtomicInteger();

    LoadCaller(LoadOptions options) {
        this(options, LoadTool.Sender.overHttp());
    }

    LoadCaller(LoadOptions options, LoadTool.Sender sender) {
        this.options = options;
        this.sender = sender;
    }

    int retried() {
        return retried.get();
    }

    /** Sends the call with the given number and returns its outcome. */
    Outcome call(long callNumber) {
        int first = (int) (callNumber % options.entries().size());
        String id = "";
        try {
            if (options.direct()) {
                id = "direct." + ProcessHandle.current().pid() + "." + callNumber;
            } else if (!options.idempotent()) {
                id = createRequestId(options.entries().get(first));
            }
        } catch (RequestIdException e) {
            return new Outcome("not_run", "ID_" + e.getMessage(), "");
        }
        Outcome outcome = sendOnce(options.entries().get(first), callNumber, id);
        if (options.retryOtherEntry() && outcome.isWithoutAnswer()) {
            retried.incrementAndGet();
            outcome = sendOnce(
                    options.entries().get((first + 1) % options.entries().size()), callNumber, id);
        }
        return outcome;
    }

    // Helpers

    private String createRequestId(String entry) {
        HttpRequest request = HttpRequest.newBuilder(LoadTool.Sender.uri(entry, "/v1/request-ids"))
                .timeout(Duration.ofMillis(options.timeoutMs()))
                .header("Content-Type", "application/json")
                .POST(HttpRequest.BodyPublishers.ofString(Journal.line(Map.of("service", options.service()))))
                .build();
        try {
            LoadTool.Sender.Answer response = sender.send(request);
            JsonNode json = StandInServer.parse(response.body());
            if (response.status() / 100 != 2 || !json.path("id").isTextual()) {
                throw new RequestIdException(json.path("code").asText("STATUS_" + response.status()));
            }
            return json.get("id").asText();
        } catch (IOException | IllegalArgumentException e) {
            throw new RequestIdException(e.getClass().getSimpleName());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new RequestIdException("INTERRUPTED");
        }
    }

    private Outcome sendOnce(String entry, long callNumber, String id) {
        String tag = ProcessHandle.current().pid() + "-" + callNumber;
        String query = "?bytes=" + options.answerBytes() + "&tag=" + tag;
        String path = options.direct()
                ? options.servicePath() + query
                : "/v1/services/" + options.service() + options.servicePath() + query;
        HttpRequest.Builder request = HttpRequest.newBuilder(LoadTool.Sender.uri(entry, path))
                .timeout(Duration.ofMillis(options.timeoutMs()))
                .header("Deadline-Ms", Long.toString(options.deadlineMs()))
                .method(options.method(), body());
        if (!id.isEmpty()) {
            request.header("Request-Id", id);
        }
        try {
            return classify(sender.send(request.build()), id, tag);
        } catch (HttpTimeoutException e) {
            return new Outcome("error", "TIMEOUT", id);
        } catch (IOException e) {
            // Only the message of the JDK client's exception shows that a body ended early.
            boolean truncated = String.valueOf(e.getMessage()).contains("fixed content-length")
                    || String.valueOf(e.getMessage()).contains("chunked transfer encoding");
            return new Outcome(truncated ? "truncated" : "error", e.getClass().getSimpleName(), id);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return new Outcome("error", "INTERRUPTED", id);
        }
    }

    private HttpRequest.BodyPublisher body() {
        return options.method().equals("GET")
                ? HttpRequest.BodyPublishers.noBody()
                : HttpRequest.BodyPublishers.ofString("x".repeat(options.bodyBytes()));
    }

    /** Classifies a response; the target's echo contains the id and path of the call that it belongs to. */
    private Outcome classify(LoadTool.Sender.Answer response, String id, String tag) {
        JsonNode json;
        try {
            json = StandInServer.parse(response.body());
        } catch (IllegalArgumentException e) {
            return response.status() == 200
                    ? new Outcome("wrong", "NOT_JSON", id)
                    : new Outcome("error", "STATUS_" + response.status(), id);
        }
        if (response.status() == 200) {
            return isOwnEcho(json, id, tag, response.body().length)
                    ? new Outcome("whole", "", id)
                    : new Outcome("wrong", "OTHER_ANSWER", id);
        }
        String code = json.path("code").asText("STATUS_" + response.status());
        String outcome = json.path("outcome").asText("");
        boolean hasOutcome = outcome.equals("not_run") || outcome.equals("unknown");
        return new Outcome(hasOutcome ? outcome : "error", code, id);
    }

    private boolean isOwnEcho(JsonNode json, String id, String tag, int length) {
        String path = json.path("path").asText();
        String echoedId = json.path("requestId").asText();
        String pad = json.path("pad").asText();
        boolean idMatches = id.isEmpty() || echoedId.equals(id);
        boolean padMatches = pad.equals(TargetStandIn.pad(echoedId + path, pad.length()));
        boolean lengthMatches = pad.isEmpty() ? length >= options.answerBytes() : length == options.answerBytes();
        return idMatches && path.endsWith("&tag=" + tag) && padMatches && lengthMatches;
    }

    /**
     * Outcome of a call.
     *
     * @param kind whole, not_run, unknown, error, wrong or truncated
     * @param code error code, or empty
     * @param requestId id that was sent, or empty
     */
    record Outcome(String kind, String code, String requestId) {
        boolean isWithoutAnswer() {
            return kind.equals("truncated")
                    || kind.equals("error") && (code.equals("TIMEOUT") || code.endsWith("Exception"));
        }
    }

    /** The entry issued no request id, so the call was not sent. */
    private static final class RequestIdException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        RequestIdException(String message) {
            super(message);
        }
    }
}
