package org.fulmarreach.cli;

import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpTimeoutException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/** HTTP client for the operators' endpoints. Tries the entries in order. Not thread-safe. */
final class EntryClient {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);

    /** Limit for the request to one entry, so that one without a response leaves time for the next. */
    private static final long REQUEST_TIMEOUT_MS = 4_000;

    private final HttpClient http = HttpClient.newBuilder()
            .connectTimeout(CONNECT_TIMEOUT)
            .followRedirects(HttpClient.Redirect.NEVER)
            .version(HttpClient.Version.HTTP_1_1)
            .build();
    private final ObjectMapper json = new ObjectMapper();
    private final List<URI> entries;
    private final String token;
    private final Ticker ticker;
    private final long deadlineMs;

    /** Constructs a client whose requests time out at {@code deadlineMs} of the ticker's clock. */
    EntryClient(List<URI> entries, String token, Ticker ticker, long deadlineMs) {
        this.entries = List.copyOf(entries);
        this.token = token;
        this.ticker = ticker;
        this.deadlineMs = deadlineMs;
    }

    /** Sends a GET request. */
    Answer get(String path) {
        return send(path, null);
    }

    /**
     * Sends a POST request. If an entry does not answer, the same body is sent to the next one, so the request must be
     * idempotent.
     *
     * @param body JSON, or null for an empty body
     */
    Answer post(String path, JsonNode body) {
        return send(path, body == null ? "" : body.toString());
    }

    /** Returns whether the deadline of the command has passed. */
    boolean isPastDeadline() {
        return ticker.nowMs() >= deadlineMs;
    }

    private Answer send(String path, String body) {
        List<String> causes = new ArrayList<>();
        for (URI entry : entries) {
            long remainingMs = deadlineMs - ticker.nowMs();
            if (remainingMs <= 0) {
                causes.add(entry + ": not tried because the timeout has passed");
                continue;
            }
            HttpRequest request = createRequest(entry, path, body, Math.min(remainingMs, REQUEST_TIMEOUT_MS));
            try {
                HttpResponse<byte[]> response = http.send(request, HttpResponse.BodyHandlers.ofByteArray());
                JsonNode tree = json.readTree(response.body());
                return new Answer.Reply(response.statusCode(), tree);
            } catch (JsonProcessingException e) {
                causes.add(entry + ": the response is not JSON");
            } catch (IOException e) {
                causes.add(entry + ": " + describe(e));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                causes.add(entry + ": interrupted");
            }
        }
        return new Answer.NoAnswer(causes);
    }

    private HttpRequest createRequest(URI entry, String path, String body, long timeoutMs) {
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create(entry + path))
                .timeout(Duration.ofMillis(timeoutMs))
                .header("Accept", "application/json");
        if (token != null) {
            request.header("Authorization", "Bearer " + token);
        }
        if (body != null) {
            request.header("Content-Type", "application/json").POST(HttpRequest.BodyPublishers.ofString(body));
        }
        return request.build();
    }

    private static String describe(IOException e) {
        return switch (e) {
            case HttpConnectTimeoutException timeout -> "no connection within " + CONNECT_TIMEOUT.toSeconds() + " s";
            case HttpTimeoutException timeout -> "no answer in time";
            case ConnectException refused -> "connection refused";
            default -> "connection lost before the response";
        };
    }
}
