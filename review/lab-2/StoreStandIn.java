import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Stand-in of the platform's store: topics with partitions and, in keyed topics, the newest record of each key. It
 * keeps to {@code record_bytes} and {@code request_bytes} of the settings. Thread-safe.
 */
final class StoreStandIn {
    static final int RECORD_BYTES = 262_144;
    static final int REQUEST_BYTES = 2_097_152;
    private static final int ANSWER_MS = 4;
    private static final int REPEATED_APPENDS = 5;
    private static final int PAGE_ITEMS = 500;
    private static final int PAGE_BYTES = 1 << 20;
    private static final int LENGTH_BYTES = 4;

    /** Appends that were refused because a record or the call was too large. */
    final AtomicInteger refusedForSize = new AtomicInteger();

    /** Largest record that was sent, in bytes. */
    volatile int largestRecordBytes;

    /** Decides about the answer to an append. */
    volatile AppendFault fault = (topic, part, body) -> -1;

    private final Map<String, Partition> partitions = new HashMap<>();
    private final HttpStandIn server;

    /** Decides which appends get no answer and are carried out later. */
    interface AppendFault {
        /** Returns the delay in ms after which the append is carried out without an answer; negative for a usual one. */
        long delayMs(String topic, String part, byte[] body);
    }

    private static final class Partition {
        private final List<byte[]> log = new ArrayList<>();
        private final TreeMap<String, Keyed> newest = new TreeMap<>();
        private final List<Map.Entry<String, HttpStandIn.Answer>> recent = new ArrayList<>();
        private long epoch = -1;
        private long sequence;
    }

    private record Keyed(long offset, byte[] value) {}

    StoreStandIn(String host, int port) {
        server = new HttpStandIn(host, port, this::answer);
    }

    void close() {
        server.close();
    }

    /** Writes a record as the operator does. */
    synchronized void publish(String key, ObjectNode value) {
        byte[] name = key.getBytes(StandardCharsets.UTF_8);
        byte[] text = value.toString().getBytes(StandardCharsets.UTF_8);
        add("keyed.op/0", ByteBuffer.allocate(1 + name.length + text.length)
                .put((byte) name.length).put(name).put(text).array());
        notifyAll();
    }

    private HttpStandIn.Answer answer(String method, String path, Map<String, String> query, byte[] body)
            throws InterruptedException {
        Thread.sleep(ANSWER_MS);
        String name = query.get("topic") + "/" + query.get("part");
        switch (path) {
            case "/v1/log-append":
                long delayMs = fault.delayMs(query.get("topic"), query.get("part"), body);
                if (delayMs >= 0) {
                    Thread.sleep(delayMs);
                    append(name, query, body);
                    return null;
                }
                return append(name, query, body);
            case "/v1/log-read":
                return read(name, query);
            case "/v1/log-newest":
                return newest(name, query.getOrDefault("after", ""));
            default:
                return HttpStandIn.Answer.json(404, HttpStandIn.JSON.createObjectNode());
        }
    }

    private Partition partition(String name) {
        return partitions.computeIfAbsent(name, unused -> new Partition());
    }

