import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's store: a log with keyed topics, conditions on appends, and the limits that the settings name. */
final class Store {
    static final int RECORD_BYTES = 262_144;
    static final int REQUEST_BYTES = 2_097_152;
    private static final int ANSWER_MS = 4;
    /** Time in which the answer to the first append of a term and the reads of its record arrive. */
    private static final int EPOCH_ANSWER_MS = 10;

    private static final int SILENCE_MS = 10_000;
    private static final int PAGE_ITEMS = 500;
    private static final int PAGE_BYTES = 1_000_000;
    private static final int REPEATS = 5;

    private final Map<String, Partition> partitions = new HashMap<>();
    private final Record record;
    private final Server server;
    private volatile long busyUntilMs;
    private volatile long silentUntilMs;
    private long silentAfterEpochMs;

    private static final class Partition {
        private final List<byte[]> log = new ArrayList<>();
        private final TreeMap<String, Keyed> newest = new TreeMap<>();
        private final LinkedHashMap<String, Server.Answer> recent = new LinkedHashMap<>();
        private long epoch = -1;
        private long sequence;
    }

    private record Keyed(long offset, byte[] value) {}

    Store(String host, int port, Record record) throws IOException {
        this.record = record;
        server = new Server(host, port, this::answer);
    }

    void close() {
        server.close();
    }

    /** Answers all calls with 503 for a while; nothing is done then. */
    void busy(long forMs) {
        busyUntilMs = System.currentTimeMillis() + forMs;
        record.line("store answers 503 for " + forMs + " ms");
    }

    /** Leaves calls for the partitions with the number 1 without an answer for a while; nothing is done then. */
    void silent(long forMs) {
        silentUntilMs = System.currentTimeMillis() + forMs;
        record.line("store is silent for " + forMs + " ms in partition 1");
    }

    /** Goes silent as {@link #silent} does once the next term of a leader has begun. */
    synchronized void silentAfterEpoch(long forMs) {
        silentAfterEpochMs = forMs;
    }

    /** Writes a record as the operator does. */
    synchronized void publish(String key, Map<String, Object> value) {
        byte[] name = key.getBytes(StandardCharsets.UTF_8);
        byte[] text = Json.write(value).getBytes(StandardCharsets.UTF_8);
        add("keyed.op/0", ByteBuffer.allocate(1 + name.length + text.length)
                .put((byte) name.length).put(name).put(text).array());
        notifyAll();
    }

    private Server.Answer answer(String path, Map<String, String> query, byte[] body) throws InterruptedException {
        Thread.sleep(ANSWER_MS);
        if (System.currentTimeMillis() < silentUntilMs && "1".equals(query.get("part"))) {
            Thread.sleep(SILENCE_MS);
            return null;
        }
        if (System.currentTimeMillis() < busyUntilMs) {
            return Server.Answer.json(503, Map.of());
        }
        String name = query.get("topic") + "/" + query.get("part");
        return switch (path) {
            case "/v1/log-append" -> append(name, query, body);
            case "/v1/log-read" -> read(name, query);
            case "/v1/log-newest" -> newest(name, query.getOrDefault("after", ""));
            default -> Server.Answer.json(404, Map.of());
        };
    }

