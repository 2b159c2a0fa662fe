package org.fulmarreach.bench.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.HdrHistogram.Histogram;
import org.fulmarreach.core.work.RunKey;

/** Counters and latency histograms of one run of a scenario. */
final class Measures {
    private static final long MAX_LATENCY_MS = 600_000;

    /** Latency of calls in milliseconds; an answer after the deadline is recorded with the deadline. */
    final Histogram latency = new Histogram(MAX_LATENCY_MS, 3);

    /** Latency since the last point of {@link #p99Series}. */
    final Histogram latencySinceLastPoint = new Histogram(MAX_LATENCY_MS, 3);

    final List<Double> p99Series = new ArrayList<>();
    final Map<RunKey, Integer> startsByRun = new HashMap<>();
    final Map<RunKey, Set<String>> vmsByRun = new HashMap<>();
    final Map<RunKey, Long> succeededWallMs = new HashMap<>();
    long offered;
    long inTime;
    long late;
    long refused;
    /** Calls refused by a guard without a free slot and not retried elsewhere; included in {@link #refused}. */
    long refusedAtGuard;

    long failed;
    /** Slot time of calls answered by their deadline. */
    double usefulSlotMs;
    /** Slot time of all calls that ended. */
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
    long internalLinkBytes;
    long callLinkBytes;
    long durationMs;

    void recordLatency(long ms) {
        latency.recordValue(ms);
        latencySinceLastPoint.recordValue(ms);
    }

    void addP99Point() {
        p99Series.add((double) latencySinceLastPoint.getValueAtPercentile(99));
        latencySinceLastPoint.reset();
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

    double inTimeFraction() {
        return offered == 0 ? 1 : inTime / (double) offered;
    }
}
