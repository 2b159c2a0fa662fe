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

/** HTTP server of a stand-in, with one virtual thread for each request. */
final class HttpStandIn {
    static final ObjectMapper JSON = new ObjectMapper();

    /** A channel on which an answer is lost stays open without data for this long. */
    private static final int SILENCE_MS = 20_000;

    private final HttpServer server;
    private final Handler handler;

    /** Answers requests; null leaves the request without an answer. */
    interface Handler {
        Answer answer(String method, String path, Map<String, String> query, byte[] body) throws Exception;
    }

    /** Answer with a status and a body. */
    record Answer(int status, byte[] body) {
        static Answer json(int status, JsonNode body) {
            return new Answer(status, body.toString().getBytes(StandardCharsets.UTF_8));
        }
    }

    HttpStandIn(String host, int port, Handler handler) {
        this.handler = handler;
        try {
            server = HttpServer.create(new InetSocketAddress(host, port), 0);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        server.createContext("/", this::handle);
        server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
        server.start();
    }

    /** Refuses new connections and closes the open ones. */
    void close() {
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
            Answer answer = handler.answer(
                    exchange.getRequestMethod(), exchange.getRequestURI().getPath(), query, body);
            if (answer == null) {
                Thread.sleep(SILENCE_MS);
                return;
            }
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.sendResponseHeaders(answer.status(), answer.body().length == 0 ? -1 : answer.body().length);
            exchange.getResponseBody().write(answer.body());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            throw e;
        } catch (Exception e) {
            throw new IOException(e);
        }
    }
}
