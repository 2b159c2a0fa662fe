package org.fulmarreach.daemon;

import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Status with which the process ends. The shutdown hook drains the process and then halts it, whatever started the
 * shutdown, so a failure that started it must be kept until then. Thread-safe.
 */
final class ExitStatus {
    private static final int FAILED = 1;

    private final AtomicBoolean failed = new AtomicBoolean();

    /** Ends the process because one of its parts has failed; does not return. */
    void exitAfterFailure() {
        recordFailure();
        System.exit(FAILED);
    }

    void recordFailure() {
        failed.set(true);
    }

    /**
     * Returns the status to exit with.
     *
     * @param drainStatus status of the drain
     */
    int resolve(int drainStatus) {
        return failed.get() ? FAILED : drainStatus;
    }
}
