package org.fulmarreach.cli;

/** Monotonic time and waiting, so that tests need not wait. */
interface Ticker {
    /** Time of the running system. */
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

    /** Returns milliseconds since an arbitrary start. */
    long nowMs();

    /** Waits for a time in milliseconds. */
    void sleepMs(long durationMs);
}
