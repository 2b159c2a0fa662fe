package org.fulmarreach.cli;

/** Monotonic clock and sleep; tests substitute a virtual clock. */
interface Ticker {
    /** Ticker of the system clock. */
    Ticker SYSTEM = new Ticker() {
        private static final long NANOS_PER_MS = 1_000_000;

        @Override
        public long nowMs() {
            return System.nanoTime() / NANOS_PER_MS;
        }

        @Override
        public void sleepMs(long durationMs) {
            try {
                Thread.sleep(durationMs);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    };

    /** Returns milliseconds since an arbitrary point in time. */
    long nowMs();

    /** Sleeps for a duration in milliseconds; returns early if the thread is interrupted. */
    void sleepMs(long durationMs);
}
