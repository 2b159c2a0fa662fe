package org.fulmarreach.guard.jobs;

import org.fulmarreach.core.jobs.WorkerRef;
import org.fulmarreach.platform.worker.WorkerHeartbeat;

/**
 * What the heartbeats say of the worker. A heartbeat may be late or come from another writer that names the present
 * lifetime. So one that contradicts those before it counts only if more follow without one that agrees. Owned by one
 * actor; not thread-safe.
 *
 * <p>Service, zone, room and labels do not change during a lifetime, and a worker that drains does not become ready
 * again. A start on a worker that drains is worse than none on one that is ready, so draining counts at once.
 */
final class WorkerDescription {
    /** Contradicting heartbeats in a row that replace what was known. */
    private static final int CONTRADICTIONS_TO_REPLACE = 3;

    private WorkerHeartbeat known;
    private long lastContradiction;
    private int contradictions;

    /** What a heartbeat of the lifetime that is described has changed. */
    enum Effect {
        /** Nothing that matters to the leader. */
        NONE,
        /** The worker drains, or is another one than was believed. */
        CHANGED,
        /** It is older than the newest one, or contradicts it, and does not count. */
        IGNORED
    }

    /** Tells whether a lifetime is described. */
    boolean describes(WorkerRef lifetime) {
        return known != null
                && lifetime != null
                && known.id().equals(lifetime.id())
                && known.startedAtMs() == lifetime.startedAtMs();
    }

    /** Returns the heartbeat that counts, or null before the first. */
    WorkerHeartbeat known() {
        return known;
    }

    /** Begins the description of a lifetime. */
    void begin(WorkerHeartbeat first) {
        known = first;
        contradictions = 0;
    }

    /** Handles a heartbeat of the lifetime that is described. */
    Effect update(WorkerHeartbeat heartbeat) {
        boolean sameWorker = heartbeat
                .withDraining(known.draining())
                .withSequence(known.sequence())
                .equals(known);
        boolean newer = heartbeat.sequence() > known.sequence();
        if (sameWorker && newer && (heartbeat.draining() || !known.draining())) {
            boolean changed = heartbeat.draining() != known.draining();
            begin(heartbeat);
            return changed ? Effect.CHANGED : Effect.NONE;
        }
        if (heartbeat.draining() && !known.draining()) {
            begin(known.withDraining(true));
            return Effect.CHANGED;
        }
        contradictions = contradictions > 0 && heartbeat.sequence() > lastContradiction ? contradictions + 1 : 1;
        lastContradiction = heartbeat.sequence();
        if (contradictions < CONTRADICTIONS_TO_REPLACE) {
            return Effect.IGNORED;
        }
        begin(heartbeat);
        return Effect.CHANGED;
    }
}