    private synchronized Server.Answer append(String name, Map<String, String> query, byte[] body) {
        Partition partition = partitions.computeIfAbsent(name, unused -> new Partition());
        List<byte[]> contents = new ArrayList<>();
        int largest = 0;
        for (ByteBuffer rest = ByteBuffer.wrap(body); rest.hasRemaining(); ) {
            byte[] content = new byte[rest.getInt()];
            rest.get(content);
            contents.add(content);
            largest = Math.max(largest, content.length);
        }
        if (largest > RECORD_BYTES || body.length > REQUEST_BYTES) {
            record.count("store refused an append to " + name + " that is over its limits", "request of " + body.length
                    + " bytes in " + contents.size() + " records, the largest of " + largest + " bytes");
            return Server.Answer.json(400, Map.of());
        }
        String id = query.get("producer") + "/" + query.get("epoch") + "/" + query.get("sequence");
        boolean produced = query.containsKey("producer");
        if (produced) {
            long epoch = Long.parseLong(query.get("epoch"));
            long sequence = Long.parseLong(query.get("sequence"));
            if (epoch < partition.epoch) {
                return Server.Answer.json(409, Map.of("reason", "fenced"));
            }
            if (partition.recent.containsKey(id)) {
                return partition.recent.get(id);
            }
            if (epoch == partition.epoch && sequence != partition.sequence + 1) {
                return Server.Answer.json(409, Map.of("reason", "seq", "sequence", partition.sequence + 1));
            }
        }
        int end = partition.log.size();
        if (query.containsKey("at") && Long.parseLong(query.get("at")) != end) {
            return Server.Answer.json(412, Map.of("end_offset", end));
        }
        contents.forEach(content -> add(name, content));
        Server.Answer answer = Server.Answer.json(200, Map.of("offset", end, "end_offset", partition.log.size()));
        if (produced) {
            if (silentAfterEpochMs > 0 && Long.parseLong(query.get("epoch")) > partition.epoch) {
                long forMs = silentAfterEpochMs;
                silentAfterEpochMs = 0;
                Thread.ofVirtual().start(() -> silentSoon(forMs));
            }
            partition.epoch = Long.parseLong(query.get("epoch"));
            partition.sequence = Long.parseLong(query.get("sequence"));
            partition.recent.put(id, answer);
            if (partition.recent.size() > REPEATS) {
                partition.recent.remove(partition.recent.keySet().iterator().next());
            }
        }
        notifyAll();
        return answer;
    }

    private void silentSoon(long forMs) {
        try {
            Thread.sleep(EPOCH_ANSWER_MS);
            silent(forMs);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void add(String name, byte[] content) {
        Partition partition = partitions.computeIfAbsent(name, unused -> new Partition());
        int length = content[0] & 0xff;
        String key = new String(content, 1, length, StandardCharsets.UTF_8);
        if (content.length == 1 + length) {
            partition.newest.remove(key);
        } else {
            partition.newest.put(
                    key, new Keyed(partition.log.size(), Arrays.copyOfRange(content, 1 + length, content.length)));
        }
        partition.log.add(content);
    }

    private synchronized Server.Answer read(String name, Map<String, String> query) throws InterruptedException {
        Partition partition = partitions.computeIfAbsent(name, unused -> new Partition());
        int from = Integer.parseInt(query.get("from"));
        int maxBytes = 1_024 * Integer.parseInt(query.getOrDefault("max_kilobytes", "1024"));
        long untilMs = System.currentTimeMillis() + Integer.parseInt(query.getOrDefault("wait_ms", "0"));
        for (long nowMs = System.currentTimeMillis();
                partition.log.size() <= from && nowMs < untilMs;
                nowMs = System.currentTimeMillis()) {
            wait(untilMs - nowMs);
        }
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(ByteBuffer.allocate(16).putLong(partition.log.size()).putLong(0).array());
        for (int i = from; i < partition.log.size() && (i == from || out.size() < maxBytes); i++) {
            byte[] content = partition.log.get(i);
            out.writeBytes(ByteBuffer.allocate(4).putInt(content.length).array());
            out.writeBytes(content);
        }
        return new Server.Answer(200, out.toByteArray());
    }

    private synchronized Server.Answer newest(String name, String after) {
        Partition partition = partitions.computeIfAbsent(name, unused -> new Partition());
        List<Object> items = new ArrayList<>();
        int bytes = 0;
        boolean more = false;
        for (Map.Entry<String, Keyed> each : partition.newest.tailMap(after, false).entrySet()) {
            byte[] value = each.getValue().value();
            if (items.size() >= PAGE_ITEMS || !items.isEmpty() && bytes + value.length > PAGE_BYTES) {
                more = true;
                break;
            }
            bytes += value.length;
            items.add(Map.of("key", each.getKey(), "value", Base64.getEncoder().encodeToString(value),
                    "offset", each.getValue().offset()));
        }
        return Server.Answer.json(200, Map.of("items", items, "has_more", more, "end_offset", partition.log.size()));
    }
}
