package org.fulmarreach.core.work;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Finds out when the earlier leaders of a shard can have no valid grant any more. Not thread-safe; owned by its
 * {@link ShardLeader}.
 */
final class Takeover {
    private static final long ASK_EVERY_MS = 1_000;

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
     * Starts a term.
     *
     * @param term the term
     * @param found earlier leaders that are not known to be settled
     * @param ownId entry id of this leader, which is fenced by its own claim
     */
    void begin(long term, List<Predecessor> found, String ownId, long nowMs) {
        predecessors = found.stream().filter(p -> !ownTerms.contains(p.term())).toList();
        ownTerms.add(term);
        claimedMs = nowMs;
        acknowledgedMs.clear();
        acknowledgedMs.put(ownId, nowMs);
        lastAskedMs = Placement.NEVER;
    }

    /** Forgets the terms of this leader, since another one has led in between. */
    void forgetOwnTerms() {
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

    /** Returns the time at which all earlier leaders are settled, as far as is known now. */
    long findSettledMs() {
        return predecessors.stream().mapToLong(this::findSettledMs).max().orElse(claimedMs);
    }

    /** Returns the witnesses to ask now; empty when it is not time or all have acknowledged. */
    List<String> findWitnessesToAsk(long nowMs) {
        if (nowMs - lastAskedMs < ASK_EVERY_MS) {
            return List.of();
        }
        lastAskedMs = nowMs;
        Set<String> open = new TreeSet<>();
        for (Predecessor predecessor : predecessors) {
            if (!predecessor.resigned()) {
                open.addAll(predecessor.witnesses());
            }
        }
        open.removeAll(acknowledgedMs.keySet());
        return new ArrayList<>(open);
    }

    /**
     * A leader without witnesses needs no confirmation in an outage, so nothing fences it and only the longest wait is
     * safe.
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
