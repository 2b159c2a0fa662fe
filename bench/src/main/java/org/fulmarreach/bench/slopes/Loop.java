package org.fulmarreach.bench.slopes;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.Arrays;
import java.util.function.IntFunction;
import java.util.function.Supplier;

/**
 * Measures processor time of this thread and retained heap. Processor time: warm-up for {@link #WARM_UP_NS}, then
 * {@link #REPEATS} blocks of at least {@link #BLOCK_NS}, and the median of their means. Heap: used memory after
 * collections with the objects reachable, less that before, the median of {@link #HEAP_REPEATS}.
 */
final class Loop {
    static final long WARM_UP_NS = 400_000_000L;
    static final long BLOCK_NS = 30_000_000L;
    static final int REPEATS = 9;
    static final int HEAP_REPEATS = 3;
    private static final int PREPARED = 16;
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

    /** Keeps results alive, so that the compiler cannot leave out their computation. */
    private static Object sink;

    private Loop() {}

    /** Returns nanoseconds of processor time for one call of {@code operation}. */
    static double measureNs(Supplier<Object> operation) {
        runFor(operation, WARM_UP_NS);
        double[] means = new double[REPEATS];
        for (int i = 0; i < REPEATS; i++) {
            means[i] = runFor(operation, BLOCK_NS);
        }
        return median(means);
    }

    /** Returns nanoseconds for one call of an operation that needs a fresh object each time, made outside the time. */
    static <T> double measurePreparedNs(Supplier<T> prepare, java.util.function.Function<T, Object> operation) {
        double[] times = new double[REPEATS];
        long warmUntilNs = System.nanoTime() + 2 * WARM_UP_NS;
        while (System.nanoTime() < warmUntilNs) {
            sink = operation.apply(prepare.get());
        }
        for (int i = 0; i < REPEATS; i++) {
            long sumNs = 0;
            for (int j = 0; j < PREPARED; j++) {
                T fresh = prepare.get();
                long startNs = THREADS.getCurrentThreadCpuTime();
                sink = operation.apply(fresh);
                sumNs += THREADS.getCurrentThreadCpuTime() - startNs;
            }
            times[i] = sumNs / (double) PREPARED;
        }
        return median(times);
    }

    /** Returns bytes of heap that the object made for {@code size} keeps alive. */
    static double measureHeapBytes(IntFunction<Object> construct, int size) {
        sink = construct.apply(size);
        double[] bytes = new double[HEAP_REPEATS];
        for (int i = 0; i < HEAP_REPEATS; i++) {
            sink = null;
            long before = usedAfterCollection();
            sink = construct.apply(size);
            bytes[i] = usedAfterCollection() - before;
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

    private static long usedAfterCollection() {
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }

    private static double median(double[] values) {
        double[] sorted = values.clone();
        Arrays.sort(sorted);
        return sorted[sorted.length / 2];
    }
}
