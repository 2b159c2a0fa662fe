package org.fulmarreach.entry.guards;

import java.util.concurrent.atomic.AtomicInteger;

import org.fulmarreach.entry.calls.CallRouter;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;

/** Gauges of pending calls, queued calls and guards, with their limits. Updated by {@link DirectoryActor}. */
final class CallGauges {
    private final AtomicInteger pending = new AtomicInteger();
    private final AtomicInteger queued = new AtomicInteger();
    private final AtomicInteger guards = new AtomicInteger();

    CallGauges(MeterRegistry meters, DirectorySettings settings) {
        meters.gauge("fulmarreach.entry.calls.pending", pending);
        registerLimit(meters, "fulmarreach.entry.calls.pending.limit", CallRouter.MAX_PENDING);
        meters.gauge("fulmarreach.entry.calls.queued", queued);
        registerLimit(meters, "fulmarreach.entry.calls.queued.limit.per.service", settings.maxQueuedCalls());
        meters.gauge("fulmarreach.entry.guards", guards);
        registerLimit(meters, "fulmarreach.entry.guards.limit", GuardDirectory.MAX_GUARDS);
    }

    private static void registerLimit(MeterRegistry meters, String name, int limit) {
        Gauge.builder(name, () -> limit).register(meters);
    }

    void update(int pendingCalls, int queuedCalls, int connectedGuards) {
        pending.set(pendingCalls);
        queued.set(queuedCalls);
        guards.set(connectedGuards);
    }
}
