package org.fulmarreach.core.jobs;

import java.util.HashSet;
import java.util.Random;
import java.util.Set;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** The usual load on 11 workers while a tenth of the small jobs crash the workers that start them, for 10 s. */
class CrashLoadTest {
    private static final int SEEDS = 4;
    private static final long FROM_MS = 1_007_000;
    private static final long TO_MS = 1_017_000;
    private static final int MAX_CRASHES_PER_TASK = 4;

    /**
     * Guards against tasks that are started for ever, and against others that are given up or starve with them. Batch
     * jobs may still run at the end, where their image interferes on most workers.
     */
    @Test
    void tasksThatCrashTheirWorkersAreGivenUpAndOthersCompleted() {
        int crashes = 0;
        int lostRuns = 0;
        int deadly = 0;
        double onTime = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            Set<String> deadlyJobs = new HashSet<>();
            Random random = new Random(seed);
            ColocationLoadTest load = new ColocationLoadTest();
            load.beforeEachSubmission((pool, id) -> {
                if (id.startsWith("basket") && pool.nowMs >= FROM_MS && pool.nowMs < TO_MS && random.nextInt(10) == 0) {
                    deadlyJobs.add(id);
                    pool.deadlyTasks.add(id + ".0.0.0");
                }
            });
            PoolEmulator pool = load.simulate(seed, 0.25, 1.7);
            pool.run(30_000);
            crashes += pool.crashes();
            lostRuns += pool.innocentRunsLost();
            deadly += deadlyJobs.size();
            onTime += load.onTimeShare(pool, "basket") / SEEDS;
            for (Job job : pool.registry.jobs()) {
                String reason = "seed " + seed + ", job " + job.spec().id();
                if (deadlyJobs.contains(job.spec().id())) {
                    assertEquals(JobStatus.FAILED, job.acknowledgedStatus(), reason);
                } else if (job.spec().id().startsWith("basket")) {
                    assertEquals(JobStatus.COMPLETED, job.acknowledgedStatus(), reason);
                } else {
                    assertNotEquals(JobStatus.FAILED, job.acknowledgedStatus(), reason);
                }
            }
        }
        String seen = "tasks " + deadly + ", crashes " + crashes + ", other runs lost " + lostRuns
                + ", small jobs on time " + onTime;
        System.out.println(seen);
        assertTrue(crashes <= MAX_CRASHES_PER_TASK * deadly, seen);
    }
}
