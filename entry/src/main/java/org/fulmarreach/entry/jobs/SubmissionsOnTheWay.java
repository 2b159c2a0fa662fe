package org.fulmarreach.entry.jobs;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Submissions that this entry has begun to store and that may be stored although no record of them has been read: their
 * append is in flight, was forwarded, or has had no answer. None of them may be refused for lack of room, since the
 * caller would be told that the job never runs. Confined to one actor.
 */
final class SubmissionsOnTheWay {
    /** The store may execute an append without an answer late; far longer than it needs when it is slow. */
    private static final long UNDECIDED_MS = 60_000;

    /** Bounds the memory, 100 bytes each; beyond it every submission counts as on its way. */
    private static final int MAX_UNDECIDED = 10_000;

    private final Map<String, Integer> inFlight = new HashMap<>();
    private final Map<String, Long> undecidedUntilMs = new LinkedHashMap<>();

    /** Records that an append of a submission begins. */
    void begin(String jobId) {
        inFlight.merge(jobId, 1, Integer::sum);
    }

    /** Records the outcome of an append that was begun. */
    void end(String jobId, WriteOutcome outcome, long nowMs) {
        inFlight.computeIfPresent(jobId, (id, count) -> count == 1 ? null : (Integer) (count - 1));
        if (outcome instanceof WriteOutcome.Undecided) {
            // Removed first, so that the map stays in the order of the times.
            undecidedUntilMs.remove(jobId);
            undecidedUntilMs.put(jobId, nowMs + UNDECIDED_MS);
        }
    }

    /** Tells whether a submission may be stored without being known. */
    boolean contains(String jobId, long nowMs) {
        Iterator<Long> ends = undecidedUntilMs.values().iterator();
        while (ends.hasNext() && ends.next() <= nowMs) {
            ends.remove();
        }
        return inFlight.containsKey(jobId)
                || undecidedUntilMs.containsKey(jobId)
                || undecidedUntilMs.size() >= MAX_UNDECIDED;
    }
}
