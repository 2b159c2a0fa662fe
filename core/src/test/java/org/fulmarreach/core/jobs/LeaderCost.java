package org.fulmarreach.core.jobs;

/**
 * Prints the processor time that the leader's scheduling takes per emulated second, for pools of several sizes, at the
 * usual rate and in a burst of batch jobs. Run manually; the first pool only warms up the JVM.
 */
final class LeaderCost {
    private static final int SECONDS = 30;
    private static final long SEED = 5;
    private static final double SPREAD = 0.25;
    private static final int[] SIZES = {11, 36, 72};
    private static final double[] BURSTS = {1, 2};

    private LeaderCost() {}

    /** Runs the measurement; takes no arguments. */
    public static void main(String[] arguments) {
        simulate(LargePool.WORKERS, 1);
        for (double burst : BURSTS) {
            for (int workers : SIZES) {
                System.out.println(simulate(workers, burst));
            }
        }
    }

    private static String simulate(int workers, double burst) {
        LargePool large = new LargePool(SEED, workers, SPREAD);
        large.burst = burst;
        PoolEmulator pool = large.pool;
        large.submitStandingJobs();
        pool.run(1_000);
        int[] standing = large.countStandingTasks();
        pool.run(9_000);
        int[] settled = large.countStandingTasks();
        large.runTraffic(5);
        long reportNs = pool.reportCpuNs;
        long tickNs = pool.tickCpuNs;
        long batchNs = pool.batchCpuNs;
        int reports = pool.reports;
        int passes = pool.passes;
        long candidates = pool.placement().candidates();
        long pairs = pool.placement().comparedPairs();
        double score = pool.servingScore;
        double maxScore = pool.maxServingScore;
        large.runTraffic(SECONDS);
        long beforeMs = pool.nowMs - 5_000;
        return String.format(
                "workers %d, batch jobs x%.0f: report %.2f ms/s (%.1f a second, %.0f us each),"
                        + " tick %.2f ms/s, takeBatch %.2f ms/s, %d candidates and %d pairs of images a pass;"
                        + " standing %d, running after 1 s %d, after 10 s %d, value %.3f;"
                        + " small done %.3f on time %.3f not started %d; batch done %.3f on time %.3f not started %d;"
                        + " orders %08x",
                workers,
                burst,
                (pool.reportCpuNs - reportNs) / 1e6 / SECONDS,
                (double) (pool.reports - reports) / SECONDS,
                (pool.reportCpuNs - reportNs) / 1e3 / (pool.reports - reports),
                (pool.tickCpuNs - tickNs) / 1e6 / SECONDS,
                (pool.batchCpuNs - batchNs) / 1e6 / SECONDS,
                (pool.placement().candidates() - candidates) / (pool.passes - passes),
                (pool.placement().comparedPairs() - pairs) / (pool.passes - passes),
                standing[0],
                standing[1],
                settled[1],
                (pool.servingScore - score) / (pool.maxServingScore - maxScore),
                large.doneShare("small", beforeMs),
                large.onTimeShare("small", beforeMs),
                large.neverStarted("small").size(),
                large.doneShare("batch", beforeMs),
                large.onTimeShare("batch", beforeMs),
                large.neverStarted("batch").size(),
                pool.ordersHash);
    }
}
