package org.fulmarreach.core.work;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** A simulated log service with outages, partitioned clients and truncation. */
final class FakeLog {
    final List<WorkBatch> records = new ArrayList<>();
    final Set<String> partitionedClients = new HashSet<>();
    int firstRetainedOffset;
    boolean down;

    boolean reaches(String client) {
        return !down && !partitionedClients.contains(client);
    }

    List<LoggedBatch> read(long from) {
        List<LoggedBatch> found = new ArrayList<>();
        for (int i = (int) from; i < records.size(); i++) {
            found.add(new LoggedBatch(i, records.get(i)));
        }
        return found;
    }
}