    private synchronized HttpStandIn.Answer append(String name, Map<String, String> query, byte[] body) {
        Partition partition = partition(name);
        ObjectNode reply = HttpStandIn.JSON.createObjectNode();
        List<byte[]> records = new ArrayList<>();
        boolean tooLarge = body.length > REQUEST_BYTES;
        for (ByteBuffer rest = ByteBuffer.wrap(body); rest.hasRemaining(); ) {
            byte[] content = new byte[rest.getInt()];
            rest.get(content);
            records.add(content);
            largestRecordBytes = Math.max(largestRecordBytes, content.length);
            tooLarge |= content.length > RECORD_BYTES;
        }
        String id = query.get("producer") + "/" + query.get("epoch") + "/" + query.get("sequence");
        if (query.containsKey("producer")) {
            for (Map.Entry<String, HttpStandIn.Answer> earlier : partition.recent) {
                if (earlier.getKey().equals(id)) {
                    return earlier.getValue();
                }
            }
            long epoch = Long.parseLong(query.get("epoch"));
            long sequence = Long.parseLong(query.getOrDefault("sequence", "0"));
            if (epoch < partition.epoch) {
                return HttpStandIn.Answer.json(409, reply.put("reason", "fenced"));
            }
            if (epoch == partition.epoch && sequence != partition.sequence + 1) {
                return HttpStandIn.Answer.json(
                        409, reply.put("reason", "seq").put("sequence", partition.sequence + 1));
            }
        }
        int end = partition.log.size();
        if (query.containsKey("at") && Long.parseLong(query.get("at")) != end) {
            return HttpStandIn.Answer.json(412, reply.put("end_offset", end));
        }
        if (tooLarge) {
            refusedForSize.incrementAndGet();
            return HttpStandIn.Answer.json(400, reply.put("reason", "size"));
        }
        records.forEach(content -> add(name, content));
        HttpStandIn.Answer answer = HttpStandIn.Answer.json(
                200, reply.put("offset", end).put("end_offset", partition.log.size()));
        if (query.containsKey("producer")) {
            partition.epoch = Long.parseLong(query.get("epoch"));
            partition.sequence = Long.parseLong(query.getOrDefault("sequence", "0"));
            partition.recent.add(Map.entry(id, answer));
            if (partition.recent.size() > REPEATED_APPENDS) {
                partition.recent.remove(0);
            }
        }
        notifyAll();
        return answer;
    }

    private void add(String name, byte[] content) {
        Partition partition = partition(name);
        if (name.startsWith("keyed.")) {
            int length = content[0] & 0xff;
            String key = new String(content, 1, length, StandardCharsets.UTF_8);
            if (content.length == 1 + length) {
                partition.newest.remove(key);
            } else {
                byte[] value = Arrays.copyOfRange(content, 1 + length, content.length);
                partition.newest.put(key, new Keyed(partition.log.size(), value));
            }
        }
        partition.log.add(content);
    }

    private synchronized HttpStandIn.Answer read(String name, Map<String, String> query) throws InterruptedException {
        Partition partition = partition(name);
        int from = Integer.parseInt(query.get("from"));
        int maxBytes = 1_024 * Integer.parseInt(query.getOrDefault("max_kilobytes", "1024"));
        long untilMs = System.currentTimeMillis() + Integer.parseInt(query.getOrDefault("wait_ms", "0"));
        for (long nowMs = System.currentTimeMillis();
                partition.log.size() <= from && nowMs < untilMs;
                nowMs = System.currentTimeMillis()) {
            wait(untilMs - nowMs);
        }
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(ByteBuffer.allocate(2 * Long.BYTES).putLong(partition.log.size()).putLong(0).array());
        for (int i = from; i < partition.log.size() && (i == from || out.size() < maxBytes); i++) {
            byte[] content = partition.log.get(i);
            out.writeBytes(ByteBuffer.allocate(LENGTH_BYTES).putInt(content.length).array());
            out.writeBytes(content);
        }
        return new HttpStandIn.Answer(200, out.toByteArray());
    }

    private synchronized HttpStandIn.Answer newest(String name, String after) {
        Partition partition = partition(name);
        ObjectNode answer = HttpStandIn.JSON.createObjectNode();
        ArrayNode items = answer.putArray("items");
        int bytes = 0;
        boolean more = false;
        for (Map.Entry<String, Keyed> each : partition.newest.tailMap(after, false).entrySet()) {
            String value = Base64.getEncoder().encodeToString(each.getValue().value());
            if (items.size() >= PAGE_ITEMS || items.size() > 0 && bytes + value.length() > PAGE_BYTES) {
                more = true;
                break;
            }
            bytes += value.length();
            items.addObject()
                    .put("key", each.getKey())
                    .put("value", value)
                    .put("offset", each.getValue().offset());
        }
        answer.put("has_more", more).put("end_offset", partition.log.size());
        return HttpStandIn.Answer.json(200, answer);
    }
}
