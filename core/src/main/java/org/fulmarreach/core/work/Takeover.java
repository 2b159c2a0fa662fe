package org.fulmarreach.core.work;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Determines when the earlier leaders of a shard are settled, that is, when none of their grants can be valid and none
 * of their executions can still run. Not thread-safe; owned by its
 * {@link ShardLeader}.
 */
final class Takeover {
    private static final long ASK_INTERVAL_MS = 1_000;

    private final WorkTimes times;
    private final Set<Long> ownTerms = new HashSet<>();
    private final Map<String, Long> acknowledgedMs = new HashMap<>();
    private List<Predecessor> predecessors = List.of();
    private long claimedMs;
    private long lastAskedMs = Placement.NEVER;

    Takeover(WorkTimes times) {
        this.times = times;
    }

    /**
     * Starts a term of this entry.
     *
     * @param term the new term
     * @param earlierLeaders earlier leaders that are not known to be settled
     * @param ownId entry id of this leader; as a witness it is fenced by its own claim
     */
    void begin(long term, List<Predecessor> earlierLeaders, String ownId, long nowMs) {
        predecessors = earlierLeaders.stream()
                .filter(p -> !ownTerms.contains(p.term()))
                .toList();
        ownTerms.add(term);
        claimedMs = nowMs;
        acknowledgedMs.clear();
        acknowledgedMs.put(ownId, nowMs);
        lastAskedMs = Placement.NEVER;
    }

    /** Clears the terms of this leader after it was deposed, because another entry may lead in between. */
    void clearOwnTerms() {
        ownTerms.clear();
    }

    void acknowledge(String witness, long nowMs) {
        acknowledgedMs.putIfAbsent(witness, nowMs);
    }

    boolean isSettled(long nowMs) {
        for (Predecessor predecessor : predecessors) {
            if (nowMs < findSettledMs(predecessor)) {
                return false;
            }
        }
        return true;
    }

    /** Returns the time at which all earlier leaders are settled, according to the acknowledgements received so far. */
    long findSettledMs() {
        return predecessors.stream().mapToLong(this::findSettledMs).max().orElse(claimedMs);
    }

    /**
     * Returns the witnesses to ask now and records the time; empty if asking is not due or all witnesses have
     * acknowledged.
     */
    List<String> takeWitnessesToAsk(long nowMs) {
        if (nowMs - lastAskedMs < ASK_INTERVAL_MS) {
            return List.of();
        }
        lastAskedMs = nowMs;
        Set<String> unacknowledged = new TreeSet<>();
        for (Predecessor predecessor : predecessors) {
            if (!predecessor.resigned()) {
                unacknowledged.addAll(predecessor.witnesses());
            }
        }
        unacknowledged.removeAll(acknowledgedMs.keySet());
        return new ArrayList<>(unacknowledged);
    }

    /**
     * Returns when a predecessor is settled. A leader without witnesses needs no confirmation during an outage, so it
     * cannot be fenced and only the longest wait is safe.
     */
    private long findSettledMs(Predecessor predecessor) {
        if (predecessor.resigned()) {
            return claimedMs + times.ownWaitMs();
        }
        if (predecessor.witnesses().isEmpty() || !acknowledgedMs.keySet().containsAll(predecessor.witnesses())) {
            return claimedMs + times.unfencedWaitMs();
        }
        long fencedMs = claimedMs;
        for (String witness : predecessor.witnesses()) {
            fencedMs = Math.max(fencedMs, acknowledgedMs.get(witness));
        }
        return fencedMs + times.fencedWaitMs();
    }
}
