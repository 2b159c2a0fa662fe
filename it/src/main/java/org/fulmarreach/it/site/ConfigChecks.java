package org.fulmarreach.it.site;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * An operator who adds a queue every moment, also while the store is away for the entries, and callers who ask each
 * entry for these queues. Finds queues that are denied though their version must be in force, and queues that are
 * denied by a process that has known them. Runs in a thread of its own until {@link #stop}.
 */
final class ConfigChecks {
    /** The platform's {@code config_apply_ms} and {@code stable_window_ms}. */
    private static final int APPLY_MS = 2_500;

    private static final int STABLE_MS = 3_000;
    private static final int CHANGE_INTERVAL_MS = 400;
    private static final int CHECK_INTERVAL_MS = 100;

    /** Queues of older versions are dropped again, so that the configuration stays small. */
    private static final int KEPT_QUEUES = 30;

    private final PlatformSite site;
    private final int entries;
    private final DisruptionLog disruptions;
    private final TreeMap<Integer, Long> confirmedAtMs = new TreeMap<>();
    private final Map<Long, Integer> knownByProcess = new HashMap<>();
    private final List<String> violations = new ArrayList<>();
    private final AtomicBoolean stopped = new AtomicBoolean();
    private Thread thread;
    private int answers;

    ConfigChecks(PlatformSite site, int entries, DisruptionLog disruptions) {
        this.site = site;
        this.entries = entries;
        this.disruptions = disruptions;
    }

    void start() {
        thread = Thread.ofVirtual().start(this::run);
    }

    /** Ends the changes and returns what was found. */
    List<String> stop() throws InterruptedException {
        stopped.set(true);
        thread.join();
        return violations;
    }

    /** Returns how many answers of entries were checked. */
    int answers() {
        return answers;
    }

    private void run() {
        long nextChangeMs = 0;
        while (!stopped.get()) {
            if (System.currentTimeMillis() >= nextChangeMs) {
                nextChangeMs = System.currentTimeMillis() + CHANGE_INTERVAL_MS;
                change();
            }
            for (int entry = 0; entry < entries; entry++) {
                check(entry);
            }
            PlatformSite.sleep(CHECK_INTERVAL_MS);
        }
    }

    private void change() {
        int version = confirmedAtMs.isEmpty() ? PlatformSite.FIRST_VERSION + 1 : confirmedAtMs.lastKey() + 1;
        if (confirmedAtMs.size() >= KEPT_QUEUES) {
            confirmedAtMs.pollFirstEntry();
        }
        List<String> prefixes = new ArrayList<>();
        confirmedAtMs.keySet().forEach(kept -> prefixes.add(prefix(kept)));
        prefixes.add(prefix(version));
        site.publishConfig(version, prefixes);
        confirmedAtMs.put(version, System.currentTimeMillis());
    }

    private void check(int entry) {
        long sentAtMs = System.currentTimeMillis();
        int version = confirmedAtMs.entrySet().stream()
                .filter(confirmed -> confirmed.getValue() <= sentAtMs - APPLY_MS)
                .mapToInt(Map.Entry::getKey)
                .max()
                .orElse(0);
        if (version == 0) {
            return;
        }
        long pid = site.process(site.entryName(entry)).pid();
        boolean stable = disruptions.isQuietSince(sentAtMs - STABLE_MS);
        int status = site.countWaiting(entry, prefix(version));
        boolean sameProcess = pid == site.process(site.entryName(entry)).pid();
        if (status == 200 && sameProcess) {
            answers++;
            knownByProcess.merge(pid, version, Math::max);
        } else if (status == 404) {
            answers++;
            long agoMs = sentAtMs - confirmedAtMs.get(version);
            String what = site.entryName(entry) + " denies the queue of version " + version + ", confirmed " + agoMs
                    + " ms before, at " + (sentAtMs - site.history.beganAtMs()) + " ms";
            if (sameProcess && knownByProcess.getOrDefault(pid, 0) >= version) {
                violations.add("CONFIG went back: " + what);
            } else if (stable) {
                violations.add("CONFIG too late: " + what);
            }
        }
    }

    private static String prefix(int version) {
        return "/version-" + version + "/";
    }
}
