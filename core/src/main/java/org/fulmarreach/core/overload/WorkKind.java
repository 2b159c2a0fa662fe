package org.fulmarreach.core.overload;

/** How tasks get processors; records contain the ordinal, so the order of the constants is fixed. */
public enum WorkKind {
    /** The tasks reserve processors on their worker. */
    RESERVING,
    /** The tasks use idle processors. */
    BEST_EFFORT
}
