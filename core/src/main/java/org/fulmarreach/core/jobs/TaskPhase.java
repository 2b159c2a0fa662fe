package org.fulmarreach.core.jobs;

/** Durable phase of a task. */
public enum TaskPhase {
    /** Waits for a worker. */
    PENDING,
    /** A run of it was ordered and has not ended. */
    ASSIGNED,
    /** A run of it succeeded. */
    DONE,
    /** It failed as often as its queue allows. */
    FAILED;

    private static final TaskPhase[] VALUES = values();

    /**
     * Resolves the phase that has the given ordinal.
     *
     * @throws IllegalArgumentException if there is none
     */
    public static TaskPhase of(int ordinal) {
        if (ordinal < 0 || ordinal >= VALUES.length) {
            throw new IllegalArgumentException("no task phase has the number " + ordinal);
        }
        return VALUES[ordinal];
    }
}
