package review.lab;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import review.lab.HttpServer.Request;
import review.lab.HttpServer.Response;

/** Stand-in of the platform's store, a log. It answers as PROTOCOL.md says and disturbs nothing. Thread-safe. */
public final class Store {
    private static final int RECORD_BYTES = 262_144;
    private static final int REQUEST_BYTES = 2_097_152;
    private static final int PAGE_RECORDS = 500;
    private static final int PAGE_BYTES = 1 << 20;
    private static final int ANSWER_MS = 4;

    private final Map<String, Part> parts = new HashMap<>();
    private final Record record;
    private final HttpServer server;
    private int refusedAppends;

    private static final class Part {
        private final boolean keyed;
        private final List<byte[]> log = new ArrayList<>();
        private final TreeMap<String, Newest> newest = new TreeMap<>();
        private long epoch = -1;
        private long sequence;
        private final LinkedHashMap<String, Map<String, Object>> recent = new LinkedHashMap<>();

        Part(boolean keyed) {
            this.keyed = keyed;
        }
    }

    private record Newest(long offset, byte[] value) {}

    Store(String host, int port, Record record) throws IOException {
        this.record = record;
        server = new HttpServer(host, port, this::answer);
    }

    void close() {
        server.close();
    }

    /** Returns how many appends were refused because a record or the request was too large. */
    public synchronized int refusedAppends() {
        return refusedAppends;
    }

    /** Writes a record as the operator does; it is confirmed when this returns. */
    public synchronized void putByOperator(String key, Object value) {
        byte[] bytes = Json.write(value).getBytes(StandardCharsets.UTF_8);
        byte[] name = key.getBytes(StandardCharsets.UTF_8);
        byte[] content = ByteBuffer.allocate(1 + name.length + bytes.length)
                .put((byte) name.length)
                .put(name)
                .put(bytes)
                .array();
        add(part("keyed.op", "0"), content);
        notifyAll();
        record.line("operator: wrote op/" + key + " " + Json.write(value) + ", confirmed");
    }

    /** Returns the name of the node in {@code nodes} that the newest leader record names, or null. */
    public synchronized String leader(List<String> nodes) {
        Newest newest = part("keyed.jobs", "1").newest.get("leader");
        if (newest != null) {
            String text = new String(newest.value(), StandardCharsets.ISO_8859_1);
            for (String node : nodes) {
                if (text.contains(node)) {
                    return node;
                }
            }
        }
        return null;
    }

    private Part part(String topic, String part) {
        return parts.computeIfAbsent(topic + "/" + part, unused -> new Part(topic.startsWith("keyed.")));
    }

    private Response answer(Request request) throws InterruptedException {
        Thread.sleep(ANSWER_MS);
        return switch (request.path()) {
            case "/v1/log-append" -> append(request);
            case "/v1/log-read" -> read(request);
            case "/v1/log-newest" -> newest(request);
            default -> Response.json(404, Map.of());
        };
    }

    private synchronized Response append(Request request) {
        Map<String, String> query = request.query();
        Part part = part(query.get("topic"), query.get("part"));
        List<byte[]> records = new ArrayList<>();
        ByteBuffer body = ByteBuffer.wrap(request.body());
        while (body.hasRemaining()) {
            byte[] content = new byte[body.getInt()];
            body.get(content);
            records.add(content);
            if (content.length > RECORD_BYTES) {
                return refuse("record of " + content.length + " bytes");
            }
        }
        if (request.body().length > REQUEST_BYTES + 4 * records.size()) {
            return refuse("request of " + request.body().length + " bytes");
        }
        String id = null;
        if (query.containsKey("producer")) {
            long epoch = Long.parseLong(query.get("epoch"));
            long sequence = Long.parseLong(query.getOrDefault("sequence", "0"));
            id = query.get("producer") + "/" + epoch + "/" + sequence;
            if (epoch < part.epoch) {
                return Response.json(409, Map.of("reason", "fenced"));
            }
            if (part.recent.containsKey(id)) {
                return Response.json(200, part.recent.get(id));
            }
            if (epoch == part.epoch && sequence != part.sequence + 1) {
                return Response.json(409, Json.of("reason", "seq", "sequence", part.sequence + 1));
            }
        }
        if (query.containsKey("at") && Long.parseLong(query.get("at")) != part.log.size()) {
            return Response.json(412, Json.of("end_offset", (long) part.log.size()));
        }
        long offset = part.log.size();
        records.forEach(content -> add(part, content));
        Map<String, Object> answer = Json.of("offset", offset, "end_offset", (long) part.log.size());
        if (id != null) {
            part.epoch = Long.parseLong(query.get("epoch"));
            part.sequence = Long.parseLong(query.getOrDefault("sequence", "0"));
            part.recent.put(id, answer);
            if (part.recent.size() > 5) {
                part.recent.remove(part.recent.keySet().iterator().next());
            }
        }
        notifyAll();
        return Response.json(200, answer);
    }

    private Response refuse(String reason) {
        refusedAppends++;
        if (refusedAppends <= 20) {
            record.line("store: refused an append, " + reason);
        }
        return Response.json(400, Map.of("error", reason));
    }

    private void add(Part part, byte[] content) {
        if (part.keyed) {
            int length = content[0] & 0xff;
            String key = new String(content, 1, length, StandardCharsets.UTF_8);
            byte[] value = java.util.Arrays.copyOfRange(content, 1 + length, content.length);
            if (value.length == 0) {
                part.newest.remove(key);
            } else {
                part.newest.put(key, new Newest(part.log.size(), value));
            }
        }
        part.log.add(content);
    }

    private synchronized Response read(Request request) throws InterruptedException {
        Map<String, String> query = request.query();
        Part part = part(query.get("topic"), query.get("part"));
        int from = Integer.parseInt(query.get("from"));
        long maxBytes = 1024L * Integer.parseInt(query.getOrDefault("max_kilobytes", "1024"));
        long untilMs = record.nowMs() + Integer.parseInt(query.getOrDefault("wait_ms", "0"));
        while (part.log.size() <= from && record.nowMs() < untilMs) {
            wait(Math.max(1, untilMs - record.nowMs()));
        }
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(ByteBuffer.allocate(16).putLong(part.log.size()).putLong(0).array());
        for (int i = from; i < part.log.size() && (i == from || out.size() < maxBytes); i++) {
            byte[] content = part.log.get(i);
            out.writeBytes(ByteBuffer.allocate(4).putInt(content.length).array());
            out.writeBytes(content);
        }
        return new Response(200, Map.of("Content-Type", "application/octet-stream"), out.toByteArray());
    }

    private synchronized Response newest(Request request) {
        Part part = part(request.query().get("topic"), request.query().get("part"));
        List<Object> items = new ArrayList<>();
        long bytes = 0;
        boolean more = false;
        for (Map.Entry<String, Newest> each :
                part.newest.tailMap(request.query().getOrDefault("after", ""), false).entrySet()) {
            if (items.size() >= PAGE_RECORDS || bytes >= PAGE_BYTES) {
                more = true;
                break;
            }
            bytes += each.getValue().value().length;
            items.add(Json.of(
                    "key", each.getKey(),
                    "value", Base64.getEncoder().encodeToString(each.getValue().value()),
                    "offset", each.getValue().offset()));
        }
        return Response.json(
                200, Json.of("items", items, "has_more", more, "end_offset", (long) part.log.size()));
    }
}
