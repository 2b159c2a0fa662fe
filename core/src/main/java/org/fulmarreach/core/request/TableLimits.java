package org.fulmarreach.core.request;

/**
 * Limits of an {@link ExecutionTable}. Immutable.
 *
 * @param acceptMs time after its mint tick within which an id may be used for the first time, in milliseconds
 * @param retainMs time after its mint tick for which an id is kept, in milliseconds; more than {@code acceptMs}
 * @param shortAcceptMs the same as {@code acceptMs} for short-lived ids
 * @param shortRetainMs the same as {@code retainMs} for short-lived ids
 * @param maxEntries maximum number of ids
 * @param maxAnswerBytes maximum total size of kept answers in bytes
 */
public record TableLimits(
        long acceptMs, long retainMs, long shortAcceptMs, long shortRetainMs, int maxEntries, long maxAnswerBytes) {
    /** 15 and 30 minutes, 10 and 20 seconds, 50,000 ids and 2 MiB of answers. */
    public static final TableLimits DEFAULT =
            new TableLimits(900_000, 1_800_000, 10_000, 20_000, 50_000, 2 * 1024 * 1024);

    /** Constructs limits; an id must be kept longer than it can be accepted. */
    public TableLimits {
        if (retainMs <= acceptMs || shortRetainMs <= shortAcceptMs) {
            throw new IllegalArgumentException(
                    "retainMs must exceed acceptMs, and shortRetainMs must exceed shortAcceptMs");
        }
    }

    /** Returns a copy with another limit on the size of kept answers. */
    public TableLimits withMaxAnswerBytes(long newMaxAnswerBytes) {
        return new TableLimits(acceptMs, retainMs, shortAcceptMs, shortRetainMs, maxEntries, newMaxAnswerBytes);
    }

    /** Returns a copy with another limit on the number of ids. */
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
