package org.fulmarreach.runtime.cfg;

/** Role of a daemon process. */
public enum Role {
    /** Stands between callers and targets. */
    ENTRY,
    /** Runs beside a target. */
    GUARD
}
