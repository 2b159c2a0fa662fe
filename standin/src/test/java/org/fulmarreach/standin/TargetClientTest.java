package org.fulmarreach.standin;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.UnaryOperator;

import org.fulmarreach.core.exc.Result;
import org.fulmarreach.core.model.Target;
import org.fulmarreach.platform.HttpField;
import org.fulmarreach.platform.TargetClient;
import org.fulmarreach.platform.TargetClientSettings;
import org.fulmarreach.platform.TargetReply;
import org.fulmarreach.platform.TargetRequest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import com.fasterxml.jackson.databind.JsonNode;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against a partial response that is treated as complete, and a call that ran but is reported as not sent. */
class TargetClientTest {
    private StandInRuntime runtime;
    private Journal journal;
    private TargetStandIn target;
    private TargetClient client;

    @BeforeEach
    void start() {
        runtime = StandInRuntime.start();
        journal = new Journal("target", null);
        TargetOptions options = new TargetOptions("target", "bestellung", 8, 64, 1, 0, 1);
        target = new TargetStandIn(runtime.system(), runtime.timer(), 0, options, journal, () -> 1);
        client = createClient(target.server().port(), WorkerAgentTest.CALL_TIMEOUT_MS);
    }

    @AfterEach
    void stop() {
        runtime.close();
    }

    @Test
    void completeResponseHasStatusHeadersAndBody() {
        TargetReply.Whole whole = assertInstanceOf(TargetReply.Whole.class, send("/checkout?bytes=5000"));
        assertEquals(200, whole.status());
        assertEquals(5000, whole.body().length);
        assertTrue(whole.headers().contains(new HttpField("Content-Type", "application/json")));
        JsonNode echo = StandInServer.parse(whole.body());
        assertEquals("id-1", echo.get("requestId").asText());
        assertEquals("/checkout?bytes=5000", echo.get("path").asText());
    }

    @Test
    void refusedConnectionIsReportedAsNotSent() throws Exception {
        int closedPort;
        try (ServerSocket socket = new ServerSocket(0)) {
            closedPort = socket.getLocalPort();
        }
        client = createClient(closedPort, WorkerAgentTest.CALL_TIMEOUT_MS);
        assertInstanceOf(TargetReply.NotSent.class, send("/checkout"));
        assertInstanceOf(Result.Err.class, client.poll().toCompletableFuture().join());
    }

    @Test
    void responseLostAfterExecutionIsBrokenAndTheCallIsNotRetried() throws Exception {
        HttpLogClientTest.post(target.server().address(), "{\"loseAnswersShare\":1}");
        assertInstanceOf(TargetReply.Broken.class, send("/checkout"));
        assertEquals(1, countExecutions());
        TargetRequest get = new TargetRequest("GET", "/stock", List.of(), new byte[0]);
        assertInstanceOf(
                TargetReply.Broken.class, client.send(get).toCompletableFuture().join());
        assertEquals(2, countExecutions());
    }

    @Test
    void truncatedTooLongAndUndelimitedResponsesAreBroken() throws Exception {
        HttpLogClientTest.post(target.server().address(), "{\"truncate\":true}");
        assertInstanceOf(TargetReply.Broken.class, send("/checkout?bytes=100"));
        HttpLogClientTest.post(target.server().address(), "{\"truncate\":false}");
        assertInstanceOf(TargetReply.Broken.class, send("/checkout?bytes=9000"));
        for (String answer : List.of(
                "HTTP/1.1 200 OK\r\n\r\nhalf of a body without a length",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabc",
                "HTTP/1.1 200 OK\r\nContent-Le")) {
            assertInstanceOf(TargetReply.Broken.class, sendToRawServer(answer), answer);
        }
    }

    @Test
    void hangingTargetIsBrokenAfterTheIdleTimeout() throws Exception {
        assertInstanceOf(TargetReply.Whole.class, send("/checkout"));
        client = createClient(target.server().port(), 800);
        HttpLogClientTest.post(target.server().address(), "{\"hang\":true}");
        assertInstanceOf(TargetReply.Broken.class, send("/checkout"));
        assertInstanceOf(Result.Err.class, client.poll().toCompletableFuture().join());
    }

