package org.fulmarreach.bench.policy;

/** The production policy, the baselines, and the reference without batch work. */
enum Policy {
    FULMARREACH("fulmarreach"),
    RANDOM("random choice"),
    FEWEST("fewest outstanding, no admission"),
    DECLARED("declared sizes trusted"),
    UNTHROTTLED("no throttling"),
    EVICT_FIRST("evict at first contention"),
    NO_BATCH("no batch (reference)");

    private final String title;

    Policy(String title) {
        this.title = title;
    }

    String title() {
        return title;
    }

    /** Tells whether guards and entries apply admission control; without it, the queue at the target is unbounded. */
    boolean admitsCalls() {
        return this != RANDOM && this != FEWEST;
    }

    boolean learnsSizes() {
        return this != DECLARED;
    }

    boolean throttles() {
        return this != UNTHROTTLED && this != EVICT_FIRST;
    }

    boolean hasBatch() {
        return this != NO_BATCH;
    }
}
