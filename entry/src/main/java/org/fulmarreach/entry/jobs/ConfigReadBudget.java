package org.fulmarreach.entry.jobs;

import org.fulmarreach.platform.store.HttpStoreClient;

/**
 * Divides the time within which a confirmed configuration must be in force. In the worst case it is confirmed just
 * after a read was sent whose answer gets lost: then the wait of that read, the time until it is overdue, a pause, the
 * next read and the activation follow each other. Immutable.
 *
 * @param applyMs time from the confirmation of a configuration until it must be in force, in milliseconds, from the
 *     platform's settings
 */
record ConfigReadBudget(int applyMs) {
    /** Part of the time, as a divisor, for decoding the configuration and for the actor's other work before it. */
    private static final int ACTIVATION_DIVISOR = 10;

    /** Part of the time, as a divisor, for the read that succeeds, with its connection. */
    private static final int LAST_READ_DIVISOR = 7;

    /** Part of the time, as a divisor, after which a read without an answer is sent again. */
    private static final int OVERDUE_DIVISOR = 8;

    /** Part of the time, as a divisor, between the starts of reads that fail at once. */
    private static final int RETRY_DIVISOR = 5;

    /** Allows for answers that queue behind others on a narrow link, and for a process that is still busy starting. */
    private static final int MAX_LOAD_SILENCE_MS = 2_000;

    /** Returns the timing of the reads that follow the configuration. */
    LogTail.Times times() {
        int waitMs = Math.min(HttpStoreClient.MAX_WAIT_MS, lostReadMs() - overdueMs());
        int loadSilenceMs = Math.min(MAX_LOAD_SILENCE_MS, lostReadMs());
        return new LogTail.Times(
                Math.max(0, waitMs),
                0,
                new LogTail.Retry(overdueMs(), Math.max(1, loadSilenceMs), Math.max(1, applyMs / RETRY_DIVISOR)));
    }

    /** Returns the time that a lost read may take until it counts as failed, in milliseconds. */
    private int lostReadMs() {
        return applyMs - LogTail.SILENT_PAUSE_MS - lastReadMs() - activationMs();
    }

    private int overdueMs() {
        return applyMs / OVERDUE_DIVISOR;
    }

    /** Returns the time for the read that succeeds, in milliseconds. */
    int lastReadMs() {
        return applyMs / LAST_READ_DIVISOR;
    }

    /** Returns the time from the answer of a read until the configuration is in force, in milliseconds. */
    int activationMs() {
        return applyMs / ACTIVATION_DIVISOR;
    }
}
