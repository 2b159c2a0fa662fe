package org.fulmarreach.core.jobs;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;

import org.fulmarreach.core.jobs.DecisionLog.Decision;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against log lines on colocation whose number grows with the pool, and against their absence. */
class ColocationMonitorTest {
    private static final int SECONDS = 20;
    private static final int MAX_LOADS_PER_SECOND = 20;

    @Test
    void linesAreBoundedInALargePool() {
        LargePool large = new LargePool(1, 2 * LargePool.WORKERS, 0.25);
        Map<Decision, Integer> counts = new EnumMap<>(Decision.class);
        large.pool.observer = (decision, subject, fields) -> counts.merge(decision, 1, Integer::sum);
        large.submitStandingJobs();
        large.runTraffic(SECONDS);
        int loads = counts.getOrDefault(Decision.BEST_EFFORT_LOAD, 0);
        int learned = counts.getOrDefault(Decision.INTERFERENCE_LEARNED, 0);
        assertTrue(loads > 0 && loads <= (SECONDS + 1) * MAX_LOADS_PER_SECOND, () -> "load lines " + loads);
        assertTrue(learned > 0 && learned <= 2 * LargePool.SERVING_IMAGES, () -> "lines on images " + learned);
    }

    /** The fields that tell lack of processors from interference. */
    @Test
    void loadOfAWorkerShowsWhatIsAllowedAndUsed() {
        LargePool large = new LargePool(1, 6, 0.25);
        int[] complete = new int[1];
        large.pool.observer = (decision, subject, fields) -> {
            List<Object> names = List.of(fields);
            complete[0] += decision == Decision.BEST_EFFORT_LOAD
                            && names.contains("allowedMilliCores")
                            && names.contains("usedMilliCores")
                            && (long) fields[names.indexOf("usedMilliCores") + 1] > 0
                    ? 1
                    : 0;
        };
        large.submitStandingJobs();
        large.runTraffic(SECONDS);
        assertTrue(complete[0] > 0);
    }
}
