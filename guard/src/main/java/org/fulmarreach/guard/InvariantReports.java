package org.fulmarreach.guard;

import org.fulmarreach.core.exc.InvariantViolationException;
import org.fulmarreach.runtime.util.Invariants;

/** Reports invariant violations found by the core as an event and a counter. Stateless. */
final class InvariantReports {
    private InvariantReports() {}

    /** Reports a violation whose message begins with the id of the invariant and a colon. */
    static void report(Invariants invariants, InvariantViolationException violation) {
        String message = violation.problem().message();
        int colon = message.indexOf(':');
        try {
            invariants.check(false, colon < 0 ? "none" : message.substring(0, colon), message);
        } catch (InvariantViolationException reported) {
            // The check always throws; the caller stops its actor itself.
        }
    }
}
