package org.fulmarreach.core.jobs;

/** Stored phase of a task; records contain the ordinal, so the order of the constants is fixed. */
public enum TaskPhase {
    /** No run is assigned; waits for its predecessors, its due time or a worker. */
    PENDING,
    /** A run of it was ordered and has not ended. */
    ASSIGNED,
    /** A run of it succeeded. */
    DONE,
    /** It failed as often as its queue allows. */
    FAILED;

    private static final TaskPhase[] VALUES = values();

    /** Tells whether a task in this phase has still to run, or to run on. */
    boolean isOpen() {
        return this == PENDING || this == ASSIGNED;
    }

    /**
     * Returns the phase with the given ordinal.
     *
     * @throws IllegalArgumentException if there is none
     */
    public static TaskPhase of(int ordinal) {
        if (ordinal < 0 || ordinal >= VALUES.length) {
            throw new IllegalArgumentException("unknown task phase ordinal: " + ordinal);
        }
        return VALUES[ordinal];
    }
}
