package org.fulmarreach.guard.jobs;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Chooses where a guard looks for the leader: first where it was told, then in turn in the store and at the entries
 * that it knows. Not thread-safe.
 */
final class LeaderFinder {
    private static final int FIRST_PAUSE_MS = 20;
    private static final int MIN_PAUSE_MS = 150;
    private static final int PAUSE_SPREAD_MS = 150;

    private final List<String> entries;
    private final Random random;
    private String told = "";
    private int attempts;

    /**
     * Constructs a finder.
     *
     * @param entries {@code host:port} of entries; may be stale
     * @param random spreads guards over time and entries
     */
    LeaderFinder(List<String> entries, Random random) {
        this.entries = new ArrayList<>(entries);
        this.random = random;
    }

    /** Notes an address at which the leader is said to be. */
    void tell(String address) {
        told = address;
    }

    /** Starts over after a session has ended; an address that was told since stays. */
    void restart() {
        attempts = 0;
    }

    /** Returns the address to try next; empty to ask the store. */
    String next() {
        attempts++;
        if (!told.isEmpty()) {
            String address = told;
            told = "";
            return address;
        }
        boolean askStore = attempts % 2 == 1 || entries.isEmpty();
        return askStore ? "" : entries.get(random.nextInt(entries.size()));
    }

    /** Returns the pause before the next attempt, in milliseconds. */
    int pauseMs() {
        return attempts <= 1 || !told.isEmpty() ? FIRST_PAUSE_MS : MIN_PAUSE_MS + random.nextInt(PAUSE_SPREAD_MS);
    }
}
