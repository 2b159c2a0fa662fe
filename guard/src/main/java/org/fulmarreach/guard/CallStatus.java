package org.fulmarreach.guard;

import org.fulmarreach.core.model.Target;

/**
 * State of the calls at a guard, for its heartbeat. Immutable.
 *
 * @param target last announcement of the target, or null before the first; has 0 slots while the target is not ready
 * @param leaving whether new calls are refused
 * @param slotsInUse calls that hold a slot
 * @param p99Ms 99th percentile of the target's response time in the last window, in milliseconds
 */
record CallStatus(Target target, boolean leaving, int slotsInUse, int p99Ms) {
    static final CallStatus NONE = new CallStatus(null, false, 0, 0);
}
