package org.fulmarreach.core.work;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** The log service with outages, cut clients, lost answers and truncation. */
final class FakeLog {
    final List<WorkBatch> records = new ArrayList<>();
    final Set<String> cutClients = new HashSet<>();
    int first;
    boolean down;

    boolean reaches(String client) {
        return !down && !cutClients.contains(client);
    }

    List<LoggedBatch> read(long from) {
        List<LoggedBatch> found = new ArrayList<>();
        for (int i = (int) from; i < records.size(); i++) {
            found.add(new LoggedBatch(i, records.get(i)));
        }
        return found;
    }
}
