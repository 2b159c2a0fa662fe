package org.fulmarreach.guard.jobs;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Selects where a guard looks for the leader next: first at the address of the last hint, then alternately in the store
 * and at a random known entry. Not thread-safe.
 */
final class LeaderFinder {
    private static final int FIRST_RETRY_DELAY_MS = 20;
    private static final int MIN_RETRY_DELAY_MS = 150;
    private static final int RETRY_JITTER_MS = 150;

    private final List<String> entries;
    private final Random random;
    private String hint = "";
    private int attempts;

    /**
     * Constructs a finder.
     *
     * @param entries {@code host:port} of entries; may be stale
     * @param random source of the jitter of delays and of the choice of entries
     */
    LeaderFinder(List<String> entries, Random random) {
        this.entries = new ArrayList<>(entries);
        this.random = random;
    }

    /** Sets the address to try first, as named by an entry or the store. */
    void setHint(String address) {
        hint = address;
    }

    /** Resets the number of attempts after a session has ended; a hint is kept. */
    void resetAttempts() {
        attempts = 0;
    }

    /** Tells whether the next address is one that was named as the leader's. */
    boolean hasHint() {
        return !hint.isEmpty();
    }

    /** Returns the address to try next; empty if the store is to be asked. */
    String nextAddress() {
        attempts++;
        if (!hint.isEmpty()) {
            String address = hint;
            hint = "";
            return address;
        }
        boolean askStore = attempts % 2 == 1 || entries.isEmpty();
        return askStore ? "" : entries.get(random.nextInt(entries.size()));
    }

    /** Returns the delay before the next attempt, in milliseconds. */
    int retryDelayMs() {
        return attempts <= 1 || !hint.isEmpty()
                ? FIRST_RETRY_DELAY_MS
                : MIN_RETRY_DELAY_MS + random.nextInt(RETRY_JITTER_MS);
    }
}
