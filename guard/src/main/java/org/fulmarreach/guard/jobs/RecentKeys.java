package org.fulmarreach.guard.jobs;

import java.util.LinkedHashMap;
import java.util.Map;

/** Set of keys that forgets a key some time after it was last added. Not thread-safe. */
final class RecentKeys {
    private final long retentionMs;
    private final Map<String, Long> addedAtMs = new LinkedHashMap<>();

    /**
     * Constructs an empty set.
     *
     * @param retentionMs time after which a key is forgotten, in milliseconds
     */
    RecentKeys(long retentionMs) {
        this.retentionMs = retentionMs;
    }

    /** Adds a key, and forgets those that are too old. */
    void add(String key, long nowMs) {
        addedAtMs.remove(key);
        addedAtMs.put(key, nowMs);
        var oldest = addedAtMs.values().iterator();
        while (oldest.next() < nowMs - retentionMs) {
            oldest.remove();
        }
    }

    boolean contains(String key) {
        return addedAtMs.containsKey(key);
    }

    int size() {
        return addedAtMs.size();
    }

    void clear() {
        addedAtMs.clear();
    }
}
