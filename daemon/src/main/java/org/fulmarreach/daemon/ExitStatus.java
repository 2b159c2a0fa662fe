package org.fulmarreach.daemon;

import java.util.concurrent.atomic.AtomicReference;

/**
 * Status with which the process ends. The shutdown hook drains the process and then halts it, whatever started the
 * shutdown, so a failure that started it must be kept until then. Thread-safe.
 */
final class ExitStatus {
    private static final int FAILED = 1;

    private final AtomicReference<Phase> phase = new AtomicReference<>(Phase.RUNNING);

    private enum Phase {
        RUNNING,
        FAILED,
        DRAINING
    }

    /** Ends the process because one of its parts has failed; does not return. */
    void exitAfterFailure() {
        recordFailure();
        System.exit(FAILED);
    }

    /** Records that a part has stopped; during a drain, parts stop as intended. */
    void recordFailure() {
        phase.compareAndSet(Phase.RUNNING, Phase.FAILED);
    }

    /** Records that the shutdown hook begins to drain the process. */
    void beginDrain() {
        phase.compareAndSet(Phase.RUNNING, Phase.DRAINING);
    }

    /**
     * Returns the status to exit with.
     *
     * @param drainStatus status of the drain
     */
    int resolve(int drainStatus) {
        return phase.get() == Phase.FAILED ? FAILED : drainStatus;
    }
}
