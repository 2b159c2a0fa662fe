package org.fulmarreach.core.request;

/**
 * Limits of an {@link ExecutionTable}. Immutable.
 *
 * @param acceptMs how long after its mint tick an id may be used first
 * @param retainMs how long after its mint tick an id is kept; more than {@code acceptMs}
 * @param shortAcceptMs the same as {@code acceptMs} for short-lived ids
 * @param shortRetainMs the same as {@code retainMs} for short-lived ids
 * @param maxEntries largest number of ids
 * @param maxAnswerBytes bytes of kept answers
 */
public record TableLimits(
        long acceptMs, long retainMs, long shortAcceptMs, long shortRetainMs, int maxEntries, long maxAnswerBytes) {
    /** 15 and 30 minutes, 10 and 20 seconds, 50,000 ids and 2 MiB of answers. */
    public static final TableLimits DEFAULT =
            new TableLimits(900_000, 1_800_000, 10_000, 20_000, 50_000, 2 * 1024 * 1024);

    /** Constructs limits; an id must be kept for as long as it could be accepted. */
    public TableLimits {
        if (retainMs <= acceptMs || shortRetainMs <= shortAcceptMs) {
            throw new IllegalArgumentException("retention must exceed the time of acceptance");
        }
    }

    /** Returns a copy with another bound on the bytes of kept answers. */
    public TableLimits withMaxAnswerBytes(long newMaxAnswerBytes) {
        return new TableLimits(acceptMs, retainMs, shortAcceptMs, shortRetainMs, maxEntries, newMaxAnswerBytes);
    }

    /** Returns a copy with another bound on the number of ids. */
    public TableLimits withMaxEntries(int newMaxEntries) {
        return new TableLimits(acceptMs, retainMs, shortAcceptMs, shortRetainMs, newMaxEntries, maxAnswerBytes);
    }

    long acceptMs(RequestId id) {
        return id.isShortLived() ? shortAcceptMs : acceptMs;
    }

    long retainMs(RequestId id) {
        return id.isShortLived() ? shortRetainMs : retainMs;
    }
}
