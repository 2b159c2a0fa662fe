package org.fulmarreach.standin;

import java.io.PrintStream;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;

/** Events of one stand-in in chronological order, with wall-clock times; also printed as JSON lines. Thread-safe. */
final class Journal {
    /** Limits the memory; when it is exceeded, the oldest entry is dropped and counted. */
    private static final int MAX_ENTRIES = 20_000;

    private final String source;
    private final PrintStream out;
    private final Deque<Map<String, Object>> entries = new ArrayDeque<>();
    private long dropped;

    /** Constructs a journal; {@code out} may be null to print nothing. */
    Journal(String source, PrintStream out) {
        this.source = source;
        this.out = out;
    }

    /** Adds an event; {@code fields} holds alternating field names and values. */
    synchronized void add(String event, Object... fields) {
        Map<String, Object> entry = new LinkedHashMap<>();
        entry.put("wallMs", System.currentTimeMillis());
        entry.put("source", source);
        entry.put("event", event);
        for (int i = 0; i < fields.length; i += 2) {
            entry.put((String) fields[i], fields[i + 1]);
        }
        entries.add(entry);
        if (entries.size() > MAX_ENTRIES) {
            entries.remove();
            dropped++;
        }
        if (out != null) {
            out.println(line(entry));
        }
    }

    synchronized Map<String, Object> snapshot() {
        List<Map<String, Object>> copy = new ArrayList<>(entries);
        return Map.of("entries", copy, "dropped", dropped);
    }

    /** Returns {@code object} as JSON on one line. */
    static String line(Object object) {
        try {
            return StandInServer.JSON.writeValueAsString(object);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException(e);
        }
    }
}
