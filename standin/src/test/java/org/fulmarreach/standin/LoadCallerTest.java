package org.fulmarreach.standin;

import java.io.IOException;
import java.net.http.HttpRequest;
import java.net.http.HttpTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Guards against a load tool that counts the response of another call, a corrupted response or none as complete. */
class LoadCallerTest {
    private final List<String> sent = new ArrayList<>();
    private Reply reply = this::echo;

    @Test
    void onlyTheCompleteEchoOfTheCallIsWhole() {
        assertEquals("whole", call(false).kind());
        reply = request -> echo(request, "id-2", null, 200);
        assertEquals("wrong", call(false).kind());
        reply = request -> echo(request, null, "/checkout?bytes=200&tag=other", 200);
        assertEquals("wrong", call(false).kind());
        reply = request -> echo(request, null, null, 199);
        assertEquals("wrong", call(false).kind());
        reply = request -> new String(echo(request, null, null, 200), StandardCharsets.US_ASCII)
                .replaceFirst("\"pad\":\"(..)", "\"pad\":\"##")
                .getBytes(StandardCharsets.US_ASCII);
        assertEquals("wrong", call(false).kind());
        reply = request -> "not json".getBytes(StandardCharsets.US_ASCII);
        assertEquals("wrong", call(false).kind());
        reply = request -> {
            throw new IOException("fixed content-length: 200, bytes received: 20");
        };
        assertEquals("truncated", call(false).kind());
    }

    @Test
    void outcomeOfTheEntryIsReported() {
        for (String outcome : List.of("not_run", "unknown")) {
            reply = request -> {
                throw new ErrorResponse(503, "{\"outcome\":\"" + outcome + "\",\"code\":\"NO_CAPACITY\"}");
            };
            assertEquals(new LoadCaller.Outcome(outcome, "NO_CAPACITY", "id-1"), call(false));
        }
        reply = request -> {
            throw new ErrorResponse(428, "{\"outcome\":null,\"code\":\"REQUEST_ID_REQUIRED\"}");
        };
        assertEquals(new LoadCaller.Outcome("error", "REQUEST_ID_REQUIRED", "id-1"), call(false));
    }

    @Test
    void callWithoutResponseIsRetriedWithTheSameIdThroughTheOtherEntry() {
        reply = request -> {
            if (request.uri().getPort() == 1) {
                throw new HttpTimeoutException("request timed out");
            }
            return echo(request);
        };
        assertEquals("error", call(false).kind());
        sent.clear();
        assertEquals("whole", call(true).kind());
        assertEquals(List.of("1 id-1", "2 id-1"), sent);
    }

    // Helpers

    private LoadCaller.Outcome call(boolean retryOtherEntry) {
        LoadOptions options = new LoadOptions(
                List.of("127.0.0.1:1", "127.0.0.1:2"),
                "bestellung",
                "/checkout",
                "POST",
                1,
                1_000,
                0,
                1,
                false,
                retryOtherEntry,
                false,
                2_000,
                3_000,
                200,
                10,
                false);
        return new LoadCaller(options, this::send).call(0);
    }

    private LoadTool.Sender.Answer send(HttpRequest request) throws IOException {
        if (request.uri().getPath().equals("/v1/request-ids")) {
            return new LoadTool.Sender.Answer(200, "{\"id\":\"id-1\"}".getBytes(StandardCharsets.US_ASCII));
        }
        sent.add(request.uri().getPort() + " "
                + request.headers().firstValue("Request-Id").orElse(""));
        try {
            return new LoadTool.Sender.Answer(200, reply.to(request));
        } catch (ErrorResponse e) {
            return new LoadTool.Sender.Answer(e.status, e.getMessage().getBytes(StandardCharsets.US_ASCII));
        }
    }

    private byte[] echo(HttpRequest request) {
        return echo(request, null, null, 200);
    }

    /** Returns the target's echo of a request; a non-null id or path replaces the one of the request. */
    private static byte[] echo(HttpRequest request, String id, String path, int bytes) {
        Map<String, Object> fields = new LinkedHashMap<>();
        String echoedId =
                id == null ? request.headers().firstValue("Request-Id").orElse("") : id;
        String ownPath = request.uri().toString().replaceFirst("http://[^/]*/v1/services/bestellung", "");
        String echoedPath = path == null ? ownPath : path;
        fields.put("requestId", echoedId);
        fields.put("path", echoedPath);
        fields.put("pad", "");
        int lengthWithoutPad = Journal.line(fields).length();
        fields.put("pad", TargetStandIn.pad(echoedId + echoedPath, bytes - lengthWithoutPad));
        return Journal.line(fields).getBytes(StandardCharsets.US_ASCII);
    }

    private interface Reply {
        byte[] to(HttpRequest request) throws IOException;
    }

    /** Signals a response with a status other than 200. */
    private static final class ErrorResponse extends IOException {
        private static final long serialVersionUID = 1L;
        private final int status;

        ErrorResponse(int status, String body) {
            super(body);
            this.status = status;
        }
    }
}
