package org.fulmarreach.entry.jobs;

/**
 * Times for the header {@code Retry-After}, in whole seconds as the header has them. They are spread by the id of the
 * request, so that callers who were refused together do not return together. Stateless.
 */
final class RetryTimes {
    /** Another entry serves the request now, or this one soon; about the duration of an election. */
    static final int SOON_S = 1;

    /** Loading the configuration takes about a second after a start. */
    private static final int LOADING_S = 1;

    /** The store may be away for a moment only, and other entries may reach it; callers lose what they wait longer. */
    private static final int STORE_AWAY_S = 1;

    private static final double MS_PER_S = 1_000;

    private RetryTimes() {}

    /** Returns the time for an entry that is loading, in seconds. */
    static int whileLoading(String id) {
        return LOADING_S + spread(id);
    }

    /** Returns the time while the store does not answer, in seconds. */
    static int whileStoreIsAway(String id) {
        return STORE_AWAY_S + spread(id);
    }

    /** Returns a time in whole seconds, at least 1. Rounded to the nearest, so that spread times stay apart. */
    static int ofMs(long ms) {
        return (int) Math.max(1, Math.round(ms / MS_PER_S));
    }

    private static int spread(String id) {
        return id.hashCode() & 1;
    }
}
