package org.fulmarreach.it;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * Polls the revision of the rules at all entries and records each decrease, including one across a restart of an entry.
 * Thread-safe.
 */
public final class RevisionPoller implements AutoCloseable {
    private static final long POLL_MS = 50;

    private final Http http = new Http();
    private final Map<String, String> operators;
    private final Map<String, Long> highest = new ConcurrentHashMap<>();
    private final ConcurrentLinkedQueue<String> regressions = new ConcurrentLinkedQueue<>();
    private final Thread thread;

    /**
     * Starts polling.
     *
     * @param operators addresses of the entries for operators, by the name of the entry
     */
    public RevisionPoller(Map<String, String> operators) {
        this.operators = Map.copyOf(operators);
        this.thread = Thread.ofPlatform().daemon().name("revisions").start(this::poll);
    }

    /** Returns a description of each decrease of a revision. */
    public List<String> regressions() {
        return List.copyOf(regressions);
    }

    /** Returns the highest revision seen at an entry; 0 if none was seen. */
    public long highest(String entry) {
        return highest.getOrDefault(entry, 0L);
    }

    @Override
    public void close() {
        thread.interrupt();
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void poll() {
        while (!Thread.currentThread().isInterrupted()) {
            operators.forEach(this::pollEntry);
            try {
                Thread.sleep(POLL_MS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void pollEntry(String entry, String operator) {
        if (Thread.currentThread().isInterrupted()) {
            return;
        }
        try {
            Http.Answer answer = http.get(operator, "/v1/rules");
            if (answer.status() == 200) {
                recordRevision(entry, answer.json().path("revision").asLong());
            }
        } catch (RuntimeException e) {
            // The entry is down; it is polled again in the next period.
            Thread.yield();
        }
    }

    private void recordRevision(String entry, long revision) {
        long before = highest(entry);
        if (revision < before) {
            regressions.add(entry + " went back from revision " + before + " to " + revision);
        }
        highest.put(entry, Math.max(before, revision));
    }
}
