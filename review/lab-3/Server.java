import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** HTTP server of a stand-in; an answer of null leaves the request without one and closes its connection. */
final class Server {
    interface Handler {
        Answer answer(String path, Map<String, String> query, byte[] body) throws InterruptedException;
    }

    record Answer(int status, byte[] body) {
        static Answer json(int status, Map<String, Object> body) {
            return new Answer(status, Json.write(body).getBytes(StandardCharsets.UTF_8));
        }
    }

    private final HttpServer server;
    private final ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor();
    private final Handler handler;

    Server(String host, int port, Handler handler) throws IOException {
        this.handler = handler;
        server = HttpServer.create(new InetSocketAddress(host, port), 0);
        server.createContext("/", this::handle);
        server.setExecutor(threads);
        server.start();
    }

    void close() {
        server.stop(0);
        threads.shutdownNow();
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
                exchange.getResponseHeaders().set("Content-Type", "application/json");
                exchange.sendResponseHeaders(answer.status(), answer.body().length == 0 ? -1 : answer.body().length);
                exchange.getResponseBody().write(answer.body());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
