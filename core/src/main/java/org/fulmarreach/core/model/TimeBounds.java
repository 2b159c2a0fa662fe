package org.fulmarreach.core.model;

/** Bounds on times in the documents and records of other writers. */
public final class TimeBounds {
    /** Largest time since 1970, in milliseconds: the end of the year 9999. */
    public static final long MAX_UNIX_MS = 253_402_300_799_999L;

    /** Largest duration, in milliseconds: 100 years. Its sums and products with a number of tasks fit into a long. */
    public static final long MAX_DURATION_MS = 3_155_760_000_000L;

    private TimeBounds() {}
}
