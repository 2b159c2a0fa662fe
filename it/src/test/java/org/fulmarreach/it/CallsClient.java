package org.fulmarreach.it;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * Client that sends calls, records the outcome of each attempt and compares successful responses with the expected echo
 * of the target. Attempts have no timeout, so that late responses are recorded too. Thread-safe.
 */
final class CallsClient {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Duration CONTROL_TIMEOUT = Duration.ofSeconds(10);

    private final HttpClient client =
            HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(10)).build();

    /** Outcome of an attempt from the view of the caller. */
    enum Outcome {
        /** The complete response of the target to this call. */
        WHOLE,
        /** A response that is not JSON, or has status 200 and is not the complete response to this call. */
        WRONG,
        /** The call did not run and never will. */
        NOT_RUN,
        /** It is not known whether the call ran. */
        UNKNOWN,
        /** The entry rejected the call with status 503 without an outcome for its id. */
        REJECTED,
        /** Any other response. */
        OTHER,
        /** The connection ended without a response. */
        NOTHING
    }

    /**
     * One attempt.
     *
     * @param entry name of the entry to which the call was sent
     * @param outcome outcome of the attempt
     * @param id request id; the one in the response if the caller sent none; empty if there is none
     * @param code error code; empty if there is none
     * @param tookMs time until the response or the end of the connection, in milliseconds
     * @param retryAfterMs time after which to retry, in milliseconds; 0 if not stated
     * @param retryAfterHeader whether the response has a Retry-After header
     * @param detail response body or failure
     */
    record Attempt(
            String entry,
            Outcome outcome,
            String id,
            String code,
            long tookMs,
            long retryAfterMs,
            boolean retryAfterHeader,
            String detail) {}

    /**
     * Sends a call.
     *
     * @param entry entry to which the call is sent
     * @param id request id; empty for an idempotent call
     * @param path path below the service, with a query parameter {@code bytes}
     * @param bytes length of the complete response body
     * @param deadlineMs deadline in milliseconds
     * @return a future that completes with the attempt, never exceptionally
     */
    CompletableFuture<Attempt> call(Deployment.EntryProcess entry, String id, String path, int bytes, long deadlineMs) {
        URI uri = URI.create("http://" + entry.caller() + "/v1/services/bestellung" + path);
        HttpRequest.Builder request = HttpRequest.newBuilder(uri)
                .header("Deadline-Ms", Long.toString(deadlineMs))
                .POST(HttpRequest.BodyPublishers.noBody());
        if (!id.isEmpty()) {
            request.header("Request-Id", id);
        }
        long startNs = System.nanoTime();
        return client.sendAsync(request.build(), HttpResponse.BodyHandlers.ofByteArray())
                .handle((response, failure) -> {
                    long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNs);
                    return failure != null
                            ? new Attempt(entry.name(), Outcome.NOTHING, id, "", tookMs, 0, false, failure.toString())
                            : classify(entry.name(), id, path, bytes, tookMs, response);
                });
    }

    /** Requests a new request id; returns an empty string if the entry issues none. */
    String createId(Deployment.EntryProcess entry, long timeoutMs) {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + entry.caller() + "/v1/request-ids"))
                .timeout(Duration.ofMillis(timeoutMs))
                .POST(HttpRequest.BodyPublishers.ofString("{\"service\":\"bestellung\"}"))
                .build();
        try {
            HttpResponse<byte[]> response = client.send(request, HttpResponse.BodyHandlers.ofByteArray());
            return response.statusCode() == 200
                    ? JSON.readTree(response.body()).path("id").asText()
                    : "";
        } catch (IOException e) {
            return "";
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return "";
        }
    }

    /** Sends GET to a process and returns the JSON of the response. */
    JsonNode read(String address, String path) {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + path))
                .timeout(CONTROL_TIMEOUT)
                .build();
        try {
            return JSON.readTree(client.send(request, HttpResponse.BodyHandlers.ofByteArray())
                    .body());
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
    }

    private static Attempt classify(
            String entry, String id, String path, int bytes, long tookMs, HttpResponse<byte[]> response) {
        String text = new String(response.body(), StandardCharsets.UTF_8);
        String responseId = response.headers().firstValue("Request-Id").orElse("");
        JsonNode body;
        try {
            body = JSON.readTree(response.body());
        } catch (IOException e) {
            return new Attempt(entry, Outcome.WRONG, id, "", tookMs, 0, false, text);
        }
        if (response.statusCode() == 200) {
            boolean whole = isEcho(body, id.isEmpty() ? responseId : id, path)
                    && response.body().length == bytes
                    && responseId.equals(body.path("requestId").asText());
            return new Attempt(entry, whole ? Outcome.WHOLE : Outcome.WRONG, responseId, "", tookMs, 0, false, text);
        }
        String outcomeField = body.path("outcome").asText("");
        Outcome outcome = switch (outcomeField) {
            case "not_run" -> Outcome.NOT_RUN;
            case "unknown" -> Outcome.UNKNOWN;
            default -> response.statusCode() == 503 ? Outcome.REJECTED : Outcome.OTHER;
        };
        return new Attempt(
                entry,
                outcome,
                id.isEmpty() ? responseId : id,
                body.path("code").asText(""),
                tookMs,
                body.path("retryAfterMs").asLong(),
                response.headers().firstValue("Retry-After").isPresent(),
                text);
    }

    /** The padding of the echo repeats one letter that depends on id and path; see docs/PLATFORM.md section 4.3. */
    private static boolean isEcho(JsonNode body, String id, String path) {
        String pad = body.path("pad").asText();
        String letter = String.valueOf((char) ('a' + Math.floorMod((id + path).hashCode(), 26)));
        return body.path("requestId").asText().equals(id)
                && body.path("path").asText().equals(path)
                && pad.equals(letter.repeat(pad.length()))
                && body.path("execution").asInt() == 1;
    }
}
