package org.fulmarreach.core.jobs;

/**
 * Tells which reports of a guard describe the present lifetime of its worker. A guard reports a lifetime once the
 * worker has answered as it, but a report may be late. Usually the present lifetime has the latest start time. A worker
 * that started again after its clock was set back has an earlier one, and shows that it is the present one by answering
 * on, for longer than a report may be late. Not thread-safe.
 */
final class LifetimeOrder {
    /** Polls that a lifetime with an earlier start time must have answered while it was reported. */
    private static final int POLLS_TO_CONFIRM = 2;

    private WorkerRef earlier;
    private long earlierSinceMs;
    private long earlierSincePoll;

    /**
     * Tells whether a report describes the present lifetime.
     *
     * @param newestStartMs latest known start of the worker, in Unix milliseconds
     */
    boolean isPresent(WorkerReport report, long newestStartMs, long nowMs) {
        if (report.ref().startedAtMs() >= newestStartMs) {
            earlier = null;
            return true;
        }
        if (!report.ref().equals(earlier) || report.pollNumber() < earlierSincePoll) {
            earlier = report.ref();
            earlierSinceMs = nowMs;
            earlierSincePoll = report.pollNumber();
        }
        return nowMs - earlierSinceMs > JobTimeLimits.REPORT_TIMEOUT_MS
                && report.pollNumber() - earlierSincePoll >= POLLS_TO_CONFIRM;
    }
}
