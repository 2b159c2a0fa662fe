package org.fulmarreach.standin.site;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Executors;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/** HTTP server of a stand-in, with one virtual thread for each request. Its listener can be closed and opened again. */
final class JsonServer {
    static final ObjectMapper JSON = new ObjectMapper();

    private final InetSocketAddress address;
    private final Handler handler;
    private HttpServer server;

    /** Answers requests; null leaves the request without an answer. */
    interface Handler {
        Answer answer(String path, Map<String, String> query, byte[] body) throws InterruptedException, IOException;
    }

    /** Answer with a status and a body. */
    record Answer(int status, byte[] body) {
        static Answer json(int status, JsonNode body) {
            return new Answer(status, body.toString().getBytes(StandardCharsets.UTF_8));
        }
    }

    JsonServer(String host, int port, Handler handler) {
        this.address = new InetSocketAddress(host, port);
        this.handler = handler;
        open();
    }

    /** Listens for connections, after {@link #close} again. */
    synchronized void open() {
        try {
            server = HttpServer.create(address, 0);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        server.createContext("/", this::handle);
        server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
        server.start();
    }

    /** Refuses new connections and closes the open ones. */
    synchronized void close() {
        server.stop(0);
    }

    private void handle(HttpExchange exchange) throws IOException {
        try (exchange) {
            byte[] body = exchange.getRequestBody().readAllBytes();
            Map<String, String> query = new HashMap<>();
            String text = exchange.getRequestURI().getQuery();
            for (String pair : text == null ? new String[0] : text.split("&")) {
                int split = pair.indexOf('=');
                query.put(pair.substring(0, split), pair.substring(split + 1));
            }
            String expected = exchange.getRequestHeaders().getFirst("Fulmarreach-Expected-Instance");
            if (expected != null) {
                query.put("expected", expected);
            }
            Answer answer = handler.answer(exchange.getRequestURI().getPath(), query, body);
            if (answer != null) {
                exchange.sendResponseHeaders(answer.status(), answer.body().length == 0 ? -1 : answer.body().length);
                exchange.getResponseBody().write(answer.body());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
