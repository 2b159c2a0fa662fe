package org.fulmarreach.guard.jobs;

/**
 * What a guard knows from its polls about whether the worker answers. Owned by one actor; not thread-safe.
 *
 * <p>A worker may start again under its id, and a call that names it by id then reaches the next lifetime. So a
 * lifetime counts as confirmed only while polls are answered; after a poll without an answer the next one has to tell
 * which lifetime answers.
 */
final class WorkerContact {
    /** A single lost answer is not conclusive; after two in a row the worker counts as unreachable. */
    private static final int FAILED_POLLS_UNTIL_UNREACHABLE = 2;

    private int failedPolls;
    private boolean confirmed;
    private long refusedSinceMs;
    private long refusedAtMs;
    private long answeredAtMs;

    /** Forgets what was known, because another lifetime is expected to answer. */
    void reset() {
        failedPolls = 0;
        confirmed = false;
        refusedSinceMs = 0;
    }

    /** Records that the expected lifetime has answered a poll. */
    void onAnswered(long nowMs) {
        failedPolls = 0;
        confirmed = true;
        refusedSinceMs = 0;
        answeredAtMs = nowMs;
    }

    /**
     * Records a poll without a usable answer.
     *
     * @param connectionRefused whether nothing accepted the connection at the worker's address
     */
    void onFailed(boolean connectionRefused, long nowMs) {
        failedPolls++;
        confirmed = false;
        if (!connectionRefused) {
            refusedSinceMs = 0;
        } else if (refusedSinceMs == 0) {
            refusedSinceMs = nowMs;
        }
        refusedAtMs = nowMs;
    }

    /** Tells whether the last poll was answered by the expected lifetime. */
    boolean isConfirmed() {
        return confirmed;
    }

    boolean isReachable() {
        return failedPolls < FAILED_POLLS_UNTIL_UNREACHABLE;
    }

    /** Tells whether the poll that failed last is the one after which the worker counts as unreachable. */
    boolean hasBecomeUnreachable() {
        return failedPolls == FAILED_POLLS_UNTIL_UNREACHABLE;
    }

    /** Returns the number of polls in a row that failed. */
    int failedPolls() {
        return failedPolls;
    }

    /**
     * Returns the time from the first to the last of the connections in a row that were refused, in milliseconds; 0 if
     * the last one was not. What followed is not known: this process may have been suspended.
     */
    long refusedForMs() {
        return refusedSinceMs == 0 ? 0 : refusedAtMs - refusedSinceMs;
    }

    /** Returns the time since the last answer in milliseconds. */
    long answerAgeMs(long nowMs) {
        return nowMs - answeredAtMs;
    }
}
