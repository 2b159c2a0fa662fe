package org.fulmarreach.it;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * A fault of the soak run. Immutable.
 *
 * @param atMs when the fault is injected, in milliseconds since the start of the run; later if the previous fault has
 *     not ended
 * @param kind kind of fault
 * @param index index of the affected entry or VM, modulo their number
 * @param durationMs time from the injection until the fault is ended, in milliseconds; connections silenced by {@link
 *     Kind#SILENCE} stay silent
 */
record SoakFault(long atMs, Kind kind, int index, long durationMs) {
    private static final long MIN_DURATION_MS = 1_000;
    private static final long MAX_DURATION_MS = 15_000;

    /** Kind of fault. */
    enum Kind {
        /** An entry is killed and restarted. */
        KILL_ENTRY,
        /** An entry is paused. */
        PAUSE_ENTRY,
        /** All bytes sent to an entry are dropped. */
        CUT_UP,
        /** All bytes sent by an entry are dropped. */
        CUT_DOWN,
        /** The open connections of an entry stay open, but all further bytes on them are dropped. */
        SILENCE,
        /** The store refuses connections. */
        STORE_REFUSE,
        /** The store does not respond to requests. */
        STORE_HANG,
        /** Half of the appends take effect, but get no response. */
        STORE_LOSE_ANSWERS,
        /** A guard is killed and restarted. */
        KILL_GUARD,
        /** A guard is paused. */
        PAUSE_GUARD,
        /** A VM is killed and replaced by a new one. */
        KILL_VM,
        /** A target closes the connection instead of responding to half of the calls. */
        TARGET_LOSE_ANSWERS
    }

    /**
     * Constructs the schedule of faults of a run.
     *
     * @param random source of random numbers; the same sequence results in the same schedule
     * @param runMs duration of the run in milliseconds
     * @param faultsPerMinute mean number of faults per minute
     */
    static List<SoakFault> schedule(RandomGenerator random, long runMs, int faultsPerMinute) {
        List<SoakFault> faults = new ArrayList<>();
        long slotLengthMs = 60_000L / faultsPerMinute;
        Kind[] kinds = Kind.values();
        for (long slotMs = 0; slotMs + slotLengthMs <= runMs; slotMs += slotLengthMs) {
            faults.add(new SoakFault(
                    slotMs + random.nextLong(slotLengthMs),
                    kinds[random.nextInt(kinds.length)],
                    random.nextInt(1_000),
                    random.nextLong(MIN_DURATION_MS, MAX_DURATION_MS)));
        }
        return faults;
    }
}
