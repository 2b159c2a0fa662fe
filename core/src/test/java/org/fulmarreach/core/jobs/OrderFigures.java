package org.fulmarreach.core.jobs;

/**
 * Prints the served-on-time shares of a full pool for several loads, with a bound with full knowledge: the room that
 * standing tasks leave, divided by the work that arrives. Run manually.
 */
final class OrderFigures {
    private static final long[] SEEDS = {11, 12, 13};
    private static final int WORKERS = 30;

    private OrderFigures() {}

    /** Runs the loads; takes no arguments. */
    public static void main(String[] arguments) {
        print("standing 1.15, short x1", 0, 1, 1, 0);
        print("standing 1.15, short x1.5", 0, 1.5, 1, 0);
        print("standing 1.15, short x1.9", 0, 1.9, 1, 0);
        print("standing 1.15, long x2.4 for 6 s, then short x1.9", 1.5, 1.9, 1, 0);
        print("the same, estimates off 5 times", 1.5, 1.9, 5, 0);
        print("the same, 3 in 100 tasks 7 times as long", 1.5, 1.9, 1, 0.03);
    }

    private static void print(String load, double longPerSecond, double factor, double error, double stragglers) {
        double onTime = 0;
        double longOnTime = 0;
        double standing = 0;
        double bound = 0;
        long gapMs = 0;
        for (long seed : SEEDS) {
            FullPool full = new FullPool(seed, WORKERS);
            full.estimateError = error;
            full.stragglers = stragglers;
            full.submitStanding(0.81);
            full.longPerSecond = longPerSecond;
            full.runTraffic(5, 0.81);
            full.runTraffic(10, 1.15);
            full.longPerSecond = longPerSecond * 2.4;
            full.runTraffic(6, 1.15);
            full.longPerSecond = longPerSecond;
            full.shortPerSecond *= factor;
            long fromMs = full.pool.nowMs;
            double workBefore = full.shortCoreMs;
            full.runTraffic(6, 1.15);
            double arrived = full.shortCoreMs - workBefore;
            long toMs = full.pool.nowMs;
            standing += full.standingShare() / SEEDS.length;
            double room = (1 - full.standingShare()) * WORKERS * FullPool.WORKER.milliCores() / 1_000 * 6_000;
            bound += Math.min(1, room / arrived) / SEEDS.length;
            full.pool.run(20_000);
            onTime += full.onTimeShare("short", fromMs, toMs) / SEEDS.length;
            longOnTime += full.onTimeShare("long", 0, toMs) / SEEDS.length;
            gapMs = Math.max(gapMs, full.longestGapMs);
        }
        System.out.printf(
                "%s: short on time %.3f (bound %.3f), long on time %.3f, standing %.3f, longest gap %d ms%n",
                load, onTime, bound, longOnTime, standing, gapMs);
    }
}
