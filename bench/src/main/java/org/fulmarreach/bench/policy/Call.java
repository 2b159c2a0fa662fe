package org.fulmarreach.bench.policy;

/** State of one call from its arrival to its outcome. */
final class Call {
    final long startMs;
    final long deadlineMs;
    final double baseMs;
    final boolean idempotent;
    SimCallRouter origin;
    SimCallRouter handler;
    SimVm guard;
    int attempts;
    boolean ended;

    Call(long startMs, long deadlineMs, double baseMs, boolean idempotent) {
        this.startMs = startMs;
        this.deadlineMs = deadlineMs;
        this.baseMs = baseMs;
        this.idempotent = idempotent;
    }
}
