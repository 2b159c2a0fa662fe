package org.fulmarreach.it;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/** HTTP client for the processes of a deployment. Thread-safe. */
public final class Http {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(10);

    private final HttpClient client =
            HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(2)).build();

    /**
     * An HTTP response.
     *
     * @param status HTTP status
     * @param body response body as text
     * @param requestId value of the Request-Id header; empty if there is none
     */
    public record Answer(int status, String body, String requestId) {
        /** Returns the body as JSON. */
        public JsonNode json() {
            try {
                return JSON.readTree(body);
            } catch (IOException e) {
                throw new UncheckedIOException("response body is not JSON: " + body, e);
            }
        }
    }

    /** Sends GET to {@code http://address/path}. */
    public Answer get(String address, String path) {
        return send(HttpRequest.newBuilder(URI.create("http://" + address + path))
                .timeout(DEFAULT_TIMEOUT)
                .GET()
                .build());
    }

    /** Sends POST with a JSON body to {@code http://address/path}. */
    public Answer post(String address, String path, String json) {
        return send(HttpRequest.newBuilder(URI.create("http://" + address + path))
                .timeout(DEFAULT_TIMEOUT)
                .header("Content-Type", "application/json")
                .POST(HttpRequest.BodyPublishers.ofString(json))
                .build());
    }

    /**
     * Sends a call through an entry.
     *
     * @param address address of the entry for callers
     * @param path name of the service and path, for example {@code bestellung/checkout}
     * @param requestId request id, or null for none
     * @param deadlineMs deadline of the call in milliseconds
     */
    public Answer call(String address, String path, String requestId, long deadlineMs) {
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://" + address + "/v1/services/" + path))
                .timeout(Duration.ofMillis(deadlineMs + 3_000))
                .header("Deadline-Ms", Long.toString(deadlineMs))
                .POST(HttpRequest.BodyPublishers.noBody());
        if (requestId != null) {
            request.header("Request-Id", requestId);
        }
        return send(request.build());
    }

    /** Requests a new request id for a service from an entry. */
    public String createRequestId(String address, String service) {
        Answer answer = post(address, "/v1/request-ids", "{\"service\":\"" + service + "\"}");
        if (answer.status() != 200) {
            throw new IllegalStateException("the entry issued no request id: " + answer.status() + " " + answer.body());
        }
        return answer.json().path("id").asText();
    }

    private Answer send(HttpRequest request) {
        try {
            HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
            return new Answer(
                    response.statusCode(),
                    response.body(),
                    response.headers().firstValue("Request-Id").orElse(""));
        } catch (IOException e) {
            throw new UncheckedIOException(request.uri() + ": " + e.getMessage(), e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
    }
}
