package org.fulmarreach.bench.slopes;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.Arrays;
import java.util.function.IntFunction;
import java.util.function.Supplier;

/**
 * Measures CPU time of the current thread and retained heap. CPU time: warm-up for {@link #WARM_UP_NS}, then the median
 * of the means of {@link #REPEATS} blocks of at least {@link #BLOCK_NS}. Heap: difference of used heap after garbage
 * collection with and without the object reachable, median of {@link #HEAP_REPEATS}.
 */
final class CostMeter {
    static final long WARM_UP_NS = 400_000_000L;
    static final long BLOCK_NS = 30_000_000L;
    static final int REPEATS = 9;
    static final int HEAP_REPEATS = 3;
    private static final int CALLS_PER_REPEAT = 16;
    private static final int COLLECTIONS = 5;
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

    /** Keeps results reachable so that the JIT compiler cannot eliminate their computation. */
    private static Object sink;

    private CostMeter() {}

    /** Returns nanoseconds of CPU time for one call of {@code operation}. */
    static double measureNs(Supplier<Object> operation) {
        runFor(operation, WARM_UP_NS);
        double[] means = new double[REPEATS];
        for (int i = 0; i < REPEATS; i++) {
            means[i] = runFor(operation, BLOCK_NS);
        }
        return median(means);
    }

    /** Returns nanoseconds of CPU time for one call of an operation, without the preparation of a fresh argument. */
    static <T> double measurePreparedNs(Supplier<T> prepare, java.util.function.Function<T, Object> operation) {
        double[] times = new double[REPEATS];
        long warmUntilNs = System.nanoTime() + 2 * WARM_UP_NS;
        while (System.nanoTime() < warmUntilNs) {
            sink = operation.apply(prepare.get());
        }
        for (int i = 0; i < REPEATS; i++) {
            long sumNs = 0;
            for (int j = 0; j < CALLS_PER_REPEAT; j++) {
                T fresh = prepare.get();
                long startNs = THREADS.getCurrentThreadCpuTime();
                sink = operation.apply(fresh);
                sumNs += THREADS.getCurrentThreadCpuTime() - startNs;
            }
            times[i] = sumNs / (double) CALLS_PER_REPEAT;
        }
        return median(times);
    }

    /** Returns the retained heap, in bytes, of the object constructed for {@code size}. */
    static double measureHeapBytes(IntFunction<Object> construct, int size) {
        sink = construct.apply(size);
        double[] bytes = new double[HEAP_REPEATS];
        for (int i = 0; i < HEAP_REPEATS; i++) {
            sink = null;
            long usedBefore = usedHeapAfterCollection();
            sink = construct.apply(size);
            bytes[i] = usedHeapAfterCollection() - usedBefore;
        }
        sink = null;
        return median(bytes);
    }

    private static double runFor(Supplier<Object> operation, long durationNs) {
        long startNs = THREADS.getCurrentThreadCpuTime();
        long calls = 0;
        long usedNs;
        do {
            for (int i = 0; i < 8; i++) {
                sink = operation.get();
            }
            calls += 8;
            usedNs = THREADS.getCurrentThreadCpuTime() - startNs;
        } while (usedNs < durationNs);
        return usedNs / (double) calls;
    }

    /** Returns the minimum over several collections: the serial collector compacts fully in only one of four. */
    private static long usedHeapAfterCollection() {
        long least = Long.MAX_VALUE;
        for (int i = 0; i < COLLECTIONS; i++) {
            System.gc();
            least = Math.min(
                    least,
                    ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed());
        }
        return least;
    }

    private static double median(double[] values) {
        double[] sorted = values.clone();
        Arrays.sort(sorted);
        return sorted[sorted.length / 2];
    }
}
