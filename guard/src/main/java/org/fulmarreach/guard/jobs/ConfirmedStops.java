package org.fulmarreach.guard.jobs;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.fulmarreach.protocol.thrift.OrderOutcome;

/**
 * Stops that the worker has confirmed and whose runs it does not list as ended yet. Each report repeats them, since the
 * leader that ordered a stop may be replaced before it has stored the confirmation, and the worker may leave before it
 * lists the end. Not thread-safe.
 */
final class ConfirmedStops {
    /** Longer than a new leader waits without a confirmation. */
    private static final long RETENTION_MS = 15_000;

    private final Map<String, Confirmed> byRun = new LinkedHashMap<>();

    private record Confirmed(OrderOutcome outcome, long confirmedAtMs) {}

    /** Adds a stop with its outcome; one that was confirmed before stays as it is. */
    void add(WorkerOrder stop, String outcome, long nowMs) {
        byRun.putIfAbsent(stop.key(), new Confirmed(new OrderOutcome(stop.task(), stop.run(), false, outcome), nowMs));
    }

    /** Removes a run, by its key, whose end the worker lists. */
    void remove(String key) {
        byRun.remove(key);
    }

    /** Forgets all stops, because the worker was restarted. */
    void clear() {
        byRun.clear();
    }

    /** Returns the outcomes to report, without those that are too old to matter. */
    List<OrderOutcome> outcomes(long nowMs) {
        byRun.values().removeIf(confirmed -> nowMs - confirmed.confirmedAtMs() > RETENTION_MS);
        return byRun.values().stream().map(Confirmed::outcome).toList();
    }
}
