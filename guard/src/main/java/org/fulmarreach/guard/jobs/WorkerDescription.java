package org.fulmarreach.guard.jobs;

import java.util.List;

import org.fulmarreach.core.jobs.WorkerRef;
import org.fulmarreach.core.jobs.WorkerReport;
import org.fulmarreach.core.model.Resources;
import org.fulmarreach.platform.worker.WorkerHeartbeat;

/**
 * What the heartbeats say of the worker. A heartbeat may be late, or come from another writer that names the present
 * lifetime. So one that contradicts those before it counts only if the same is said again, for longer than heartbeats
 * are late, and nothing agrees with what was known meanwhile. Owned by one actor; not thread-safe.
 *
 * <p>Service, zone and labels do not change during a lifetime, and a worker that drains does not become ready again. A
 * start that the worker has no room for, or that it gets while it drains, is worse than none. So draining and less room
 * count at once.
 */
final class WorkerDescription {
    /** Heartbeats that must say the same to replace what was known. */
    private static final int CONTRADICTIONS_TO_REPLACE = 3;

    /** Time from the first to the last of them; about two intervals of heartbeats. */
    private static final long CONTRADICTION_MS = 2_000;

    private WorkerHeartbeat known;
    private WorkerHeartbeat contradiction;
    private int contradictions;
    private long contradictedSinceMs;

    /** What a heartbeat of the lifetime that is described has changed. */
    enum Effect {
        /** Nothing that matters to the leader. */
        NONE,
        /** The worker drains, has other room, or is another one than was believed. */
        CHANGED,
        /** It contradicts what is known and does not count, or not yet. */
        IGNORED
    }

    /** Tells whether a lifetime is described. */
    boolean describes(WorkerRef lifetime) {
        return known != null
                && lifetime != null
                && known.id().equals(lifetime.id())
                && known.startedAtMs() == lifetime.startedAtMs();
    }

    /** Returns what is known, or null before the first heartbeat. */
    WorkerHeartbeat known() {
        return known;
    }

    /** Begins the description of a lifetime. */
    void begin(WorkerHeartbeat first) {
        known = first;
        contradiction = null;
    }

    /** Handles a heartbeat of the lifetime that is described. */
    Effect update(WorkerHeartbeat heartbeat, long nowMs) {
        Resources room = known.capacity().min(heartbeat.capacity());
        boolean newer = heartbeat.sequence() > known.sequence();
        boolean lessRoom = newer && isSameWorker(heartbeat) && !room.equals(known.capacity());
        boolean changed = lessRoom || heartbeat.draining() && !known.draining();
        if (changed) {
            begin(known.withCapacity(lessRoom ? room : known.capacity())
                    .withDraining(known.draining() || heartbeat.draining()));
        }
        if (saysTheSame(heartbeat, known)) {
            begin(known.withSequence(Math.max(known.sequence(), heartbeat.sequence())));
            return changed ? Effect.CHANGED : Effect.NONE;
        }
        if (isContradictedLongEnough(heartbeat, nowMs)) {
            begin(heartbeat);
            return Effect.CHANGED;
        }
        return changed ? Effect.CHANGED : Effect.IGNORED;
    }

    /**
     * Reports a described lifetime that has ended, while there is no heartbeat of the next one yet. Nothing is said
     * about its runs, because the next lifetime may have carried out their starts.
     */
    WorkerReport reportFormer(String guard, long pollNumber) {
        WorkerHeartbeat former = known();
        return new WorkerReport(
                new WorkerRef(guard, former.id(), former.startedAtMs()),
                former.service(),
                former.zone(),
                former.capacity(),
                former.labels(),
                former.draining(),
                false,
                false,
                List.of(),
                List.of(),
                pollNumber);
    }

    private boolean isSameWorker(WorkerHeartbeat heartbeat) {
        return saysTheSame(heartbeat.withCapacity(known.capacity()).withDraining(known.draining()), known);
    }

    private boolean isContradictedLongEnough(WorkerHeartbeat heartbeat, long nowMs) {
        if (contradiction == null || !saysTheSame(heartbeat, contradiction)) {
            contradictions = 0;
            contradictedSinceMs = nowMs;
        } else if (heartbeat.sequence() <= contradiction.sequence()) {
            return false;
        }
        contradiction = heartbeat;
        contradictions++;
        return contradictions >= CONTRADICTIONS_TO_REPLACE && nowMs - contradictedSinceMs >= CONTRADICTION_MS;
    }

    /** Tells whether two heartbeats of one lifetime differ in their numbers at most. */
    private static boolean saysTheSame(WorkerHeartbeat one, WorkerHeartbeat other) {
        return one.withSequence(other.sequence()).equals(other);
    }
}
