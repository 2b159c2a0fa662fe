package org.fulmarreach.it;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * A fault of the soak run. Immutable.
 *
 * @param atMs when it is injected, in milliseconds since the start of the run; later if the one before is not over
 * @param kind what fails
 * @param index which of the entries or VMs; taken modulo their number
 * @param durationMs how long it lasts, if it does not end by itself
 */
record SoakFault(long atMs, Kind kind, int index, long durationMs) {
    private static final long MIN_DURATION_MS = 1_000;
    private static final long MAX_DURATION_MS = 15_000;

    /** What fails. */
    enum Kind {
        /** An entry is killed and started again. */
        KILL_ENTRY,
        /** An entry is paused. */
        PAUSE_ENTRY,
        /** Bytes towards an entry are swallowed. */
        CUT_UP,
        /** Bytes from an entry are swallowed. */
        CUT_DOWN,
        /** The open connections of an entry go silent for ever. */
        SILENCE,
        /** The store refuses connections. */
        STORE_REFUSE,
        /** The store does not answer. */
        STORE_HANG,
        /** Half of the appends take effect without an answer. */
        STORE_LOSE_ANSWERS,
        /** A guard is killed and started again. */
        KILL_GUARD,
        /** A guard is paused. */
        PAUSE_GUARD,
        /** A VM is killed and replaced. */
        KILL_VM,
        /** A target closes connections instead of answering. */
        TARGET_LOSE_ANSWERS
    }

    /**
     * Constructs the schedule of a run.
     *
     * @param random source; the same sequence gives the same schedule
     * @param runMs length of the run
     * @param faultsPerMinute mean number of faults a minute
     */
    static List<SoakFault> schedule(RandomGenerator random, long runMs, int faultsPerMinute) {
        List<SoakFault> faults = new ArrayList<>();
        long stepMs = 60_000L / faultsPerMinute;
        Kind[] kinds = Kind.values();
        for (long slotMs = 0; slotMs + stepMs <= runMs; slotMs += stepMs) {
            faults.add(new SoakFault(
                    slotMs + random.nextLong(stepMs),
                    kinds[random.nextInt(kinds.length)],
                    random.nextInt(1_000),
                    random.nextLong(MIN_DURATION_MS, MAX_DURATION_MS)));
        }
        return faults;
    }
}
