package org.fulmarreach.bench.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.HdrHistogram.Histogram;
import org.fulmarreach.core.work.RunKey;

/** What one run of a scenario showed. */
final class Measures {
    private static final long MAX_LATENCY_MS = 600_000;

    /** Latency of calls in milliseconds; a call without an answer by its deadline counts with its deadline. */
    final Histogram latency = new Histogram(MAX_LATENCY_MS, 3);

    /** Latency since the last point of the series. */
    final Histogram recent = new Histogram(MAX_LATENCY_MS, 3);

    final List<Double> p99Series = new ArrayList<>();
    final Map<RunKey, Integer> startsByRun = new HashMap<>();
    final Map<RunKey, Set<String>> vmsByRun = new HashMap<>();
    final Map<RunKey, Long> succeededWallMs = new HashMap<>();
    long offered;
    long inTime;
    long late;
    long refused;
    /** Calls whose last refusal came from a full target, and which could not move; part of the refused ones. */
    long refusedAtGuard;

    long failed;
    /** Time in slots of calls that were answered in time. */
    double usefulSlotMs;
    /** Time in slots of all calls that ended. */
    double slotMs;

    long endedCalls;
    long starts;
    long startsWhileFailing;
    long startsOnFailing;
    long evictions;
    long memoryKills;
    long refusedStarts;
    double overcommittedVmMs;
    double batchCoreMs;
    long standingDownMs;
    int maxCallsOnVm;
    long appends;
    long ownLinkBytes;
    long callLinkBytes;
    long durationMs;

    void recordLatency(long ms) {
        latency.recordValue(ms);
        recent.recordValue(ms);
    }

    void closeSeriesPoint() {
        p99Series.add((double) recent.getValueAtPercentile(99));
        recent.reset();
    }

    void countStart(RunKey key, String vm) {
        starts++;
        startsByRun.merge(key, 1, Integer::sum);
        vmsByRun.computeIfAbsent(key, k -> new HashSet<>()).add(vm);
    }

    double p99Ms() {
        return latency.getValueAtPercentile(99);
    }

    double p50Ms() {
        return latency.getValueAtPercentile(50);
    }

    double p999Ms() {
        return latency.getValueAtPercentile(99.9);
    }

    double inTimePart() {
        return offered == 0 ? 1 : inTime / (double) offered;
    }
}
