package org.fulmarreach.core.jobs;

/**
 * Prints the processor time of the leader's decisions by emulated second for pools of several sizes, on a usual day and
 * in a burst of batch jobs. Run by hand; the first pool only warms the virtual machine up.
 */
final class LeaderCost {
    private static final int SECONDS = 30;
    private static final long SEED = 5;
    private static final double SPREAD = 0.25;
    private static final int[] SIZES = {11, 36, 72};
    private static final double[] BURSTS = {1, 2};

    private LeaderCost() {}

    /** Takes no arguments. */
    public static void main(String[] arguments) {
        play(GrownPool.WORKERS, 1);
        for (double burst : BURSTS) {
            for (int workers : SIZES) {
                System.out.println(play(workers, burst));
            }
        }
    }

    private static String play(int workers, double burst) {
        GrownPool grown = new GrownPool(SEED, workers, SPREAD);
        grown.burst = burst;
        PoolEmulator pool = grown.pool;
        grown.stand();
        pool.run(1_000);
        int[] standing = grown.standingAtWork();
        pool.run(9_000);
        int[] settled = grown.standingAtWork();
        grown.load(5);
        long reportNs = pool.reportCpuNs;
        long tickNs = pool.tickCpuNs;
        long batchNs = pool.batchCpuNs;
        int reports = pool.reports;
        int passes = pool.passes;
        long candidates = pool.placement().candidates();
        long pairs = pool.placement().comparedPairs();
        double earned = pool.servingEarned;
        double owed = pool.servingOwed;
        grown.load(SECONDS);
        long beforeMs = pool.nowMs - 5_000;
        return String.format(
                "workers %d, batch jobs x%.0f: report %.2f ms/s (%.1f a second, %.0f us each),"
                        + " tick %.2f ms/s, takeBatch %.2f ms/s, %d candidates and %d pairs of images a pass;"
                        + " standing %d, at work after 1 s %d, after 10 s %d, value %.3f;"
                        + " small done %.3f on time %.3f never begun %d; batch done %.3f on time %.3f never begun %d;"
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
                (pool.servingEarned - earned) / (pool.servingOwed - owed),
                grown.doneShare("small", beforeMs),
                grown.onTimeShare("small", beforeMs),
                grown.neverBegun("small").size(),
                grown.doneShare("batch", beforeMs),
                grown.onTimeShare("batch", beforeMs),
                grown.neverBegun("batch").size(),
                pool.ordersHash);
    }
}
