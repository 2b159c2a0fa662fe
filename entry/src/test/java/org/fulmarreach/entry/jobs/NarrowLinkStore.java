package org.fulmarreach.entry.jobs;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.locks.LockSupport;

import org.fulmarreach.platform.store.KeyedRecord;
import org.fulmarreach.platform.store.TopicPartition;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/**
 * Store behind a narrow link: all its answers together are sent at a limited rate, over HTTP on loopback. It answers
 * appends without keeping them, and waiting reads with nothing.
 */
final class NarrowLinkStore implements AutoCloseable {
    private static final int CHUNK_BYTES = 4_096;
    private static final int PAGE_RECORDS = 500;
    private static final int PAGE_BYTES = 1 << 20;
    private static final long NANOS_PER_BYTE_AT_1_MBIT = 8_000;

    private final Map<String, List<KeyedRecord>> records = new HashMap<>();
    private final long nanosPerByte;
    private final HttpServer server;
    private long linkFreeAtNanos;

    /**
     * Starts the store.
     *
     * @param linkMbps rate of the link in Mbit/s
     */
    NarrowLinkStore(int linkMbps) throws IOException {
        this.nanosPerByte = NANOS_PER_BYTE_AT_1_MBIT / linkMbps;
        this.linkFreeAtNanos = System.nanoTime();
        this.server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 64);
        server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
        server.createContext("/v1/log-newest", this::answerNewest);
        server.createContext("/v1/log-read", this::answerRead);
        server.createContext(
                "/v1/log-append", exchange -> send(exchange, "{\"offset\":0,\"end_offset\":0}".getBytes()));
        server.start();
    }

    int port() {
        return server.getAddress().getPort();
    }

    void put(TopicPartition partition, String key, byte[] value) {
        records.computeIfAbsent(partition.topic() + "/" + partition.part(), unused -> new ArrayList<>())
                .add(new KeyedRecord(key, value));
    }

    @Override
    public void close() {
        server.stop(0);
    }

    private void answerNewest(HttpExchange exchange) throws IOException {
        Map<String, String> query = parse(exchange.getRequestURI().getQuery());
        List<KeyedRecord> all = records.getOrDefault(query.get("topic") + "/" + query.get("part"), List.of());
        String after = query.getOrDefault("after", "");
        StringBuilder items = new StringBuilder();
        int count = 0;
        boolean more = false;
        for (KeyedRecord entry : all) {
            if (entry.key().compareTo(after) <= 0) {
                continue;
            }
            if (count == PAGE_RECORDS || items.length() > PAGE_BYTES) {
                more = true;
                break;
            }
            items.append(count++ == 0 ? "" : ",")
                    .append("{\"key\":\"")
                    .append(entry.key())
                    .append("\",\"value\":\"")
                    .append(Base64.getEncoder().encodeToString(entry.value()))
                    .append("\",\"offset\":0}");
        }
        String body = "{\"items\":[" + items + "],\"has_more\":" + more + ",\"end_offset\":0}";
        send(exchange, body.getBytes(StandardCharsets.UTF_8));
    }

    private void answerRead(HttpExchange exchange) throws IOException {
        Map<String, String> query = parse(exchange.getRequestURI().getQuery());
        LockSupport.parkNanos(Long.parseLong(query.getOrDefault("wait_ms", "0")) * 1_000_000);
        send(exchange, ByteBuffer.allocate(2 * Long.BYTES).array());
    }

    private static Map<String, String> parse(String query) {
        Map<String, String> values = new HashMap<>();
        for (String pair : query.split("&")) {
            int equals = pair.indexOf('=');
            values.put(pair.substring(0, equals), pair.substring(equals + 1));
        }
        return values;
    }

    private void send(HttpExchange exchange, byte[] body) throws IOException {
        exchange.sendResponseHeaders(200, body.length);
        try (OutputStream out = exchange.getResponseBody()) {
            for (int from = 0; from < body.length; from += CHUNK_BYTES) {
                int length = Math.min(CHUNK_BYTES, body.length - from);
                awaitLink(length);
                out.write(body, from, length);
                out.flush();
            }
        } catch (IOException e) {
            // The client has given the answer up; what was sent has used the link all the same.
            exchange.close();
        }
    }

    /** Reserves the link for some bytes and waits until they have been sent. */
    private void awaitLink(int bytes) {
        long sentAtNanos;
        synchronized (this) {
            linkFreeAtNanos = Math.max(linkFreeAtNanos, System.nanoTime()) + bytes * nanosPerByte;
            sentAtNanos = linkFreeAtNanos;
        }
        LockSupport.parkNanos(sentAtNanos - System.nanoTime());
    }
}
