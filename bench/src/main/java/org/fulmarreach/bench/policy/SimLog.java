package org.fulmarreach.bench.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.fulmarreach.core.work.LoggedBatch;
import org.fulmarreach.core.work.WorkBatch;

/** In-memory log service with one stream of records per shard; {@link #down} simulates an outage. */
final class SimLog {
    private final Map<String, List<LoggedBatch>> streams = new HashMap<>();
    private long appends;
    boolean down;

    void append(String stream, WorkBatch batch) {
        List<LoggedBatch> records = streams.computeIfAbsent(stream, name -> new ArrayList<>());
        records.add(new LoggedBatch(records.size(), batch));
        appends++;
    }

    List<LoggedBatch> read(String stream, long from) {
        List<LoggedBatch> records = streams.getOrDefault(stream, List.of());
        return from >= records.size() ? List.of() : List.copyOf(records.subList((int) from, records.size()));
    }

    long appends() {
        return appends;
    }
}