    @Test
    void pathIsSentUnchangedAndInvalidRequestsAreNotSent() {
        for (String path : List.of("//x/%7Ea?q=%2F&r=a+b", "/a|b?c=[1]", "/")) {
            TargetReply.Whole whole = assertInstanceOf(TargetReply.Whole.class, sendToRawServerAndEcho(path));
            assertEquals("POST " + path + " HTTP/1.1", new String(whole.body(), StandardCharsets.US_ASCII));
        }
        for (String path : List.of("", "checkout", "/a b", "/a\r\nX: y")) {
            assertInstanceOf(TargetReply.NotSent.class, send(path), path);
        }
        List<HttpField> headers = List.of(new HttpField("X-A", "a\r\nX-B: b"));
        TargetRequest requestWithHeaderInjection = new TargetRequest("GET", "/", headers, new byte[0]);
        assertInstanceOf(
                TargetReply.NotSent.class,
                client.send(requestWithHeaderInjection).toCompletableFuture().join());
    }

    @Test
    void responseToHeadHasNoBodyAndIsComplete() {
        TargetRequest head = new TargetRequest("HEAD", "/checkout?bytes=500", List.of(), new byte[0]);
        TargetReply.Whole whole = assertInstanceOf(
                TargetReply.Whole.class, client.send(head).toCompletableFuture().join());
        assertEquals(0, whole.body().length);
    }

    @Test
    void pollReturnsTheAnnouncement() throws Exception {
        HttpLogClientTest.post(target.server().address(), "{\"leaving\":true}");
        Result<Target> announced = client.poll().toCompletableFuture().join();
        assertEquals(Result.ok(new Target("bestellung", 8, 64, true)), announced);
    }

    @Test
    void concurrentCallsGetTheirOwnResponses() {
        var replies = new java.util.ArrayList<java.util.concurrent.CompletionStage<TargetReply>>();
        for (int i = 0; i < 30; i++) {
            replies.add(client.send(request("/c" + i + "?bytes=300")));
        }
        for (int i = 0; i < 30; i++) {
            TargetReply reply = replies.get(i).toCompletableFuture().join();
            TargetReply.Whole whole = assertInstanceOf(TargetReply.Whole.class, reply);
            assertEquals(
                    "/c" + i + "?bytes=300",
                    StandInServer.parse(whole.body()).get("path").asText());
        }
        assertTrue(journal.snapshot().toString().contains("EXECUTE"));
        assertTrue(!journal.snapshot().toString().contains("OVERFULL"));
    }

    // Helpers

    private TargetClient createClient(int port, int timeoutMs) {
        TargetClientSettings settings =
                new TargetClientSettings(StandInServer.HOST, port, 8, timeoutMs, timeoutMs, timeoutMs, 8_000);
        return new TargetClient(runtime.system(), settings);
    }

    private TargetReply send(String path) {
        return client.send(request(path)).toCompletableFuture().join();
    }

    private static TargetRequest request(String path) {
        List<HttpField> headers =
                List.of(new HttpField("Request-Id", "id-1"), new HttpField("Content-Type", "text/plain"));
        return new TargetRequest("POST", path, headers, "body".getBytes(StandardCharsets.UTF_8));
    }

    private long countExecutions() {
        List<?> entries = (List<?>) journal.snapshot().get("entries");
        return entries.stream().filter(e -> e.toString().contains("EXECUTE")).count();
    }

    /** Sends a call to a server that writes {@code answer} and closes the connection. */
    private TargetReply sendToRawServer(String answer) {
        return sendToRawServer("/checkout", requestLine -> answer);
    }

    /** Sends a call to a server that responds with the request line as body. */
    private TargetReply sendToRawServerAndEcho(String path) {
        return sendToRawServer(path, line -> "HTTP/1.1 200 OK\r\nContent-Length: " + line.length() + "\r\n\r\n" + line);
    }

    private TargetReply sendToRawServer(String path, UnaryOperator<String> answer) {
        try (ServerSocket server = new ServerSocket(0)) {
            Thread.ofVirtual().start(() -> {
                try (Socket socket = server.accept()) {
                    byte[] buffer = new byte[4096];
                    int length = socket.getInputStream().read(buffer);
                    String received = new String(buffer, 0, length, StandardCharsets.US_ASCII);
                    String line = received.substring(0, received.indexOf('\r'));
                    socket.getOutputStream().write(answer.apply(line).getBytes(StandardCharsets.US_ASCII));
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
            });
            TargetClient toServer = createClient(server.getLocalPort(), WorkerAgentTest.CALL_TIMEOUT_MS);
            return toServer.send(request(path)).toCompletableFuture().join();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
