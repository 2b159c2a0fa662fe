package org.fulmarreach.cli;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/** Entry for tests that returns scripted responses. The last response for a request is repeated. */
final class FakeEntry implements AutoCloseable {
    /** Body that marks a response as lost after the entry has processed the request. */
    static final String LOST = "lost";

    /**
     * A scripted response.
     *
     * @param status HTTP status
     * @param body body, or {@link #LOST}
     */
    private record Scripted(int status, String body) {}

    private final HttpServer server;
    private final Map<String, Deque<Scripted>> script = new HashMap<>();
    private final List<String> requests = new ArrayList<>();

    FakeEntry() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.createContext("/", this::handle);
        server.start();
    }

    FakeEntry answer(String request, int status, String body) {
        script.computeIfAbsent(request, key -> new ArrayDeque<>()).add(new Scripted(status, body));
        return this;
    }

    String address() {
        return "http://127.0.0.1:" + server.getAddress().getPort();
    }

    synchronized List<String> requests() {
        return List.copyOf(requests);
    }

    private synchronized void handle(HttpExchange exchange) throws IOException {
        String request = exchange.getRequestMethod() + " " + exchange.getRequestURI();
        String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        String token = exchange.getRequestHeaders().getFirst("Authorization");
        requests.add(request + " " + body + (token == null ? "" : " " + token));
        Deque<Scripted> answers = script.getOrDefault(request, new ArrayDeque<>());
        Scripted answer = answers.size() > 1 ? answers.poll() : answers.peek();
        if (answer == null) {
            answer = new Scripted(404, "{\"code\":\"NOT_FOUND\",\"message\":\"no such path\",\"remedy\":\"check it\"}");
        }
        if (!answer.body().equals(LOST)) {
            byte[] bytes = answer.body().getBytes(StandardCharsets.UTF_8);
            exchange.sendResponseHeaders(answer.status(), bytes.length);
            exchange.getResponseBody().write(bytes);
        }
        exchange.close();
    }

    @Override
    public void close() {
        server.stop(0);
    }
}
