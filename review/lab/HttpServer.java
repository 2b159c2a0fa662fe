package review.lab;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** A small HTTP/1.1 server with one thread for each connection. */
final class HttpServer {
    private final Handler handler;
    private final ServerSocket listener;
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private volatile boolean closed;

    /** Answers requests; null leaves a request unanswered and its connection without further answers. */
    interface Handler {
        Response answer(Request request) throws InterruptedException;
    }

    record Request(String method, String path, Map<String, String> query, Map<String, String> headers, byte[] body) {
        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    record Response(int status, Map<String, String> headers, byte[] body) {
        static Response json(int status, Object value) {
            return new Response(
                    status,
                    Map.of("Content-Type", "application/json"),
                    Json.write(value).getBytes(StandardCharsets.UTF_8));
        }
    }

    HttpServer(String host, int port, Handler handler) throws IOException {
        this.handler = handler;
        listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(new InetSocketAddress(InetAddress.getByName(host), port), 200);
        Thread.ofVirtual().start(this::accept);
    }

    /** Ends like a killed process: the port refuses connections and open ones are closed. */
    void close() {
        closed = true;
        closeQuietly(listener);
        connections.forEach(HttpServer::closeQuietly);
    }

    private void accept() {
        while (!closed) {
            try {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                connections.add(socket);
                if (closed) {
                    closeQuietly(socket);
                }
                Thread.ofVirtual().start(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = new BufferedOutputStream(socket.getOutputStream());
            for (Request request = read(in); request != null; request = read(in)) {
                Response response = handler.answer(request);
                if (response == null) {
                    while (in.read() >= 0) {
                        // The connection carries nothing more.
                    }
                    return;
                }
                if (closed) {
                    return;
                }
                StringBuilder head = new StringBuilder("HTTP/1.1 " + response.status() + " status\r\n");
                response.headers().forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
                head.append("Content-Length: " + response.body().length + "\r\n\r\n");
                out.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
                out.write(response.body());
                out.flush();
            }
        } catch (IOException | InterruptedException e) {
            // The peer or this server has closed the connection.
        } finally {
            connections.remove(socket);
        }
    }

    private static Request read(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) {
            return null;
        }
        String[] words = line.split(" ");
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (String header = readLine(in); header != null && !header.isEmpty(); header = readLine(in)) {
            int colon = header.indexOf(':');
            headers.put(header.substring(0, colon).trim(), header.substring(colon + 1).trim());
        }
        byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("Content-Length", "0")));
        int mark = words[1].indexOf('?');
        String path = mark < 0 ? words[1] : words[1].substring(0, mark);
        Map<String, String> query = new TreeMap<>();
        if (mark >= 0) {
            for (String pair : words[1].substring(mark + 1).split("&")) {
                int equals = pair.indexOf('=');
                query.put(
                        pair.substring(0, equals),
                        java.net.URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        return new Request(words[0], path, query, headers, body);
    }

    static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                return null;
            }
            if (c != '\r') {
                line.append((char) c);
            }
        }
        return line.toString();
    }

    private static void closeQuietly(AutoCloseable closeable) {
        try {
            closeable.close();
        } catch (Exception e) {
            // It is closed already.
        }
    }
}
