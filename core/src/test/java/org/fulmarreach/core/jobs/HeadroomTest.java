package org.fulmarreach.core.jobs;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertTrue;

/** Short jobs and standing tasks in a pool that has no room for all of them. */
class HeadroomTest {
    private static final long SEED = 11;
    private static final int WORKERS = 30;

    /** Standing tasks request nearly all at the start and more than the pool later; short jobs found no room then. */
    @Test
    void shortJobsAreOnTimeWhileStandingTasksRequestMoreThanThePool() {
        FullPool full = new FullPool(SEED, WORKERS);
        full.submitStanding(0.81);
        full.runTraffic(5, 0.81);
        long fromMs = full.pool.nowMs;
        full.runTraffic(25, 1.15);
        long toMs = full.pool.nowMs;
        full.pool.run(5_000);
        double onTime = full.onTimeShare("short", fromMs, toMs);
        assertTrue(onTime >= 0.95, "short on time " + onTime + ", standing share " + full.standingShare());
    }
}
