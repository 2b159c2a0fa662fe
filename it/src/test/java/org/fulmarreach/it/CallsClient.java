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
 * Caller that notes each attempt with what it was told, and compares whole answers with what the target must echo.
 * Attempts have no timeout of their own, so that answers that come late are noted too. Thread-safe.
 */
final class CallsClient {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Duration CONTROL_TIMEOUT = Duration.ofSeconds(10);

    private final HttpClient client =
            HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(10)).build();

    /** What the caller was told. */
    enum Told {
        /** The whole answer of the target to exactly this call. */
        WHOLE,
        /** An answer with status 200 that is not the one to this call. */
        WRONG,
        /** The call did not run and never will. */
        NOT_RUN,
        /** Whether the call ran is not known. */
        UNKNOWN,
        /** The entry did not take the call, and says nothing about its id. */
        REJECTED,
        /** Another answer. */
        OTHER,
        /** The connection ended without an answer, or there is none yet. */
        NOTHING
    }

    /**
     * One attempt.
     *
     * @param entry entry that was asked
     * @param told what the entry said
     * @param id request id, of the answer where the caller sent none; empty for none
     * @param code error code; empty for none
     * @param tookMs time until the answer or the end of the connection
     * @param retryAfterMs when to come back; 0 for none
     * @param retryAfterHeader whether the answer has a Retry-After header
     * @param detail body or failure
     */
    record Attempt(
            String entry,
            Told told,
            String id,
            String code,
            long tookMs,
            long retryAfterMs,
            boolean retryAfterHeader,
            String detail) {}

    /**
     * Sends a call.
     *
     * @param entry entry to ask
     * @param id request id; empty for an idempotent call
     * @param path path below the service with a query {@code bytes=}
     * @param bytes length of the whole answer
     * @param deadlineMs deadline
     * @return completes with the attempt, never exceptionally
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
                            ? new Attempt(entry.name(), Told.NOTHING, id, "", tookMs, 0, false, failure.toString())
                            : judge(entry.name(), id, path, bytes, tookMs, response);
                });
    }

    /** Gets a request id; empty when the entry gives none. */
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

    /** Reads a JSON object from a process. */
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

    private static Attempt judge(
            String entry, String id, String path, int bytes, long tookMs, HttpResponse<byte[]> response) {
        String text = new String(response.body(), StandardCharsets.UTF_8);
        String answeredId = response.headers().firstValue("Request-Id").orElse("");
        JsonNode body;
        try {
            body = JSON.readTree(response.body());
        } catch (IOException e) {
            return new Attempt(entry, Told.WRONG, id, "", tookMs, 0, false, text);
        }
        if (response.statusCode() == 200) {
            boolean whole = isEcho(body, id.isEmpty() ? answeredId : id, path)
                    && response.body().length == bytes
                    && answeredId.equals(body.path("requestId").asText());
            return new Attempt(entry, whole ? Told.WHOLE : Told.WRONG, answeredId, "", tookMs, 0, false, text);
        }
        String outcome = body.path("outcome").asText("");
        Told told = switch (outcome) {
            case "not_run" -> Told.NOT_RUN;
            case "unknown" -> Told.UNKNOWN;
            default -> response.statusCode() == 503 ? Told.REJECTED : Told.OTHER;
        };
        return new Attempt(
                entry,
                told,
                id.isEmpty() ? answeredId : id,
                body.path("code").asText(""),
                tookMs,
                body.path("retryAfterMs").asLong(),
                response.headers().firstValue("Retry-After").isPresent(),
                text);
    }

    /** The pad of the echo is one letter that depends on id and path, as docs/PLATFORM.md section 4.3 says. */
    private static boolean isEcho(JsonNode body, String id, String path) {
        String pad = body.path("pad").asText();
        String letter = String.valueOf((char) ('a' + Math.floorMod((id + path).hashCode(), 26)));
        return body.path("requestId").asText().equals(id)
                && body.path("path").asText().equals(path)
                && pad.equals(letter.repeat(pad.length()))
                && body.path("execution").asInt() == 1;
    }
}
