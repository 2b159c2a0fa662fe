package org.fulmarreach.core.jobs;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import java.util.stream.LongStream;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Load of a pool in which half of the pairs of images interfere strongly and the load of each standing job swings by
 * half within ten seconds, as on the order service's days with changes of the leader. Guards against swings of the load
 * that are taken for interference: best-effort tasks were placed beside serving tasks that they disturb, and kept away
 * from others.
 */
class StrongPairsLoadTest {
    private static final int SEEDS = 16;
    private static final double INTERFERING_SHARE = 0.5;
    private static final double INTERFERENCE_FACTOR = 1.3;

    /** Part of the batch work served with known factors that must be served with learned ones. */
    private static final double REQUIRED_SHARE = 0.9;

    /** Benefit of a late result, as a share of that of one on time. */
    private static final double LATE_SHARE = 0.15;

    private static final int LATE_FACTOR = 3;
    private static final int POWER_LOSS_S = 20;
    private static final int POWER_LOSS_MS = 4_000;

    @Test
    void learnedFactorsServeAsMuchBatchWorkAsKnownOnes() {
        requireShareOfKnown(load -> {});
    }

    @Test
    void learnedFactorsServeAsMuchBatchWorkAsKnownOnesAfterALossOfPower() {
        requireShareOfKnown(load -> load.at(POWER_LOSS_S, pool -> pool.losePower(POWER_LOSS_MS)));
    }

    private static void requireShareOfKnown(Consumer<ColocationLoadTest> events) {
        double known = served(events, true);
        double learned = served(events, false);
        assertTrue(
                learned >= REQUIRED_SHARE * known,
                () -> "batch work served with learned factors " + learned + ", with known ones " + known);
    }

    /** Returns the mean benefit of batch jobs over the seeds, as a share of the highest possible one. */
    private static double served(Consumer<ColocationLoadTest> events, boolean tellsFactors) {
        return LongStream.rangeClosed(1, SEEDS)
                .mapToDouble(seed -> {
                    ColocationLoadTest load = new ColocationLoadTest();
                    load.prepare(pool -> {
                        pool.loadsByJob = true;
                        pool.tellsFactors = tellsFactors;
                        pool.workers.values().forEach(worker -> worker.reportsMeans = true);
                    });
                    events.accept(load);
                    PoolEmulator pool = load.simulate(seed, INTERFERING_SHARE, INTERFERENCE_FACTOR);
                    assertEquals(List.of(), pool.overTargetTooLong, "serving tasks over target for 4 s, seed " + seed);
                    return benefit(load, pool);
                })
                .average()
                .orElseThrow();
    }

    private static double benefit(ColocationLoadTest load, PoolEmulator pool) {
        Map<String, Double> work = load.submitted.get("batch").stream()
                .collect(Collectors.toMap(
                        id -> id,
                        id -> pool.registry.find(id).orElseThrow().tasks().stream()
                                .mapToDouble(task -> (double) pool.workMs(task.name(), task.step())
                                        * task.step().demand().milliCores())
                                .sum()));
        double served = 0;
        for (Map.Entry<String, Double> each : work.entrySet()) {
            long targetMs = ColocationLoadTest.batchTargetMs(pool, each.getKey());
            long latencyMs = pool.latencyMs(each.getKey());
            if (latencyMs >= 0 && latencyMs <= LATE_FACTOR * targetMs) {
                served += each.getValue() * (latencyMs <= targetMs ? 1 : LATE_SHARE);
            }
        }
        return served / work.values().stream().mapToDouble(Double::doubleValue).sum();
    }
}
