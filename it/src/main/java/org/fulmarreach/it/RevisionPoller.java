package org.fulmarreach.it;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;

/** Polls the revision of the rules at all entries and notes each that goes back, also across a restart. Thread-safe. */
public final class RevisionPoller implements AutoCloseable {
    private static final long PERIOD_MS = 50;

    private final Http http = new Http();
    private final Map<String, String> operators;
    private final Map<String, Long> highest = new ConcurrentHashMap<>();
    private final ConcurrentLinkedQueue<String> reverts = new ConcurrentLinkedQueue<>();
    private final Thread thread;

    /**
     * Starts to poll.
     *
     * @param operators addresses for operators by the name of the entry
     */
    public RevisionPoller(Map<String, String> operators) {
        this.operators = Map.copyOf(operators);
        this.thread = Thread.ofPlatform().daemon().name("revisions").start(this::poll);
    }

    /** Returns the revisions that went back. */
    public List<String> reverts() {
        return List.copyOf(reverts);
    }

    /** Returns the highest revision seen at an entry, 0 if none. */
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
                Thread.sleep(PERIOD_MS);
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
                note(entry, answer.json().path("revision").asLong());
            }
        } catch (RuntimeException e) {
            // The entry is down at the moment, and shows no rules.
            Thread.yield();
        }
    }

    private void note(String entry, long revision) {
        long before = highest(entry);
        if (revision < before) {
            reverts.add(entry + " went from revision " + before + " to " + revision);
        }
        highest.put(entry, Math.max(before, revision));
    }
}
