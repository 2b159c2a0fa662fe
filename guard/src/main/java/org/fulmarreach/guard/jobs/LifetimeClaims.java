package org.fulmarreach.guard.jobs;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

import org.fulmarreach.platform.worker.WorkerHeartbeat;

/**
 * Heartbeats of lifetimes that the worker has not confirmed. A heartbeat may be late or come from another writer, so a
 * lifetime counts only once an answer to a poll names it. Any other lifetime that answers a poll, sent after the
 * heartbeat came, refutes it. Owned by one actor; not thread-safe.
 */
final class LifetimeClaims {
    /** Bounds the memory if other writers send heartbeats while nothing answers; the oldest claim makes room. */
    private static final int MAX_CLAIMS = 8;

    private final Map<Lifetime, Claim> claims = new LinkedHashMap<>();

    private record Lifetime(String id, long startedAtMs) {}

    private record Claim(WorkerHeartbeat heartbeat, long lastPoll) {}

    /**
     * Adds the heartbeat of a lifetime.
     *
     * @param lastPoll number of the last poll that was sent before it came
     */
    void add(WorkerHeartbeat heartbeat, long lastPoll) {
        Lifetime lifetime = new Lifetime(heartbeat.id(), heartbeat.startedAtMs());
        Claim before = claims.get(lifetime);
        if (before == null) {
            claims.put(lifetime, new Claim(heartbeat, lastPoll));
        } else {
            WorkerHeartbeat newer =
                    before.heartbeat().sequence() < heartbeat.sequence() ? heartbeat : before.heartbeat();
            // A worker that drains does not become ready again.
            boolean draining = before.heartbeat().draining() || heartbeat.draining();
            claims.put(lifetime, new Claim(newer.withDraining(draining), before.lastPoll()));
        }
        if (claims.size() > MAX_CLAIMS) {
            claims.remove(claims.keySet().iterator().next());
        }
    }

    boolean contains(String id, long startedAtMs) {
        return claims.containsKey(new Lifetime(id, startedAtMs));
    }

    boolean isEmpty() {
        return claims.isEmpty();
    }

    /** Returns the id of the worker that the next poll should name; empty if there is no claim. */
    String nextId() {
        return claims.isEmpty() ? "" : claims.keySet().iterator().next().id();
    }

    /** Removes and returns the heartbeat of a lifetime that has answered; empty if none has come yet. */
    Optional<WorkerHeartbeat> take(String id, long startedAtMs) {
        return Optional.ofNullable(claims.remove(new Lifetime(id, startedAtMs))).map(Claim::heartbeat);
    }

    /** Removes and returns what came before a poll that another lifetime has answered. */
    List<WorkerHeartbeat> takeRefuted(long poll) {
        return take(claim -> claim.lastPoll() < poll);
    }

    /** Removes and returns what came before a poll that the worker of this id should have answered. */
    List<WorkerHeartbeat> takeRefuted(String id, long poll) {
        return take(claim -> claim.lastPoll() < poll && claim.heartbeat().id().equals(id));
    }

    private List<WorkerHeartbeat> take(Predicate<Claim> condition) {
        List<WorkerHeartbeat> taken = new ArrayList<>();
        for (Iterator<Claim> each = claims.values().iterator(); each.hasNext(); ) {
            Claim claim = each.next();
            if (condition.test(claim)) {
                taken.add(claim.heartbeat());
                each.remove();
            }
        }
        return taken;
    }
}
