package org.fulmarreach.runtime.cfg;

/** Role of a daemon process. */
public enum Role {
    /** Serves callers and operators, and forwards calls to targets. */
    ENTRY,
    /** Runs beside a target. */
    GUARD
}
