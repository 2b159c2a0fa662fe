package org.fulmarreach.runtime.util;

import java.util.concurrent.TimeUnit;

/**
 * Source of monotonic time. Readings are comparable only with readings of the same process. Implementations are
 * thread-safe.
 */
@FunctionalInterface
public interface MonotonicClock {
    /** Returns milliseconds since an arbitrary point; never decreases, and advances while the process is paused. */
    long nowMs();

    /** Returns the clock of this process. */
    static MonotonicClock system() {
        return () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }
}
