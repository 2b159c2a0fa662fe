package org.fulmarreach.standin.site;

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
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;

import org.fulmarreach.standin.site.JsonServer.Answer;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Stand-in of the platform's store: a log with partitions and, in keyed topics, the newest record of each key. It may
 * listen at several addresses, so that it fails for some callers only. Thread-safe.
 */
public final class PlatformStore implements AutoCloseable {
    private static final int ANSWER_MS = 2;
    private static final int REPEATED_APPENDS = 5;

    /** A channel on which an answer is lost stays silent; callers close it before the end of this time. */
    private static final int SILENCE_MS = 10_000;

    private final Map<String, Partition> partitions = new HashMap<>();
    private final Map<String, JsonServer> servers = new HashMap<>();
    private final Map<String, Failure> failures = new ConcurrentHashMap<>();

    /** What the store does instead of answering. */
    public enum Fault {
        /** Calls get no answer; half of them are carried out when the fault ends. */
        SILENT,
        /** Calls get 503 and nothing is done. */
        REFUSING,
        /** Calls are carried out; half of the answers are lost. */
        LOSING_ANSWERS
    }

    private record Failure(Fault fault, long untilMs) {}

    private static final class Partition {
        private final List<byte[]> log = new ArrayList<>();
        private final TreeMap<String, Keyed> newest = new TreeMap<>();
        private final List<Map.Entry<String, Answer>> recent = new ArrayList<>();
        private long epoch = -1;
        private long sequence;
    }

    private record Keyed(long offset, byte[] value) {}

    /** Constructs a store that listens at some hosts. */
    public PlatformStore(List<String> hosts, int port) {
        for (String host : hosts) {
            servers.put(host, new JsonServer(host, port, (path, query, body) -> answerAt(host, path, query, body)));
        }
    }

    /** Lets calls to a host fail for a while; a later fault replaces an earlier one of the host. */
    public void fail(String host, Fault fault, int forMs) {
        failures.put(host, new Failure(fault, System.currentTimeMillis() + forMs));
    }

    @Override
    public void close() {
        servers.values().forEach(JsonServer::close);
    }

    /** Writes a record as the operators do. */
    public synchronized void publish(String key, ObjectNode value) {
        byte[] name = key.getBytes(StandardCharsets.UTF_8);
        byte[] text = value.toString().getBytes(StandardCharsets.UTF_8);
        add(
                "keyed.op/0",
                ByteBuffer.allocate(1 + name.length + text.length)
                        .put((byte) name.length)
                        .put(name)
                        .put(text)
                        .array());
        notifyAll();
    }

    /** A channel on which an answer is lost stays open without data, also after the end of the fault. */
    private Answer answerAt(String host, String path, Map<String, String> query, byte[] body)
            throws InterruptedException {
        Failure failure = findFailure(host, Fault.REFUSING, Fault.SILENT);
        if (failure != null && failure.fault() == Fault.REFUSING) {
            return Answer.json(503, JsonServer.JSON.createObjectNode());
        }
        boolean executed = failure == null || ThreadLocalRandom.current().nextBoolean();
        sleepUntilEnd(failure);
        Answer answer = executed ? answer(path, query, body) : null;
        Failure later = findFailure(host, Fault.SILENT, Fault.LOSING_ANSWERS);
        boolean lost = later != null
                && (later.fault() == Fault.SILENT || ThreadLocalRandom.current().nextBoolean());
        if (lost || failure != null) {
            Thread.sleep(SILENCE_MS);
            return null;
        }
        return answer;
    }

    private Failure findFailure(String host, Fault first, Fault second) {
        Failure failure = failures.get(host);
        boolean active = failure != null && System.currentTimeMillis() < failure.untilMs();
        return active && (failure.fault() == first || failure.fault() == second) ? failure : null;
    }

    private static void sleepUntilEnd(Failure failure) throws InterruptedException {
        if (failure != null) {
            Thread.sleep(Math.max(0, failure.untilMs() - System.currentTimeMillis()));
        }
    }

    private Answer answer(String path, Map<String, String> query, byte[] body) throws InterruptedException {
        Thread.sleep(ANSWER_MS);
        String name = query.get("topic") + "/" + query.get("part");
        return switch (path) {
            case "/v1/log-append" -> append(name, query, body);
            case "/v1/log-read" -> read(name, query);
            case "/v1/log-newest" -> newest(name, query.getOrDefault("after", ""));
            default -> Answer.json(404, JsonServer.JSON.createObjectNode());
        };
    }

    private Partition partition(String name) {
        return partitions.computeIfAbsent(name, unused -> new Partition());
    }

    private synchronized Answer append(String name, Map<String, String> query, byte[] body) {
        Partition partition = partition(name);
        String id = query.get("producer") + "/" + query.get("epoch") + "/" + query.get("sequence");
        if (query.containsKey("producer")) {
            long epoch = Long.parseLong(query.get("epoch"));
            long sequence = Long.parseLong(query.getOrDefault("sequence", "0"));
            for (Map.Entry<String, Answer> earlier : partition.recent) {
                if (earlier.getKey().equals(id)) {
                    return earlier.getValue();
                }
            }
            if (epoch < partition.epoch) {
                return Answer.json(409, reason("fenced"));
            }
            if (epoch == partition.epoch && sequence != partition.sequence + 1) {
                return Answer.json(409, reason("seq").put("sequence", partition.sequence + 1));
            }
        }
        int end = partition.log.size();
        if (query.containsKey("at") && Long.parseLong(query.get("at")) != end) {
            return Answer.json(412, JsonServer.JSON.createObjectNode().put("end_offset", end));
        }
        for (ByteBuffer records = ByteBuffer.wrap(body); records.hasRemaining(); ) {
            byte[] content = new byte[records.getInt()];
            records.get(content);
            add(name, content);
        }
        Answer answer = Answer.json(
                200, JsonServer.JSON.createObjectNode().put("offset", end).put("end_offset", partition.log.size()));
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

    private static ObjectNode reason(String text) {
        return JsonServer.JSON.createObjectNode().put("reason", text);
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

    private synchronized Answer read(String name, Map<String, String> query) throws InterruptedException {
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
        out.writeBytes(ByteBuffer.allocate(2 * Long.BYTES)
                .putLong(partition.log.size())
                .putLong(0)
                .array());
        for (int i = from; i < partition.log.size() && (i == from || out.size() < maxBytes); i++) {
            byte[] content = partition.log.get(i);
            out.writeBytes(
                    ByteBuffer.allocate(Integer.BYTES).putInt(content.length).array());
            out.writeBytes(content);
        }
        return new Answer(200, out.toByteArray());
    }

    /** All keys fit one page here. */
    private synchronized Answer newest(String name, String after) {
        Partition partition = partition(name);
        ObjectNode answer = JsonServer.JSON.createObjectNode();
        ArrayNode items = answer.putArray("items");
        partition
                .newest
                .tailMap(after, false)
                .forEach((key, keyed) -> items.addObject()
                        .put("key", key)
                        .put("value", Base64.getEncoder().encodeToString(keyed.value()))
                        .put("offset", keyed.offset()));
        answer.put("has_more", false).put("end_offset", partition.log.size());
        return Answer.json(200, answer);
    }
}
