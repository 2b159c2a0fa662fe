package org.fulmarreach.core.jobs;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Withholds leases from guards that are silent, and bounds those that they still have. The bounds are stored, so that
 * the next leader waits for what is left of a lease, not for all that this leader could have granted. In return a guard
 * in the record gets no lease until a record without it is stored. Not thread-safe.
 */
final class LeaseWithholder {
    private final JobTimeLimits limits;
    private final Set<String> inherited;

    /** Guards that have asked for a lease while it was withheld from them. */
    private final Set<String> requested = new HashSet<>();

    /** Guards in the record that is stored. */
    private Set<String> stored = Set.of();

    /** Guards in the record that is being written, which may be stored already. */
    private Set<String> inFlight = Set.of();

    /**
     * Constructs the withholder of a new term.
     *
     * @param inherited guards from which the former leader withheld leases
     */
    LeaseWithholder(JobTimeLimits limits, Set<String> inherited) {
        this.limits = limits;
        this.inherited = Set.copyOf(inherited);
    }

    /** Asks for a lease; returns whether the guard may get one now. If not, the next record will be one without it. */
    boolean request(String guard) {
        if (!withholds(guard)) {
            return true;
        }
        requested.add(guard);
        return false;
    }

    /** Tells whether leases are withheld from a guard. */
    boolean withholds(String guard) {
        return stored.contains(guard) || inFlight.contains(guard);
    }

    /**
     * Returns the record to store next, if another one is needed: bounds in milliseconds, by guard, on the leases of
     * the workers that have runs. It counts as in flight until {@link #onStored}.
     *
     * @param mayWithholdMore whether leases may be withheld from further guards; if not, only requests are considered
     */
    Optional<Map<String, Long>> takeRecord(Collection<WorkerView> workers, boolean mayWithholdMore, long nowMs) {
        Map<String, Long> bounds = new HashMap<>();
        for (WorkerView worker : workers) {
            boolean considered = mayWithholdMore || stored.contains(worker.guard());
            boolean silent = considered && worker.isSilent(inherited.contains(worker.guard()), nowMs);
            if (silent && !requested.contains(worker.guard())) {
                putBound(worker, nowMs, bounds);
            }
        }
        boolean withholdsMore = !stored.containsAll(bounds.keySet());
        boolean withholdsLess = stored.stream().anyMatch(requested::contains);
        if (!withholdsMore && !withholdsLess) {
            return Optional.empty();
        }
        inFlight = Set.copyOf(bounds.keySet());
        return Optional.of(bounds);
    }

    /** Returns the bounds on the leases of all workers that have runs, for a leader that grants none any more. */
    Map<String, Long> findBounds(Collection<WorkerView> workers, long nowMs) {
        Map<String, Long> bounds = new HashMap<>();
        workers.forEach(worker -> putBound(worker, nowMs, bounds));
        return bounds;
    }

    private void putBound(WorkerView worker, long nowMs, Map<String, Long> bounds) {
        long remainingMs = worker.grantedAtMs() + limits.leaseExpiryMs() - nowMs;
        if (!worker.assigned().isEmpty() && remainingMs > 0) {
            bounds.put(worker.guard(), remainingMs);
        }
    }

    /** Records that the last record is stored; returns the guards that have asked for a lease and may get one now. */
    Set<String> onStored() {
        stored = inFlight;
        inFlight = Set.of();
        Set<String> admitted = new HashSet<>(requested);
        admitted.removeAll(stored);
        requested.removeAll(admitted);
        return admitted;
    }
}
